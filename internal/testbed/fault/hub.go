package fault

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Hub is the UDP network between schedulers: each member has an address there at which the others reach it.
type Hub struct {
	mu        sync.Mutex
	sockets   map[string]*net.UDPConn // by the member's own address
	condition func(from, to string) LinkCondition
}

// NewHub opens a hub for members at these addresses. condition returns the condition of the link from one to another.
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

// Addr returns the address at which the others reach a member.
func (h *Hub) Addr(member string) string { return h.sockets[member].LocalAddr().String() }

// serve passes on to a member what is sent to its address at the hub, until the hub is closed.
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
		sender := h.sockets[from.String()] // as whom the receiver sees it
		if sender == nil {
			continue
		}
		h.mu.Lock()
		condition := h.condition(from.String(), member)
		h.mu.Unlock()
		transmit(condition, buffer[:size], func(payload []byte) {
			_, _ = sender.WriteToUDP(payload, memberAddr) // lost if it can't be sent
		})
	}
}

// transmit sends a datagram under a condition: once, not at all or several times, each copy with a delay of its own.
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

// Close ends the hub.
func (h *Hub) Close() {
	for _, socket := range h.sockets {
		_ = socket.Close() // nothing is left to do about an error
	}
}
