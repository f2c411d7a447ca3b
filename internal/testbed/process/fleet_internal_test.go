package process

import (
	"testing"
)

// Guards against two schedulers of a fleet with the same address, which happens when the kernel reuses a released port.
func TestFreePorts(t *testing.T) {
	fleet := &Fleet{}
	seen := map[string]bool{}
	for range 1000 {
		addr, err := fleet.freeAddress("udp")
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("address %s was returned twice", addr)
		}
		seen[addr] = true
		fleet.Instances = append(fleet.Instances, &Instance{GossipAddr: addr})
	}
}
