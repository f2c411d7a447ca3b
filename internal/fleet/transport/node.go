// Package transport connects the cores of packages gossip and faultreport to a UDP socket, key files and the clock. It
// runs on two goroutines separate from the request loop. Neither side ever blocks on the other.
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
	queueLength       = 256 // capacity of the datagram queue and of the call queue of Node.run
	socketBufferBytes = 256 << 10
	// maxBatch is the maximum number of queued datagrams that are opened after the first one before the cores are
	// stepped.
	maxBatch = 64
	// minStepInterval is the minimum delay before a step that is triggered by the timer.
	minStepInterval = time.Millisecond
)

// Node runs this scheduler's membership in its fleet. Its methods are safe for concurrent use. Run must be called once,
// and then Close once.
type Node struct {
	log       *logrus.Entry
	conn      *net.UDPConn
	engine    *engine       // accessed only by the goroutine of run
	datagrams chan datagram // received datagrams
	calls     chan func()   // functions to call on the goroutine of run
	quit      chan struct{}
	done      chan struct{}
	endpoints atomic.Pointer[[]string] // worker IDs for the next step; nil if unchanged
}

// Open reads the keys, binds the socket and returns a Node that is idle until Run. onPeerReports is called on the
// goroutine of run whenever the verdicts of peers on workers change. It must not block on the Node.
func Open(settings operatorfile.Gossip, onPeerReports func(routing.PeerReports), log *logrus.Entry) (*Node, error) {
	own, trust, err := readKeys(settings)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	// On error the socket keeps the default buffer size, which is sufficient.
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

// Run starts the goroutines of the Node.
func (n *Node) Run() {
	go n.receive()
	go n.run()
	n.log.WithFields(logrus.Fields{
		"name": n.engine.own.Name(), "listen": n.engine.settings.Listen.String(), "fleet": n.engine.settings.Fleet,
	}).Info("gossip started")
}

// Close announces that this member leaves and waits until the Node has stopped.
func (n *Node) Close() {
	close(n.quit)
	<-n.done
}

// post queues a function for the goroutine of run. If the queue is full, post drops the function and returns false,
// because the request loop must not block.
func (n *Node) post(call func()) bool {
	select {
	case n.calls <- call:
		return true
	default:
		return false
	}
}

// FaultObserved records that this scheduler observes a fault of a worker, or that the fault has ended. It never blocks.
func (n *Node) FaultObserved(report routing.ReportFault) {
	n.post(func() {
		n.engine.addFaultEvent(faultreport.FaultObserved{
			Worker: report.Worker, Fault: report.Fault, At: report.ObservedAt,
		})
	})
}

// EndpointsChanged records the IDs of the workers in the endpoint list. It never blocks.
func (n *Node) EndpointsChanged(workers []string) {
	n.endpoints.Store(&workers)
	n.post(func() {}) // wakes run; if the queue is full, run will step soon anyway
}

// ErrBusy is returned if a prepared reload cannot be applied because the call queue of the Node is full.
var ErrBusy = errors.New("gossip: call queue is full")

// Prepare reads and checks the keys named in new settings, and returns a function that applies keys and settings.
// Nothing changes until that function is called. A changed name or fleet is an error, since it requires a restart.
func (n *Node) Prepare(settings operatorfile.Gossip) (apply func() error, err error) {
	own, trust, err := readKeys(settings)
	if err != nil {
		return nil, err
	}
	if own.Name() != n.engine.own.Name() || settings.Fleet != n.engine.settings.Fleet {
		return nil, fmt.Errorf("gossip: cannot change from %s of fleet %s to %s of fleet %s without a restart",
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

// run steps the cores on datagrams, calls and timers until the Node is closed.
func (n *Node) run() {
	defer close(n.done)
	defer func() { _ = n.conn.Close() }() // an error at shutdown has no consequence
	timer := time.NewTimer(0)
	for {
		var events []gossip.Event
		select {
		case received := <-n.datagrams:
			events = n.openBatch(received)
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

// step steps the engine with events and the latest endpoint list, if it changed.
func (n *Node) step(events []gossip.Event) {
	if workers := n.endpoints.Swap(nil); workers != nil {
		n.engine.addFaultEvent(faultreport.EndpointsChanged{Workers: *workers})
	}
	n.engine.step(events)
}

// leave announces that this member leaves and logs the traffic statistics.
func (n *Node) leave() {
	n.step([]gossip.Event{gossip.Leave{}})
	n.engine.logTraffic()
}
