// Package fastcgi is the front end for clients. A Server reads their requests from FastCGI connections, submits them to
// the dispatcher, and writes the answers. A Client is the other side of such a connection.
package fastcgi

import (
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/logging"
	"calicohill/internal/runtime/slotmap"

	"github.com/sirupsen/logrus"
)

// maxRequestsPerConn is how many requests a connection may have open.
const maxRequestsPerConn = 32

// Dispatcher is what a Server needs of the dispatcher.
type Dispatcher interface {
	// Submit accepts a request, see dispatch.Dispatcher. An accepted request owns its body.
	Submit(call dispatch.Call, responder dispatch.Responder, tag slotmap.Ref) (slotmap.Ref, error)
	// Cancel withdraws a request: its client has left.
	Cancel(ref slotmap.Ref)
	// HasEndpoints reports whether workers are known, so that the scheduler is ready.
	HasEndpoints() bool
}

// Loop is what a Server needs of the event loop.
type Loop interface {
	// Now is the current time, the same clock as the deadlines'.
	Now() time.Duration
	// SetDeadline has timer.Fire called on the loop at a time; a timer that is set already is moved.
	SetDeadline(timer *deadline.Timer, at time.Duration)
	// ClearDeadline stops a timer. One that is not set is ignored.
	ClearDeadline(timer *deadline.Timer)
}

// Server holds the connections of clients and the requests on them. It is a dispatch.Responder. All methods must be
// called on the event loop. Which connections are open (connTable), which requests are not complete (incompleteRequests)
// and which clients do not read (unsentConns) are components of their own.
type Server struct {
	loop           Loop
	dispatcher     Dispatcher
	pool           *bufferpool.Pool
	deployment     *deployment.Settings
	classByName    map[string]int
	maxUnsentBytes int // for all clients together
	log            logging.RateLimited
	rulesLog       logging.RateLimited
	rules          *Rules // nil if there are none

	conns      connTable
	incomplete incompleteRequests
	requests   slotmap.Table[*request] // that have begun and not ended
	unsent     unsentConns

	draining     bool          // Drain was called
	lastReceived time.Duration // when bytes last came from a client, or a client connected
	scratch      []byte        // reused for what is written
}

// Options are the settings and limits of a Server.
type Options struct {
	Deployment     *deployment.Settings
	Buffers        *bufferpool.Pool   // for requests
	MaxConns       int                // connections of clients
	MaxUnsentBytes int                // for all clients together that do not read
	Log            logrus.FieldLogger // of clients and their connections
	RulesLog       logrus.FieldLogger // of the operator's rules
}

// New returns a Server without connections.
func New(loop Loop, dispatcher Dispatcher, options Options) *Server {
	server := &Server{
		loop:           loop,
		dispatcher:     dispatcher,
		pool:           options.Buffers,
		deployment:     options.Deployment,
		classByName:    map[string]int{},
		maxUnsentBytes: options.MaxUnsentBytes,
		log:            logging.RateLimited{Log: options.Log},
		rulesLog:       logging.RateLimited{Log: options.RulesLog},
		conns:          connTable{maxConns: options.MaxConns, open: map[*conn]struct{}{}},
		unsent:         unsentConns{conns: map[*conn]struct{}{}},
	}
	for class, name := range options.Deployment.ClassNames {
		server.classByName[name] = class
	}
	return server
}

// OpenRequests returns the number of requests that have begun and not ended.
func (s *Server) OpenRequests() int { return s.requests.Len() }

// LastReceived returns when bytes last came from a client, or a client connected.
func (s *Server) LastReceived() time.Duration { return s.lastReceived }

// Drain has no further request served, since the process is about to end: each is rejected as it comes, and a connection is
// closed once no request is open on it and its answers are sent, so that its client goes elsewhere. A request that crosses
// such a close is sent again by its client. Connections whose answers were not sent yet are looked at by the next call.
func (s *Server) Drain() {
	s.draining = true
	for _, c := range s.conns.list() {
		c.closeIfDrained()
	}
}

// noteReceived notes that bytes came from a client now, or a client connected.
func (s *Server) noteReceived() { s.lastReceived = s.loop.Now() }

// reuse keeps the memory of records that were written for those to come.
func (s *Server) reuse(records []byte) { s.scratch = records[:0] }

// warn logs a fault of a client or an overload, each message at a limited rate: thousands of bad requests must not
// become thousands of lines.
func (s *Server) warn(message string, err error) { s.log.Warn(s.loop.Now(), message, err) }
