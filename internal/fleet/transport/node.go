// Package transport connects the cores of packages gossip and faultreport to a UDP socket, key files and the clock. It
// runs beside the request loop on two goroutines of its own: neither waits for the loop, nor the loop for them.
package transport

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
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
	queueLength       = 256 // datagrams, and calls, that wait for the goroutine of Node.run
	maxMembers        = 4096
	socketBufferBytes = 256 << 10
	secretBytes       = 32 // of the cookies
)

// Node is this scheduler's membership in its fleet. Its methods may be called from any goroutine; Run and Close are to
// be called once each.
type Node struct {
	log            *logrus.Entry
	rateLimitedLog logging.RateLimited
	onPeerReports  func(routing.PeerReports)
	conn           *net.UDPConn
	start          time.Time

	datagrams chan datagram
	calls     chan func() // to be run by the goroutine of run
	quit      chan struct{}
	done      chan struct{}
	endpoints atomic.Pointer[[]string] // worker IDs that the next step takes; nil if they have not changed

	// The rest belongs to the goroutine of run; own's name and the fleet do not change.
	settings     operatorfile.Gossip
	own          *pki.Member
	trust        *pki.Trust
	guard        *gossip.Guard
	core         *gossip.Core
	faultReports *faultreport.Core
	faultEvents  []faultreport.Event // for the next step of faultReports
	statementSeq uint64
	verdicts     map[string]routing.PeerVerdict // by worker ID
	messagesSent int
	bytesSent    int
	sendRate     gossip.RateMeter
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
	start := time.Now()
	node := &Node{
		log:            log,
		rateLimitedLog: logging.RateLimited{Log: log},
		onPeerReports:  onPeerReports,
		conn:           conn,
		start:          start,
		datagrams:      make(chan datagram, queueLength),
		calls:          make(chan func(), queueLength),
		quit:           make(chan struct{}),
		done:           make(chan struct{}),
		settings:       settings,
		own:            own,
		trust:          trust,
		verdicts:       map[string]routing.PeerVerdict{},
	}
	epoch := start.UnixMilli()
	node.guard = newGuard(settings, own, trust, epoch)
	node.core = newCore(settings, own, node.guard, epoch)
	node.faultReports = faultreport.New(faultReportConfig(settings))
	return node, nil
}

func newGuard(settings operatorfile.Gossip, own *pki.Member, trust *pki.Trust, epoch int64) *gossip.Guard {
	secret := make([]byte, secretBytes)
	rand.Read(secret) // which never fails
	return gossip.NewGuard(gossip.GuardConfig{
		Fleet:              settings.Fleet,
		Own:                own,
		Epoch:              epoch,
		Trust:              trust,
		Secret:             secret,
		MaxChecksPerSecond: settings.MaxSignatureChecksPerSecond,
		MaxClockSkew:       settings.ClockSkew,
		Seeds:              settings.Seeds,
	})
}

func newCore(settings operatorfile.Gossip, own *pki.Member, guard *gossip.Guard, epoch int64) *gossip.Core {
	return gossip.New(gossip.Config{
		Name:                 own.Name(),
		Addr:                 settings.Advertise,
		Epoch:                epoch,
		Seeds:                settings.Seeds,
		ProbeInterval:        settings.ProbeInterval,
		ProbeTimeout:         settings.ProbeTimeout,
		SuspicionTimeout:     settings.SuspicionTimeout,
		MaxMessagesPerSecond: settings.MaxMessagesPerSecond,
		MaxMembers:           maxMembers,
		Seed:                 uint64(epoch),
		Sign:                 guard.SignRecord,
	})
}

func faultReportConfig(settings operatorfile.Gossip) faultreport.Config {
	return faultreport.Config{
		MaxByzantine:       settings.MaxByzantine,
		MaxEjectedFraction: settings.MaxEjectedFraction,
		ReportTTL:          settings.FaultReportExpiry,
	}
}

// now is the time that the cores are given: Unix time at the start, continued by the monotonic clock.
func (n *Node) now() time.Duration {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// Run starts the Node.
func (n *Node) Run() {
	go n.receive()
	go n.run()
	n.log.WithFields(logrus.Fields{
		"name": n.own.Name(), "listen": n.settings.Listen.String(), "fleet": n.settings.Fleet,
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
		n.faultEvents = append(n.faultEvents, faultreport.FaultObserved{
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
	if own.Name() != n.own.Name() || settings.Fleet != n.settings.Fleet {
		return nil, fmt.Errorf("gossip: %s of fleet %s can't become %s of fleet %s without a restart",
			n.own.Name(), n.settings.Fleet, own.Name(), settings.Fleet)
	}
	return func() error {
		if !n.post(func() { n.reload(settings, own, trust) }) {
			return ErrBusy
		}
		return nil
	}, nil
}

// reload applies new keys and settings. Authorities that the settings no longer name stay trusted for the overlap.
func (n *Node) reload(settings operatorfile.Gossip, own *pki.Member, trust *pki.Trust) {
	n.trust = trust.MergePrevious(n.trust, time.Now(), settings.AuthorityOverlap)
	removed := n.guard.UpdateTrust(own, n.trust, time.Now())
	events := []gossip.Event{gossip.UpdateSeeds{Seeds: settings.Seeds}}
	for _, name := range removed {
		n.log.WithField("peer", name).Warn("peer removed: its certificate is no longer valid")
		events = append(events, gossip.RemoveMember{Name: name})
	}
	n.settings.Seeds = settings.Seeds
	n.settings.AuthorityOverlap = settings.AuthorityOverlap
	n.faultEvents = append(n.faultEvents, faultreport.Configure{Config: faultReportConfig(settings)})
	n.step(events)
	n.log.Info("gossip settings reloaded")
}
