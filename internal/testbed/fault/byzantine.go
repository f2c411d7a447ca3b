package fault

import (
	"crypto/rand"
	"crypto/x509"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"calicohill/internal/fleet/faultreport"
	"calicohill/internal/fleet/gossip"
	"calicohill/internal/fleet/pki"
	"calicohill/routing"
)

const (
	byzantineTick      = 50 * time.Millisecond
	secretBytes        = 32
	accusationInterval = 300 * time.Millisecond // minimum time between two statements with accusations
)

// ByzantineMember is a fleet member that reports faults of healthy workers. It has a valid key and answers probes like
// an honest member. Its gossip core runs on one goroutine, which Close stops.
type ByzantineMember struct {
	socket    *net.UDPConn
	guard     *gossip.Guard
	core      *gossip.Core
	epoch     int64
	startedAt time.Time
	quit      chan struct{}
	done      chan struct{}

	accused   atomic.Pointer[[]string] // workers to accuse; nil for none
	accusedAt time.Time                // time of the last accusation; owned by the run goroutine
	sequence  uint64                   // sequence number of the last statement; owned by the run goroutine
}

// NewByzantineMember starts a byzantine member with the given name. The authority issues its certificate, and it joins
// the fleet through the given seeds.
func NewByzantineMember(name string, authority *pki.Authority, seeds []netip.AddrPort) (*ByzantineMember, error) {
	identity, err := authority.Issue(name, time.Now().Add(-time.Hour), 12*time.Hour)
	if err != nil {
		return nil, err
	}
	trust, err := pki.NewTrust("lab", 5*time.Second, []*x509.Certificate{authority.Cert}, nil)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("byzantine member: %w", err)
	}
	addr, err := netip.ParseAddrPort(socket.LocalAddr().String())
	if err != nil {
		_ = socket.Close() // best effort
		return nil, fmt.Errorf("byzantine member: %w", err)
	}
	member := &ByzantineMember{
		socket:    socket,
		startedAt: time.Now(),
		quit:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	member.epoch = member.startedAt.UnixMilli()
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails
	member.guard = gossip.NewGuard(gossip.GuardConfig{
		Fleet: "lab", Own: identity, Epoch: member.epoch, Trust: trust, Secret: secret,
		MaxChecksPerSecond: 10000, MaxClockSkew: 5 * time.Second, Seeds: seeds,
	})
	member.core = gossip.New(gossip.Config{
		Name: name, Addr: addr, Epoch: member.epoch, Seeds: seeds,
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, SuspicionTimeout: 5 * time.Second, MaxMessagesPerSecond: 400,
		MaxMembers: 4096, Seed: 1, Sign: member.guard.SignRecord,
	})
	go member.run()
	return member, nil
}

// Accuse makes the member report these workers as unresponsive from now on, several times a second, each time in a new
// statement.
func (m *ByzantineMember) Accuse(workers []string) { m.accused.Store(&workers) }

// Close stops the member without a leave message.
func (m *ByzantineMember) Close() {
	close(m.quit)
	_ = m.socket.Close() // best effort
	<-m.done
}

// datagram is a received UDP datagram.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// run drives the gossip core until Close.
func (m *ByzantineMember) run() {
	defer close(m.done)
	received := make(chan datagram)
	go m.receive(received)
	tick := time.NewTicker(byzantineTick)
	defer tick.Stop()
	for {
		var events []gossip.Event
		select {
		case datagram, ok := <-received:
			if !ok {
				return
			}
			events = m.open(datagram)
		case <-tick.C:
			events = m.broadcastAccusations()
		case <-m.quit:
			return
		}
		for _, action := range m.core.Step(m.now(), events) {
			if transmit, ok := action.(gossip.Transmit); ok {
				m.send(transmit)
			}
		}
	}
}

// receive reads datagrams into the channel until the socket is closed.
func (m *ByzantineMember) receive(received chan<- datagram) {
	defer close(received)
	buffer := make([]byte, gossip.MaxDatagram)
	for {
		size, from, err := m.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		select {
		case received <- datagram{from, append([]byte(nil), buffer[:size]...)}:
		case <-m.quit:
			return
		}
	}
}

// open verifies and decodes a datagram. It drops invalid ones.
func (m *ByzantineMember) open(datagram datagram) []gossip.Event {
	opened, err := m.guard.Open(m.now(), time.Now(), datagram.from, datagram.payload)
	if err != nil {
		return nil
	}
	return []gossip.Event{gossip.Received{
		From: opened.From, Addr: datagram.from, Epoch: opened.Epoch, Message: opened.Message,
		Trusted: opened.Trusted,
	}}
}

// broadcastAccusations broadcasts a statement with false accusations if accusationInterval has passed since the last
// one.
func (m *ByzantineMember) broadcastAccusations() []gossip.Event {
	accused := m.accused.Load()
	if accused == nil || time.Since(m.accusedAt) <= accusationInterval {
		return nil
	}
	m.accusedAt = time.Now()
	var reports []faultreport.Report
	for _, worker := range (*accused)[:min(len(*accused), faultreport.MaxReports)] {
		reports = append(reports, faultreport.Report{Worker: worker, Fault: routing.Unresponsive, FirstSeenAgo: 3000, Attempts: 5})
	}
	body, err := faultreport.Encode(reports)
	if err != nil {
		return nil
	}
	m.sequence++
	statement := m.guard.SignStatement(m.sequence, time.Now(), body)
	m.broadcast(statement)
	return []gossip.Event{gossip.Broadcast{Statement: statement}}
}

// broadcast sends a statement to every member at once. It ignores the rate limits that an honest member keeps.
func (m *ByzantineMember) broadcast(statement gossip.Statement) {
	for _, member := range m.core.Members() {
		m.send(gossip.Transmit{To: member.Name, Addr: member.Addr.AddrPort, Message: &gossip.Message{
			Kind:       gossip.Gossip,
			Statements: []gossip.Statement{statement},
		}})
	}
}

// send seals and sends a message. If either step fails, the message is lost like any datagram.
func (m *ByzantineMember) send(transmit gossip.Transmit) {
	if sealed, err := m.guard.Seal(transmit.To, transmit.Incarnation, time.Now(), transmit.Message); err == nil {
		_, _ = m.socket.WriteToUDPAddrPort(sealed, transmit.Addr)
	}
}

// now returns the clock of the gossip core: monotonic Unix time.
func (m *ByzantineMember) now() time.Duration {
	return time.Duration(m.startedAt.UnixNano()) + time.Since(m.startedAt)
}
