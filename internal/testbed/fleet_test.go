package testbed

import (
	"net"
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

// A list service that refused connections opens its address again, whoever was given the port elsewhere meanwhile.
func TestListServiceReopensAddress(t *testing.T) {
	service := NewListService()
	defer service.Close()
	addr, err := service.Address("n0")
	if err != nil {
		t.Fatal(err)
	}
	if err := service.SetFault(ListRefusing, 0); err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(addr)
	host, _, _ := net.SplitHostPort(linkListenAddress)
	for _, taken := range []string{host, "127.0.0.1"} {
		listener, err := net.Listen("tcp", net.JoinHostPort(taken, port))
		if err != nil {
			continue // somebody has it there already, which is the same to this test
		}
		defer listener.Close()
	}
	if err := service.SetFault(ListHealthy, 0); err != nil {
		t.Error(err)
	}
}
