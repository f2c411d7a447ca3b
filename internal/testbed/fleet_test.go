package testbed

import (
	"net"
	"testing"
)

// Each scheduler of a fleet has ports of its own, also where the system names one again that was let go.
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

// A list service that refused comes back where it was, whoever was given its port elsewhere meanwhile.
func TestRefusesAndComesBack(t *testing.T) {
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
