// Package transport connects the cores of packages gossip and faultreport to a UDP socket, key files and the clock. It
// runs beside the request loop on two goroutines of its own: neither waits for the loop, nor the loop for them.
package transport

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"calicohill/internal/config/operatorfile"
	"calicohill/internal/fleet/faultreport"
	"calicohill/internal/fleet/gossip"
	"calicohill/internal/fleet/pki"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

const (
	queueLength       = 256 // datagrams, and calls, that wait for the goroutine of Node.run
	socketBufferBytes = 256 << 10
	// maxBatch is how many queued datagrams are opened, besides the first, before the cores are stepped.
	maxBatch = 64
	// minStepInterval is the minimum time until a step that nothing but the clock causes.
	minStepInterval = time.Millisecond
)

// Node is this scheduler's membership in its fleet. Its methods may be called from any goroutine; Run and Close are to
// be called once each.
type Node struct {
	log       *logrus.Entry
	conn      *net.UDPConn
	engine    *engine       // of the goroutine of run
	datagrams chan datagram // received
	calls     chan func()   // to be run by the goroutine of run
	quit      chan struct{}
	done      chan struct{}
	endpoints atomic.Pointer[[]string] // worker IDs that the next step takes; nil if they have not changed
}

// Open reads the keys, binds the socket and returns a Node that is idle until Run. onPeerReports is called on the
// Node's goroutine whenever the verdicts of peers on workers change, and must not wait for the Node.
func Open(settings operatorfile.Gossip, onPeerReports func(routing.PeerReports), log *logrus.Entry) (*Node, error) {
	own, trust, err := readKeys(settings)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	// On an error the socket keeps the system's buffer size, which is enough.
	_ = conn.SetReadBuffer(socketBufferBytes)
	return &Node{
		log:       log,
		conn:      conn,
		engine:    newEngine(settings, own, trust, conn, onPeerReports, log),
		datagrams: make(chan datagram, queueLength),
		calls:     make(chan func(), queueLength),
		quit:      make(chan struct{}),
		done:      make(chan struct{}),
	}, nil
}

// Run starts the Node.
func (n *Node) Run() {
	go n.receive()
	go n.run()
	n.log.WithFields(logrus.Fields{
		"name": n.engine.own.Name(), "listen": n.engine.settings.Listen.String(), "fleet": n.engine.settings.Fleet,
	}).Info("gossip started")
}

// Close announces that this member leaves, and stops the Node.
func (n *Node) Close() {
	close(n.quit)
	<-n.done
}

// post queues a function for the goroutine of run. It reports false, and drops the function, if the queue is full: the
// request loop must not wait.
func (n *Node) post(call func()) bool {
	select {
	case n.calls <- call:
		return true
	default:
		return false
	}
}

// FaultObserved records a fault that this scheduler observes, or no longer observes, of a worker. It never waits.
func (n *Node) FaultObserved(report routing.ReportFault) {
	n.post(func() {
		n.engine.addFaultEvent(faultreport.FaultObserved{
			Worker: report.Worker, Fault: report.Fault, At: report.ObservedAt,
		})
	})
}

// EndpointsChanged records the IDs of the workers in the endpoint list. It never waits.
func (n *Node) EndpointsChanged(workers []string) {
	n.endpoints.Store(&workers)
	n.post(func() {}) // wakes run; if the queue is full, run is about to step anyway
}

// ErrBusy is returned when a prepared reload is not applied because the queue of the Node is full.
var ErrBusy = errors.New("gossip: too many events are waiting")

// Prepare reads and checks the keys that new settings name, and returns a function that applies both. Until that is
// called nothing changes. A different name or fleet is an error, since it takes a restart.
func (n *Node) Prepare(settings operatorfile.Gossip) (apply func() error, err error) {
	own, trust, err := readKeys(settings)
	if err != nil {
		return nil, err
	}
	if own.Name() != n.engine.own.Name() || settings.Fleet != n.engine.settings.Fleet {
		return nil, fmt.Errorf("gossip: %s of fleet %s can't become %s of fleet %s without a restart",
			n.engine.own.Name(), n.engine.settings.Fleet, own.Name(), settings.Fleet)
	}
	return func() error {
		if !n.post(func() { n.reload(settings, own, trust) }) {
			return ErrBusy
		}
		return nil
	}, nil
}

// reload applies new keys and settings.
func (n *Node) reload(settings operatorfile.Gossip, own *pki.Member, trust *pki.Trust) {
	n.step(n.engine.reload(settings, own, trust))
	n.log.Info("gossip settings reloaded")
}

// run steps the cores with what arrives and when they are due, until the Node is closed.
func (n *Node) run() {
	defer close(n.done)
	defer func() { _ = n.conn.Close() }() // nothing is left to do about an error
	timer := time.NewTimer(0)
	for {
		var events []gossip.Event
		select {
		case received := <-n.datagrams:
			events = n.openQueued(received)
		case call := <-n.calls:
			call()
		case <-timer.C:
		case <-n.quit:
			n.leave()
			return
		}
		n.step(events)
		next := n.engine.next()
		timer.Reset(max(next-n.engine.now(), minStepInterval))
	}
}

// step steps the engine with events and what the other goroutines have left for it.
func (n *Node) step(events []gossip.Event) {
	if workers := n.endpoints.Swap(nil); workers != nil {
		n.engine.addFaultEvent(faultreport.EndpointsChanged{Workers: *workers})
	}
	n.engine.step(events)
}

// leave announces that this member leaves.
func (n *Node) leave() {
	n.step([]gossip.Event{gossip.Leave{}})
	n.engine.logEnd()
}
