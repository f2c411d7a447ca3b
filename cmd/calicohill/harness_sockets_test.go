package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// socketState is the state of a TCP socket, as numbered in /proc/net/tcp.
type socketState uint8

const (
	socketEstablished socketState = 0x01
	socketSynSent     socketState = 0x02
	socketCloseWait   socketState = 0x08 // closed by the remote end only
)

// tcpSocket is one end of a TCP connection as the operating system shows it. Addresses are in the form of
// socketAddress.
type tcpSocket struct {
	local, remote  string
	state          socketState
	unsent, unread int // bytes not acknowledged by the remote end, and bytes not read by the process
}

// socketAddress returns an IPv4 address and port in the form of /proc/net/tcp.
func socketAddress(t *testing.T, addr string) string {
	t.Helper()
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(resolved.IP.To4()), resolved.Port)
}

// findSockets returns the TCP sockets for which wanted returns true.
func findSockets(t *testing.T, wanted func(socket tcpSocket) bool) (found []tcpSocket) {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(table)) {
		if socket, ok := parseSocket(line); ok && wanted(socket) {
			found = append(found, socket)
		}
	}
	return found
}

// findSocket returns the socket at the local end of the connection between two addresses. The result has at most one
// element.
func findSocket(t *testing.T, local, remote net.Addr) []tcpSocket {
	t.Helper()
	from, to := socketAddress(t, local.String()), socketAddress(t, remote.String())
	return findSockets(t, func(socket tcpSocket) bool { return socket.local == from && socket.remote == to })
}

// parseSocket parses a line of /proc/net/tcp. It returns false for the header line.
func parseSocket(line string) (socket tcpSocket, ok bool) {
	const hexadecimal = 16
	fields := strings.Fields(line)
	if len(fields) < 5 {
		return socket, false
	}
	unsent, unread, _ := strings.Cut(fields[4], ":")
	var numbers [3]int
	for i, text := range []string{fields[3], unsent, unread} {
		number, err := strconv.ParseUint(text, hexadecimal, 32)
		if err != nil {
			return socket, false
		}
		numbers[i] = int(number)
	}
	return tcpSocket{
		local: fields[1], remote: fields[2],
		state: socketState(numbers[0]), unsent: numbers[1], unread: numbers[2],
	}, true
}

// countToAgents counts the sockets in a state whose remote address is that of an agent, whether they are connected or
// not.
func countToAgents(t *testing.T, state socketState, agents ...*nodeAgent) int {
	t.Helper()
	addresses := map[string]bool{}
	for _, agent := range agents {
		addresses[socketAddress(t, agent.addr)] = true
	}
	return len(findSockets(t, func(socket tcpSocket) bool { return socket.state == state && addresses[socket.remote] }))
}

// waitUntilDialing waits until a connection to an agent that does not accept yet is being dialed.
func waitUntilDialing(t *testing.T, agent *nodeAgent) {
	t.Helper()
	waitUntil(t, "a connection to the worker is being dialed", func() bool { return countToAgents(t, socketSynSent, agent) > 0 })
}

// waitUntilArrived waits until all data that the client has sent is in the scheduler's receive buffer or has been read.
func (c *testClient) waitUntilArrived() {
	c.t.Helper()
	waitUntil(c.t, "the client's bytes have arrived", func() bool {
		sockets := findSocket(c.t, c.conn.LocalAddr(), c.conn.RemoteAddr())
		return len(sockets) == 1 && sockets[0].unsent == 0
	})
}

// waitUntilRead waits until the scheduler has read all data that the client has sent. The scheduler processes this data
// before it reads from any connection again.
func (c *testClient) waitUntilRead() {
	c.t.Helper()
	c.waitUntilArrived()
	waitUntil(c.t, "the scheduler has read the client's bytes", func() bool {
		sockets := findSocket(c.t, c.conn.RemoteAddr(), c.conn.LocalAddr())
		return len(sockets) == 1 && sockets[0].unread == 0
	})
}

// closeAndWait closes the client's connection and waits until the scheduler has closed its end as well.
func (c *testClient) closeAndWait() {
	c.t.Helper()
	c.conn.Close()
	waitUntil(c.t, "the scheduler has closed the client's connection", func() bool {
		for _, socket := range findSocket(c.t, c.conn.RemoteAddr(), c.conn.LocalAddr()) {
			if socket.state == socketEstablished || socket.state == socketCloseWait {
				return false
			}
		}
		return true
	})
}
