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
	maxReadsPerSlice  = 1000                   // datagrams read in a slice of time; what is over that the system drops
	readSlice         = 100 * time.Millisecond // 10,000 a second cost some hundredths of a core, and no more
	queueLength       = 256                    // datagrams, and calls, that wait to be taken in
	maxMembers        = 4096
	socketBufferBytes = 256 << 10
	maxBatch          = 64 // datagrams taken in before the cores are stepped
)

// Node is this scheduler's place among its peers.
type Node struct {
	settings       operatorfile.Gossip
	log            *logrus.Entry
	rateLimitedLog logging.RateLimited
	onPeerReports  func(routing.PeerReports)
	conn           *net.UDPConn
	own            *pki.Member
	trust          *pki.Trust
	guard          *gossip.Guard
	core           *gossip.Core
	faultReports   *faultreport.Core

	start        time.Time
	epoch        int64
	statementSeq uint64 // of statements
	verdicts     map[string]routing.PeerVerdict

	datagrams chan datagram
	calls     chan func()
	quit      chan struct{}
	done      chan struct{}

	faultEvents []faultreport.Event
	endpoints   atomic.Pointer[[]string] // of workers, not taken in yet

	messagesSent, bytesSent, peakRate int // messages and bytes so far, and the most messages of a second
	sendTimes                         []time.Duration
}

type datagram struct {
	from    netip.AddrPort
	content []byte
}

// Open reads the keys, binds the socket and returns a Node that does nothing until Run. hold is called from its
// goroutine with what peers hold of workers, and must not wait for it.
func Open(set operatorfile.Gossip, hold func(routing.PeerReports), log *logrus.Entry) (*Node, error) {
	own, trust, err := readKeys(set)
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
	_ = conn.SetReadBuffer(socketBufferBytes)
	base := time.Now()
	n := &Node{
		settings: set, log: log, rateLimitedLog: logging.RateLimited{Log: log}, onPeerReports: hold, conn: conn, own: own, trust: trust, start: base,
		epoch: base.UnixMilli(), verdicts: map[string]routing.PeerVerdict{}, datagrams: make(chan datagram, queueLength),
		calls: make(chan func(), queueLength), quit: make(chan struct{}), done: make(chan struct{}),
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
	n.faultReports = faultreport.New(faultReportConfig(set))
	return n, nil
}

func faultReportConfig(set operatorfile.Gossip) faultreport.Config {
	return faultreport.Config{Liars: set.Liars, LeaveOut: set.LeaveOut, ForgetAfter: set.ForgetAfter}
}

// keys reads the files that settings name.
func readKeys(set operatorfile.Gossip) (*pki.Member, *pki.Trust, error) {
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
func (n *Node) now() time.Duration { return time.Duration(n.start.UnixNano()) + time.Since(n.start) }

// Run starts the Node.
func (n *Node) Run() {
	go n.receive()
	go n.run()
	n.log.WithFields(logrus.Fields{"name": n.own.Name(), "listen": n.settings.Listen.String(), "fleet": n.settings.Fleet}).
		Info("gossip started")
}

// Close has the others told that this one goes, and ends the Node.
func (n *Node) Close() {
	close(n.quit)
	<-n.done
}

// call has something done by the Node, or not at all if too much waits: the request loop must not.
func (n *Node) post(f func()) bool {
	select {
	case n.calls <- f:
		return true
	default:
		return false
	}
}

// FaultObserved takes in what this scheduler finds of a worker. It never waits.
func (n *Node) FaultObserved(o routing.ReportFault) {
	n.post(func() {
		n.faultEvents = append(n.faultEvents, faultreport.FaultObserved{Worker: o.Worker, Fault: o.Fault, At: o.ObservedAt})
	})
}

// EndpointsChanged takes in which workers the list names. It never waits.
func (n *Node) EndpointsChanged(workers []string) {
	n.endpoints.Store(&workers)
	n.post(func() {}) // with so much waiting that this is not taken in, the next step is near anyway
}

// ErrBusy is the error of a Prepared reload that was not taken in.
var ErrBusy = errors.New("gossip: too much waits to be taken in")

// Prepare reads what new settings name and returns what takes them up; until that is called nothing changes.
func (n *Node) Prepare(set operatorfile.Gossip) (apply func() error, err error) {
	own, trust, err := readKeys(set)
	if err != nil {
		return nil, err
	}
	if err := trust.Current(own.Cert, time.Now()); err != nil {
		return nil, fmt.Errorf("gossip: key %s: %w", set.Key, err)
	}
	if own.Name() != n.own.Name() || set.Fleet != n.settings.Fleet {
		return nil, fmt.Errorf("gossip: %s of fleet %s can't become %s of fleet %s without a restart", n.own.Name(), n.settings.Fleet,
			own.Name(), set.Fleet)
	}
	return func() error {
		if !n.post(func() { n.reload(set, own, trust) }) {
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
	n.settings.Seeds, n.settings.Overlap = set.Seeds, set.Overlap
	n.faultEvents = append(n.faultEvents, faultreport.Configure{Config: faultReportConfig(set)})
	n.step(events)
	n.log.Info("gossip settings taken up")
}

// read reads datagrams until the socket is closed.
func (n *Node) receive() {
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
		if count++; count >= maxReadsPerSlice {
			if rest := readSlice - time.Since(from); rest > 0 {
				time.Sleep(rest)
			}
			count, from = 0, time.Now()
		} else if time.Since(from) >= readSlice {
			count, from = 0, time.Now()
		}
		b := make([]byte, size)
		copy(b, buf)
		select {
		case n.datagrams <- datagram{netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), b}:
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
		case d := <-n.datagrams:
			events = n.openDatagram(events, d)
			for range maxBatch {
				select {
				case d := <-n.datagrams:
					events = n.openDatagram(events, d)
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
				"seconds": time.Since(n.start).Seconds(), "sent": n.messagesSent, "bytes": n.bytesSent,
				"peak": n.peakRate, "checks": n.guard.SignaturesChecked, "members": n.core.NumMembers(),
			}).Info("gossip ended")
			return
		}
		n.step(events)
		timer.Reset(max(min(n.core.Next(), n.faultReports.Next())-n.now(), time.Millisecond))
	}
}

// open adds the event that a datagram is, if it may be read.
func (n *Node) openDatagram(events []gossip.Event, d datagram) []gossip.Event {
	o, err := n.guard.Open(n.now(), time.Now(), d.from, d.content)
	if err != nil {
		n.rateLimitedLog.Warn(n.now(), "gossip datagram dropped", fmt.Errorf("from %s: %w", d.from, err))
		return events
	}
	for _, name := range o.Equivocators {
		n.faultEvents = append(n.faultEvents, faultreport.Lied{From: name})
	}
	return append(events, gossip.Received{From: o.From, Addr: d.from, Epoch: o.Epoch, Message: o.Message, Trusted: o.Trusted})
}

// step steps both cores until neither has anything for the other.
func (n *Node) step(events []gossip.Event) {
	now := n.now()
	if l := n.endpoints.Swap(nil); l != nil {
		n.faultEvents = append(n.faultEvents, faultreport.EndpointsChanged{Workers: *l})
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
				n.faultEvents = append(n.faultEvents, faultreport.Heard{From: a.Statement.Name, Body: a.Statement.Body})
			case gossip.NameConflict:
				n.log.WithField("name", n.own.Name()).Error("another scheduler has this one's name: this one says no more")
			}
		}
		if members {
			n.membershipChanged()
		}
		events = nil
		own := n.faultEvents
		n.faultEvents = nil
		for _, a := range n.faultReports.Step(now, own) {
			switch a := a.(type) {
			case faultreport.Say:
				if body, err := faultreport.Encode(a.Accusations); err != nil {
					n.rateLimitedLog.Warn(now, "statement not made", err)
				} else {
					n.statementSeq++
					events = append(events, gossip.Say{Statement: n.guard.State(n.statementSeq, time.Now(), body)})
				}
			case faultreport.Hold:
				n.publishPeerReports(a.PeerReports)
			case faultreport.Discredited:
				n.log.WithFields(logrus.Fields{"peer": a.From, "why": a.Why}).Warn("peer not heard for a while")
			}
		}
		if len(events) == 0 && len(n.faultEvents) == 0 {
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
		n.rateLimitedLog.Warn(n.now(), "gossip datagram not sent", err)
		return
	}
	n.messagesSent++
	n.bytesSent += len(b)
	now := n.now()
	n.sendTimes = append(n.sendTimes, now)
	for now-n.sendTimes[0] >= time.Second {
		n.sendTimes = n.sendTimes[1:]
	}
	n.peakRate = max(n.peakRate, len(n.sendTimes))
}

// meet passes on who is there.
func (n *Node) membershipChanged() {
	addrs, names := append([]netip.AddrPort(nil), n.settings.Seeds...), []string(nil)
	for _, m := range n.core.Members() {
		addrs = append(addrs, m.Addr.AddrPort)
		if m.State <= gossip.Suspect && n.guard.Certified(m.Name) {
			names = append(names, m.Name)
		}
	}
	n.guard.SetKnownAddresses(addrs)
	n.faultEvents = append(n.faultEvents, faultreport.Members{Names: names})
}

// tell passes on what peers hold, and logs who is left out for it and no more.
func (n *Node) publishPeerReports(h routing.PeerReports) {
	for w, word := range h.Verdicts {
		if word == routing.Confirmed && n.verdicts[w] != routing.Confirmed {
			n.log.WithFields(logrus.Fields{"worker": w, "accusers": n.faultReports.Need()}).Warn("worker ill on the word of peers")
		}
	}
	for w, word := range n.verdicts {
		if word == routing.Confirmed && h.Verdicts[w] != routing.Confirmed {
			n.log.WithField("worker", w).Info("worker no longer ill on the word of peers")
		}
	}
	n.verdicts = h.Verdicts
	n.onPeerReports(h)
}
