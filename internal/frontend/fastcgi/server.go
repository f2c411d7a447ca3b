// Package fastcgi implements the FastCGI front end. A Server reads requests from client connections, submits them to
// the dispatcher and writes the responses. A Client implements the client side of a connection.
package fastcgi

import (
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/logging"
	"calicohill/internal/runtime/outbound"
	"calicohill/internal/runtime/slotmap"

	"github.com/sirupsen/logrus"
)

// maxRequestsPerConn is the maximum number of open requests on a connection.
const maxRequestsPerConn = 32

// Dispatcher is the part of the dispatcher that a Server uses.
type Dispatcher interface {
	// Submit accepts a request; see dispatch.Dispatcher. If it succeeds, the dispatcher owns the body.
	Submit(call dispatch.Call, responder dispatch.Responder, tag slotmap.Ref) (slotmap.Ref, error)
	// Cancel cancels a request whose client has disconnected or aborted it.
	Cancel(ref slotmap.Ref)
	// HasEndpoints reports whether any workers are known, which makes the scheduler ready.
	HasEndpoints() bool
}

// Loop is the part of the event loop that a Server uses.
type Loop interface {
	// Now returns the current time on the clock of the deadlines.
	Now() time.Duration
	// SetDeadline schedules a call of timer.Fire on the loop. A timer that is already set is rescheduled.
	SetDeadline(timer *deadline.Timer, at time.Duration)
	// ClearDeadline stops a timer. It does nothing if the timer is not set.
	ClearDeadline(timer *deadline.Timer)
}

// Server serves client connections and the requests on them. It implements dispatch.Responder. All methods must be
// called on the event loop. Separate components track the open connections (connTable), the requests that are not
// complete (incompleteRequests) and the connections with unsent bytes (outbound.Tracker).
type Server struct {
	loop             Loop
	dispatcher       Dispatcher
	pool             *bufferpool.Pool
	deployment       *deployment.Settings
	classByName      map[string]int
	maxUnsentMemory  int // for all clients, in bytes
	maxResponseBytes int // length of the longest body
	log              logging.RateLimited
	rulesLog         logging.RateLimited
	rules            *Rules // nil if there are none

	conns      connTable
	incomplete incompleteRequests
	requests   slotmap.Table[*request] // open requests
	unsent     outbound.Tracker[*conn]

	flushTimer          oneShotTimer
	progressTimer       oneShotTimer
	highestUnsentMemory int // maximum memory for unsent bytes since the start

	records          int // handled since the start
	writes           int // to connections since the start
	longestFirstRead time.Duration

	draining     bool          // Drain was called
	lastReceived time.Duration // when bytes were last received or a client last connected
	scratch      []byte        // reused buffer for outgoing records
	replies      []byte        // collected records of the connection that is handling received records
}

// Options holds the settings and limits of a Server.
type Options struct {
	Deployment       *deployment.Settings
	Buffers          *bufferpool.Pool   // limits the memory of requests, and holds their parameters and bodies
	MaxConns         int                // limit on client connections
	MaxUnsentMemory  int                // limit on the memory for unsent bytes of all clients together, in bytes
	MaxResponseBytes int                // limit on the body of a response
	Log              logrus.FieldLogger // for events of clients and their connections
	RulesLog         logrus.FieldLogger // for events of the operator's rules
}

// New returns a Server without connections.
func New(loop Loop, dispatcher Dispatcher, options Options) *Server {
	server := &Server{
		loop:             loop,
		dispatcher:       dispatcher,
		pool:             options.Buffers,
		deployment:       options.Deployment,
		classByName:      map[string]int{},
		maxUnsentMemory:  options.MaxUnsentMemory,
		maxResponseBytes: options.MaxResponseBytes,
		log:              logging.RateLimited{Log: options.Log},
		rulesLog:         logging.RateLimited{Log: options.RulesLog},
		conns:            connTable{maxConns: options.MaxConns, open: map[*conn]struct{}{}},
	}
	server.flushTimer.init(server.flush)
	server.progressTimer.init(server.checkProgress)
	for class, name := range options.Deployment.ClassNames {
		server.classByName[name] = class
	}
	return server
}

// OpenRequests returns the number of requests that have begun but not ended.
func (s *Server) OpenRequests() int { return s.requests.Len() }

// Usage is what the clients hold of a Server.
type Usage struct {
	Conns               int
	Requests            int // requests that have begun but not ended
	ReceivedBytes       int // received and not parsed yet
	FieldBytes          int // text that open requests keep of their parameters
	UnsentBytes         int
	HighestUnsentMemory int // maximum memory for unsent bytes since the start

	Records          int           // or parts of records that were handled since the start
	Writes           int           // to connections since the start
	LongestFirstRead time.Duration // longest wait of the first bytes of a connection since the start
}

// Usage returns what the clients currently hold.
func (s *Server) Usage() Usage {
	usage := Usage{
		Conns:               len(s.conns.open),
		Requests:            s.OpenRequests(),
		UnsentBytes:         s.UnsentBytes(),
		HighestUnsentMemory: s.highestUnsentMemory,
		Records:             s.records,
		Writes:              s.writes,
		LongestFirstRead:    s.longestFirstRead,
	}
	for c := range s.conns.open {
		usage.ReceivedBytes += c.socket.InboundBuffered()
		for _, open := range c.requests {
			usage.FieldBytes += open.textBytes()
		}
	}
	return usage
}

// LastReceived returns when bytes were last received or a client last connected.
func (s *Server) LastReceived() time.Duration { return s.lastReceived }

// Drain prepares for shutdown. From now on, new requests are rejected. A connection is closed once it has no open
// requests and its responses are sent, so that the client connects to another scheduler. If a request crosses the
// close, the client sends it again. Drain must be called repeatedly to close connections that still had unsent
// responses.
func (s *Server) Drain() {
	s.draining = true
	for _, c := range s.conns.list() {
		c.closeIfDrained()
	}
}

// recordReceived records that bytes were received or a client connected.
func (s *Server) recordReceived() { s.lastReceived = s.loop.Now() }

// reuseScratch keeps the memory of written records for later records.
func (s *Server) reuseScratch(records []byte) { s.scratch = records[:0] }

// warn logs a client error or an overload. It limits the rate of each message, so that a flood of bad requests does not
// flood the log.
func (s *Server) warn(message string, err error) { s.log.Warn(s.loop.Now(), message, err) }
