// Package transport gives the cores of packages gossip and suspicion a UDP socket, keys from files and the time. It
// runs beside the request loop, on goroutines of its own: nothing here waits for the loop, nor the loop for it.
package transport

import (
	"crypto/rand"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/faultreport"
	"calicohill/internal/fleet/gossip"
	"calicohill/internal/fleet/pki"
	"calicohill/internal/runtime/logging"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

const (
	readsASlice = 1000                   // datagrams read in a slice of time; what is over that the system drops
	slice       = 100 * time.Millisecond // 10,000 a second cost some hundredths of a core, and no more
	waiting     = 256                    // datagrams, and calls, that wait to be taken in
	maxMembers  = 4096
	readBuffer  = 256 << 10
	batch       = 64 // datagrams taken in before the cores are stepped
)

// Node is this scheduler's place among its peers.
type Node struct {
	set   operatorfile.Gossip
	log   *logrus.Entry
	thin  logging.RateLimited
	hold  func(routing.PeerReports)
	conn  *net.UDPConn
	own   *pki.Member
	trust *pki.Trust
	guard *gossip.Guard
	core  *gossip.Core
	words *faultreport.Core

	base  time.Time
	epoch int64
	seq   uint64 // of statements
	held  map[string]routing.PeerVerdict

	in    chan datagram
	calls chan func()
	quit  chan struct{}
	done  chan struct{}

	events []faultreport.Event
	list   atomic.Pointer[[]string] // of workers, not taken in yet

	sent, bytes, peak int // messages and bytes so far, and the most messages of a second
	times             []time.Duration
}

type datagram struct {
	from netip.AddrPort
	b    []byte
}

// Open reads the keys, binds the socket and returns a Node that does nothing until Run. hold is called from its
// goroutine with what peers hold of workers, and must not wait for it.
func Open(set operatorfile.Gossip, hold func(routing.PeerReports), log *logrus.Entry) (*Node, error) {
	own, trust, err := keys(set)
	if err != nil {
		return nil, err
	}
	if err := trust.Current(own.Cert, time.Now()); err != nil {
		return nil, fmt.Errorf("gossip: key %s: %w", set.Key, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(set.Listen))
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	// An error leaves the system's size, which will do.
	_ = conn.SetReadBuffer(readBuffer)
	base := time.Now()
	n := &Node{
		set: set, log: log, thin: logging.RateLimited{Log: log}, hold: hold, conn: conn, own: own, trust: trust, base: base,
		epoch: base.UnixMilli(), held: map[string]routing.PeerVerdict{}, in: make(chan datagram, waiting),
		calls: make(chan func(), waiting), quit: make(chan struct{}), done: make(chan struct{}),
	}
	secret := make([]byte, 32)
	rand.Read(secret) // which never fails
	n.guard = gossip.NewGuard(gossip.GuardConfig{
		Fleet: set.Fleet, Own: own, Epoch: n.epoch, Trust: trust, Secret: secret,
		Checks: set.Checks, Skew: set.ClockSkew, Seeds: set.Seeds,
	})
	n.core = gossip.New(gossip.Config{
		Name: own.Name(), Addr: set.Advertise, Epoch: n.epoch, Seeds: set.Seeds,
		ProbeEvery: set.ProbeEvery, ProbeTimeout: set.ProbeTimeout, SuspectFor: set.SuspectFor, Messages: set.Messages,
		MaxMembers: maxMembers, Seed: uint64(n.epoch), Sign: n.guard.SignRecord,
	})
	n.words = faultreport.New(worth(set))
	return n, nil
}

func worth(set operatorfile.Gossip) faultreport.Config {
	return faultreport.Config{Liars: set.Liars, LeaveOut: set.LeaveOut, ForgetAfter: set.ForgetAfter}
}

// keys reads the files that settings name.
func keys(set operatorfile.Gossip) (*pki.Member, *pki.Trust, error) {
	key, cert, err := pki.ReadKey(set.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("gossip: %w", err)
	}
	if cert.IsCA {
		return nil, nil, fmt.Errorf("gossip: %s is the key of an authority, which no scheduler should hold", set.Key)
	}
	var authorities []*x509.Certificate
	for _, path := range set.Authorities {
		a, err := pki.ReadCert(path)
		if err != nil {
			return nil, nil, fmt.Errorf("gossip: %w", err)
		}
		authorities = append(authorities, a)
	}
	var lists []*x509.RevocationList
	if set.Revoked != "" {
		l, err := pki.ReadList(set.Revoked, false)
		if err != nil {
			return nil, nil, fmt.Errorf("gossip: %w", err)
		}
		lists = append(lists, l)
	}
	trust, err := pki.NewTrust(set.Fleet, set.ClockSkew, authorities, lists)
	if err != nil {
		return nil, nil, fmt.Errorf("gossip: %w", err)
	}
	return &pki.Member{Cert: cert, Key: key}, trust, nil
}

// Now is the time that the cores are told: Unix time at the start, and the monotonic clock from then on.
func (n *Node) now() time.Duration { return time.Duration(n.base.UnixNano()) + time.Since(n.base) }

// Run starts the Node.
func (n *Node) Run() {
	go n.read()
	go n.run()
	n.log.WithFields(logrus.Fields{"name": n.own.Name(), "listen": n.set.Listen.String(), "fleet": n.set.Fleet}).
		Info("gossip started")
}

// Close has the others told that this one goes, and ends the Node.
func (n *Node) Close() {
	close(n.quit)
	<-n.done
}

// call has something done by the Node, or not at all if too much waits: the request loop must not.
func (n *Node) call(f func()) bool {
	select {
	case n.calls <- f:
		return true
	default:
		return false
	}
}

// FaultObserved takes in what this scheduler finds of a worker. It never waits.
func (n *Node) FaultObserved(o routing.ReportFault) {
	n.call(func() {
		n.events = append(n.events, faultreport.FaultObserved{Worker: o.Worker, Fault: o.Fault, At: o.ObservedAt})
	})
}

// EndpointsChanged takes in which workers the list names. It never waits.
func (n *Node) EndpointsChanged(workers []string) {
	n.list.Store(&workers)
	n.call(func() {}) // with so much waiting that this is not taken in, the next step is near anyway
}

// ErrBusy is the error of a Prepared reload that was not taken in.
var ErrBusy = errors.New("gossip: too much waits to be taken in")

// Prepare reads what new settings name and returns what takes them up; until that is called nothing changes.
func (n *Node) Prepare(set operatorfile.Gossip) (apply func() error, err error) {
	own, trust, err := keys(set)
	if err != nil {
		return nil, err
	}
	if err := trust.Current(own.Cert, time.Now()); err != nil {
		return nil, fmt.Errorf("gossip: key %s: %w", set.Key, err)
	}
	if own.Name() != n.own.Name() || set.Fleet != n.set.Fleet {
		return nil, fmt.Errorf("gossip: %s of fleet %s can't become %s of fleet %s without a restart", n.own.Name(), n.set.Fleet,
			own.Name(), set.Fleet)
	}
	return func() error {
		if !n.call(func() { n.reload(set, own, trust) }) {
			return ErrBusy
		}
		return nil
	}, nil
}

func (n *Node) reload(set operatorfile.Gossip, own *pki.Member, trust *pki.Trust) {
	n.trust = trust.After(n.trust, time.Now(), set.Overlap)
	gone := n.guard.UpdateTrust(own, n.trust, time.Now())
	events := []gossip.Event{gossip.UpdateSeeds{Seeds: set.Seeds}}
	for _, name := range gone {
		n.log.WithField("peer", name).Warn("peer no longer counts: its certificate does not")
		events = append(events, gossip.RemoveMember{Name: name})
	}
	n.set.Seeds, n.set.Overlap = set.Seeds, set.Overlap
	n.events = append(n.events, faultreport.Configure{Config: worth(set)})
	n.step(events)
	n.log.Info("gossip settings taken up")
}

// read reads datagrams until the socket is closed.
func (n *Node) read() {
	buf := make([]byte, gossip.MaxDatagram+1)
	count, from := 0, time.Now()
	for {
		size, addr, err := n.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || size == 0 || size > gossip.MaxDatagram {
			continue
		}
		if count++; count >= readsASlice {
			if rest := slice - time.Since(from); rest > 0 {
				time.Sleep(rest)
			}
			count, from = 0, time.Now()
		} else if time.Since(from) >= slice {
			count, from = 0, time.Now()
		}
		b := make([]byte, size)
		copy(b, buf)
		select {
		case n.in <- datagram{netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), b}:
		default: // as if the network had lost it
		}
	}
}

// run takes in what comes and steps the cores.
func (n *Node) run() {
	defer close(n.done)
	defer n.conn.Close()
	timer := time.NewTimer(0)
	for {
		var events []gossip.Event
		select {
		case d := <-n.in:
			events = n.open(events, d)
			for range batch {
				select {
				case d := <-n.in:
					events = n.open(events, d)
					continue
				default:
				}
				break
			}
		case f := <-n.calls:
			f()
		case <-timer.C:
		case <-n.quit:
			n.step([]gossip.Event{gossip.Leave{}})
			n.log.WithFields(logrus.Fields{
				"seconds": time.Since(n.base).Seconds(), "sent": n.sent, "bytes": n.bytes,
				"peak": n.peak, "checks": n.guard.SignaturesChecked, "members": n.core.NumMembers(),
			}).Info("gossip ended")
			return
		}
		n.step(events)
		timer.Reset(max(min(n.core.Next(), n.words.Next())-n.now(), time.Millisecond))
	}
}

// open adds the event that a datagram is, if it may be read.
func (n *Node) open(events []gossip.Event, d datagram) []gossip.Event {
	o, err := n.guard.Open(n.now(), time.Now(), d.from, d.b)
	if err != nil {
		n.thin.Warn(n.now(), "gossip datagram dropped", fmt.Errorf("from %s: %w", d.from, err))
		return events
	}
	for _, name := range o.Equivocators {
		n.events = append(n.events, faultreport.Lied{From: name})
	}
	return append(events, gossip.Received{From: o.From, Addr: d.from, Epoch: o.Epoch, Message: o.Message, Trusted: o.Trusted})
}

// step steps both cores until neither has anything for the other.
func (n *Node) step(events []gossip.Event) {
	now := n.now()
	if l := n.list.Swap(nil); l != nil {
		n.events = append(n.events, faultreport.EndpointsChanged{Workers: *l})
	}
	for {
		members := false
		for _, a := range n.core.Step(now, events) {
			switch a := a.(type) {
			case gossip.Transmit:
				n.transmit(a)
			case gossip.MemberChanged:
				members = true
				n.log.WithFields(logrus.Fields{"peer": a.Member.Name, "address": a.Member.Addr.String()}).
					Info("peer " + a.Member.State.String())
			case gossip.MemberForgotten:
				n.guard.Forget(a.Name)
			case gossip.StatementReceived:
				n.events = append(n.events, faultreport.Heard{From: a.Statement.Name, Body: a.Statement.Body})
			case gossip.NameConflict:
				n.log.WithField("name", n.own.Name()).Error("another scheduler has this one's name: this one says no more")
			}
		}
		if members {
			n.meet()
		}
		events = nil
		own := n.events
		n.events = nil
		for _, a := range n.words.Step(now, own) {
			switch a := a.(type) {
			case faultreport.Say:
				if body, err := faultreport.Encode(a.Accusations); err != nil {
					n.thin.Warn(now, "statement not made", err)
				} else {
					n.seq++
					events = append(events, gossip.Say{Statement: n.guard.State(n.seq, time.Now(), body)})
				}
			case faultreport.Hold:
				n.tell(a.PeerReports)
			case faultreport.Discredited:
				n.log.WithFields(logrus.Fields{"peer": a.From, "why": a.Why}).Warn("peer not heard for a while")
			}
		}
		if len(events) == 0 && len(n.events) == 0 {
			return
		}
	}
}

func (n *Node) transmit(t gossip.Transmit) {
	b, err := n.guard.Seal(t.To, t.Inc, time.Now(), t.Message)
	if err == nil {
		_, err = n.conn.WriteToUDPAddrPort(b, t.Addr)
	}
	if err != nil {
		n.thin.Warn(n.now(), "gossip datagram not sent", err)
		return
	}
	n.sent++
	n.bytes += len(b)
	now := n.now()
	n.times = append(n.times, now)
	for now-n.times[0] >= time.Second {
		n.times = n.times[1:]
	}
	n.peak = max(n.peak, len(n.times))
}

// meet passes on who is there.
func (n *Node) meet() {
	addrs, names := append([]netip.AddrPort(nil), n.set.Seeds...), []string(nil)
	for _, m := range n.core.Members() {
		addrs = append(addrs, m.Addr.AddrPort)
		if m.State <= gossip.Suspect && n.guard.Certified(m.Name) {
			names = append(names, m.Name)
		}
	}
	n.guard.SetKnownAddresses(addrs)
	n.events = append(n.events, faultreport.Members{Names: names})
}

// tell passes on what peers hold, and logs who is left out for it and no more.
func (n *Node) tell(h routing.PeerReports) {
	for w, word := range h.Verdicts {
		if word == routing.Confirmed && n.held[w] != routing.Confirmed {
			n.log.WithFields(logrus.Fields{"worker": w, "accusers": n.words.Need()}).Warn("worker ill on the word of peers")
		}
	}
	for w, word := range n.held {
		if word == routing.Confirmed && h.Verdicts[w] != routing.Confirmed {
			n.log.WithField("worker", w).Info("worker no longer ill on the word of peers")
		}
	}
	n.held = h.Verdicts
	n.hold(h)
}
