package process

import (
	"testing"
)

// Each scheduler of a fleet has ports of its own, also where the system hands out a released one again.
func TestFreePorts(t *testing.T) {
	fleet := &Fleet{}
	seen := map[string]bool{}
	for range 1000 {
		addr, err := fleet.freeAddress("udp")
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s twice", addr)
		}
		seen[addr] = true
		fleet.Instances = append(fleet.Instances, &Instance{Gossip: addr})
	}
}
