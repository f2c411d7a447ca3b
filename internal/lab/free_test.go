package lab

import "testing"

// Each scheduler of a fleet has ports of its own, also where the system names one again that was let go.
func TestFreePorts(t *testing.T) {
	f := &Fleet{}
	seen := map[string]bool{}
	for range 1000 {
		addr, err := f.free("udp")
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s twice", addr)
		}
		seen[addr] = true
		f.Instances = append(f.Instances, &Instance{Gossip: addr})
	}
}
