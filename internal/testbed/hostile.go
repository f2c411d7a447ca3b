package testbed

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

// Hostile is a member of the fleet that lies: it has a good key, answers pings as anybody, and says of workers
// what it likes.
type Hostile struct {
	conn  *net.UDPConn
	guard *gossip.Guard
	core  *gossip.Core
	epoch int64
	base  time.Time
	quit  chan struct{}
	done  chan struct{}
	// Accuse is what it says from now on, several times a second; nil says nothing.
	accuse atomic.Pointer[[]string]
}

// NewHostile has a hostile member join a fleet under a name.
func (f *Fleet) NewHostile(name string) (*Hostile, error) {
	m, err := f.Authority.Issue(name, time.Now().Add(-time.Hour), 12*time.Hour)
	if err != nil {
		return nil, err
	}
	trust, err := pki.NewTrust("lab", 5*time.Second, []*x509.Certificate{f.Authority.Cert}, nil)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("hostile member: %w", err)
	}
	h := &Hostile{conn: conn, base: time.Now(), quit: make(chan struct{}), done: make(chan struct{})}
	h.epoch = h.base.UnixMilli()
	var seeds []netip.AddrPort
	for _, in := range f.Instances[:min(3, len(f.Instances))] {
		seeds = append(seeds, netip.MustParseAddrPort(in.Gossip))
	}
	secret := make([]byte, 32)
	rand.Read(secret) // which never fails
	h.guard = gossip.NewGuard(gossip.GuardConfig{
		Fleet: "lab", Own: m, Epoch: h.epoch, Trust: trust, Secret: secret,
		Checks: 10000, Skew: 5 * time.Second, Seeds: seeds,
	})
	h.core = gossip.New(gossip.Config{
		Name: name, Addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), Epoch: h.epoch, Seeds: seeds,
		ProbeEvery: time.Second, ProbeTimeout: 300 * time.Millisecond, SuspectFor: 5 * time.Second, Messages: 400,
		MaxMembers: 4096, Seed: 1, Sign: h.guard.SignRecord,
	})
	go h.run()
	return h, nil
}

// Accuse has it call these workers silent from now on, with ever new proof.
func (h *Hostile) Accuse(workers []string) { h.accuse.Store(&workers) }

// Close ends it without a word.
func (h *Hostile) Close() {
	close(h.quit)
	h.conn.Close()
	<-h.done
}

func (h *Hostile) run() {
	defer close(h.done)
	type datagram struct {
		from netip.AddrPort
		b    []byte
	}
	in := make(chan datagram)
	go func() {
		defer close(in)
		buf := make([]byte, gossip.MaxDatagram)
		for {
			n, from, err := h.conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			select {
			case in <- datagram{from, append([]byte(nil), buf[:n]...)}:
			case <-h.quit:
				return
			}
		}
	}()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	said, seq := time.Time{}, uint64(0)
	for {
		var events []gossip.Event
		select {
		case d, ok := <-in:
			if !ok {
				return
			}
			if o, err := h.guard.Open(h.now(), time.Now(), d.from, d.b); err == nil {
				events = append(events, gossip.Received{
					From: o.From, Addr: d.from, Epoch: o.Epoch, Message: o.Message,
					Trusted: o.Trusted,
				})
			}
		case <-tick.C:
			if list := h.accuse.Load(); list != nil && time.Since(said) > 300*time.Millisecond {
				said = time.Now()
				var lies []faultreport.Accusation
				for _, w := range (*list)[:min(len(*list), faultreport.MaxAccusations)] {
					lies = append(lies, faultreport.Accusation{Worker: w, Trouble: routing.Unresponsive, First: 3000, Attempts: 5})
				}
				if body, err := faultreport.Encode(lies); err == nil {
					seq++
					s := h.guard.State(seq, time.Now(), body)
					events = append(events, gossip.Say{Statement: s})
					h.shout(s)
				}
			}
		case <-h.quit:
			return
		}
		for _, a := range h.core.Step(h.now(), events) {
			if t, ok := a.(gossip.Transmit); ok {
				h.send(t)
			}
		}
	}
}

// shout sends a statement to every member at once, whatever its budget would be.
func (h *Hostile) shout(s gossip.Statement) {
	for _, m := range h.core.Members() {
		h.send(gossip.Transmit{To: m.Name, Addr: m.Addr.AddrPort, Message: &gossip.Message{
			Kind:       gossip.Gossip,
			Statements: []gossip.Statement{s},
		}})
	}
}

func (h *Hostile) send(t gossip.Transmit) {
	if b, err := h.guard.Seal(t.To, t.Inc, time.Now(), t.Message); err == nil {
		_, _ = h.conn.WriteToUDPAddrPort(b, t.Addr) // lost like any datagram
	}
}

func (h *Hostile) now() time.Duration { return time.Duration(h.base.UnixNano()) + time.Since(h.base) }

// Flood sends datagrams that look like a member's to an address, at a rate a second, until stop is closed.
func Flood(to string, rate int, stop <-chan struct{}) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return fmt.Errorf("flood: %w", err)
	}
	defer c.Close()
	b := make([]byte, 700)
	rand.Read(b) // which never fails
	b[0], b[1] = 0xca, 1
	const headBytes = 2 + 8 + 8 + 4 + 8
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		for range rate / 100 {
			n++
			// A header in order, from one member of many to any, under numbers never seen.
			copy(b[headBytes:], []byte{2, 'n', byte('0' + n%10), 0})
			b[22], b[27], b[28], b[29] = 1, byte(n>>16), byte(n>>8), byte(n)
			_, _ = c.Write(b) // lost like any datagram
		}
	}
}
