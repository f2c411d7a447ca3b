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
	accusationInterval = 300 * time.Millisecond // at least, between two statements with accusations
)

// ByzantineMember is a member of the fleet that lies: it has a valid key, answers probes as any member does, and reports
// faults of workers that have none. Its gossip core runs on one goroutine, which ends with Close.
type ByzantineMember struct {
	socket    *net.UDPConn
	guard     *gossip.Guard
	core      *gossip.Core
	epoch     int64
	startedAt time.Time
	quit      chan struct{}
	done      chan struct{}

	accused   atomic.Pointer[[]string] // workers that it accuses from now on; nil for none
	accusedAt time.Time                // when it last did; used by its goroutine alone
	sequence  uint64                   // of its statements; used by its goroutine alone
}

// NewByzantineMember has a byzantine member join the fleet of an authority under a name, through the members at these
// addresses.
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
		_ = socket.Close() // nothing is left to do about an error
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

// Accuse has it report these workers as unresponsive from now on, several times a second and each time with new proof.
func (m *ByzantineMember) Accuse(workers []string) { m.accused.Store(&workers) }

// Close ends it without leaving the fleet.
func (m *ByzantineMember) Close() {
	close(m.quit)
	_ = m.socket.Close() // nothing is left to do about an error
	<-m.done
}

// datagram is what came from an address.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// run runs the gossip core until Close.
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
			events = m.lie()
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

// receive passes on datagrams until the socket is closed.
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

// open verifies a datagram; one that can't be opened is dropped.
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

// lie makes a statement with accusations if it is time for one.
func (m *ByzantineMember) lie() []gossip.Event {
	accused := m.accused.Load()
	if accused == nil || time.Since(m.accusedAt) <= accusationInterval {
		return nil
	}
	m.accusedAt = time.Now()
	var lies []faultreport.Report
	for _, worker := range (*accused)[:min(len(*accused), faultreport.MaxReports)] {
		lies = append(lies, faultreport.Report{Worker: worker, Fault: routing.Unresponsive, FirstSeenAgo: 3000, Attempts: 5})
	}
	body, err := faultreport.Encode(lies)
	if err != nil {
		return nil
	}
	m.sequence++
	statement := m.guard.SignStatement(m.sequence, time.Now(), body)
	m.broadcast(statement)
	return []gossip.Event{gossip.Broadcast{Statement: statement}}
}

// broadcast sends a statement to every member at once, whatever the rate limits of an honest member would be.
func (m *ByzantineMember) broadcast(statement gossip.Statement) {
	for _, member := range m.core.Members() {
		m.send(gossip.Transmit{To: member.Name, Addr: member.Addr.AddrPort, Message: &gossip.Message{
			Kind:       gossip.Gossip,
			Statements: []gossip.Statement{statement},
		}})
	}
}

// send seals and sends a message; it is lost like any datagram where that fails.
func (m *ByzantineMember) send(transmit gossip.Transmit) {
	if sealed, err := m.guard.Seal(transmit.To, transmit.Incarnation, time.Now(), transmit.Message); err == nil {
		_, _ = m.socket.WriteToUDPAddrPort(sealed, transmit.Addr)
	}
}

// now returns the time of the gossip core: Unix time that never goes back.
func (m *ByzantineMember) now() time.Duration {
	return time.Duration(m.startedAt.UnixNano()) + time.Since(m.startedAt)
}
