package standin_test

import (
	"net"
	"testing"

	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/standin"
)

// Guards against a list service that can't listen on its address again after it refused connections, because another
// socket of this machine took the same port on another loopback address.
func TestListServiceReopensAddress(t *testing.T) {
	service := standin.NewListService()
	defer service.Close()
	addr, err := service.Address("n0")
	if err != nil {
		t.Fatal(err)
	}
	if err := service.SetFault(standin.ListRefusing, 0); err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(addr)
	link, err := fault.NewLink(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	host, _, _ := net.SplitHostPort(link.Addr)
	for _, taken := range []string{host, "127.0.0.1"} {
		listener, err := net.Listen("tcp", net.JoinHostPort(taken, port))
		if err != nil {
			continue // the port is already in use there, which serves the test as well
		}
		defer listener.Close()
	}
	if err := service.SetFault(standin.ListHealthy, 0); err != nil {
		t.Error(err)
	}
}
