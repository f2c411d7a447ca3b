package fault

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Hub is a UDP proxy between schedulers. Each member has an address at the hub, to which the others send.
type Hub struct {
	mu        sync.Mutex
	sockets   map[string]*net.UDPConn // keyed by the member's own address
	condition func(from, to string) LinkCondition
}

// NewHub opens a hub for members at the given addresses. condition returns the condition of the link between two
// members.
func NewHub(members []string, condition func(from, to string) LinkCondition) (*Hub, error) {
	hub := &Hub{sockets: map[string]*net.UDPConn{}, condition: condition}
	for _, member := range members {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 1, 1)})
		if err != nil {
			hub.Close()
			return nil, fmt.Errorf("hub: %w", err)
		}
		hub.sockets[member] = socket
	}
	for member, socket := range hub.sockets {
		go hub.serve(member, socket)
	}
	return hub, nil
}

// Addr returns the hub address of a member.
func (h *Hub) Addr(member string) string { return h.sockets[member].LocalAddr().String() }

// serve forwards datagrams sent to a member's hub address to the member, until the hub is closed.
func (h *Hub) serve(member string, socket *net.UDPConn) {
	memberAddr, err := net.ResolveUDPAddr("udp", member)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		sender := h.sockets[from.String()] // the receiver sees the sender's hub address
		if sender == nil {
			continue
		}
		h.mu.Lock()
		condition := h.condition(from.String(), member)
		h.mu.Unlock()
		transmit(condition, buffer[:size], func(payload []byte) {
			_, _ = sender.WriteToUDP(payload, memberAddr) // a failed write is a lost datagram
		})
	}
}

// transmit applies a condition to a datagram. It sends zero or more copies, each with its own delay.
func transmit(condition LinkCondition, datagram []byte, send func([]byte)) {
	for copies := 1; copies > 0; copies-- {
		if rand.Float64() < condition.Duplicate {
			copies++
		}
		if condition.CutForward || rand.Float64() < condition.Loss {
			continue
		}
		payload := append([]byte(nil), datagram...)
		delay := condition.Delay
		if condition.Jitter > 0 {
			delay += rand.N(condition.Jitter)
		}
		time.AfterFunc(delay, func() { send(payload) })
	}
}

// Close closes all sockets.
func (h *Hub) Close() {
	for _, socket := range h.sockets {
		_ = socket.Close() // best effort
	}
}
