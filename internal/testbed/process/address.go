package process

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
)

// fleetCount is the number of fleets created by this process.
var fleetCount atomic.Uint32

// freeAddress returns an unused loopback address. Each fleet uses its own loopback host: schedulers listen with port
// sharing to hand over to the next process, so two fleets with the same address would serve each other's clients.
func (f *Fleet) freeAddress(network string) (string, error) {
	if f.host == "" {
		f.host = fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%250, 1+fleetCount.Add(1)%250)
	}
	for {
		addr, err := unusedAddress(network, f.host)
		// The kernel may reuse a port that was just released.
		taken := func(in *Instance) bool { return in.Addr == addr || in.GossipAddr == addr }
		if err != nil || !slices.ContainsFunc(f.Instances, taken) {
			return addr, err
		}
	}
}

// unusedAddress returns an address of the given host on which nothing listens.
func unusedAddress(network, host string) (string, error) {
	if network == "udp" {
		socket, err := net.ListenPacket("udp", host)
		if err != nil {
			return "", err
		}
		return socket.LocalAddr().String(), socket.Close()
	}
	listener, err := net.Listen("tcp", host)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
