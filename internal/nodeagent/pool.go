// Package nodeagent sends attempts and health checks to the node agents of the workers.
//
// A Pool keeps a few pipelined connections to each worker, writes commands to them and matches the answers to the
// calls in flight. Everything runs on the event loop; nothing here is safe for concurrent use.
package nodeagent

import (
	"slices"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// Sink is notified of the end of attempts and health checks.
type Sink interface {
	// MaySend reports whether an attempt may still be written: its request is open and its worker accepts work.
	MaySend(ref slotmap.Ref) bool
	// AttemptEnded is called once for each attempt that was sent and not canceled.
	AttemptEnded(ref slotmap.Ref, result dispatch.AttemptResult)
	// ProbeEnded is called once for each health check, with the time that it took.
	ProbeEnded(worker string, took time.Duration, result dispatch.AttemptResult)
}

// Loop is what a Pool needs of the event loop.
type Loop interface {
	dispatch.Loop
	// Dial connects to an address. The handler gets the connection, or onFailure the error.
	Dial(addr string, timeout time.Duration, handler eventloop.ConnHandler, onFailure func(error))
}

// Options are the settings and limits of a Pool.
type Options struct {
	Classes        []string      // names, by class number
	PipelineDepth  int           // calls in flight on one connection
	IdleCloseAfter time.Duration // after which the agents close an idle connection
	ConnectTimeout time.Duration // of a dial, and of a health check as a whole
	MaxConns       int           // connections to all workers
	MaxDescriptors int           // file descriptors for connections and dials; a dial holds two for a moment
	MaxAnswerBytes int           // longest body of an answer
	Schedulers     int           // schedulers that share the workers
}

// Pool keeps the connections to all workers. It implements dispatch.Workers.
type Pool struct {
	loop    Loop
	sink    Sink
	options Options
	log     logrus.FieldLogger

	workers  map[string]*worker    // by id
	attempts map[slotmap.Ref]*call // not yet ended; health checks are not among them
	conns    slotmap.Table[*conn]

	dialsInProgress int
	dialQueue       []*worker // workers whose dial waits for file descriptors

	idleResets  idleResetDetector
	maxIdle     time.Duration // how long a connection may be idle and still be used; 0 means no limit
	probeCount  uint64
	writeBuffer []byte // reused by each command that is written
}

// worker is a process at an address. A changed address is a new worker, and so is an id that is listed again after it
// was gone.
type worker struct {
	id              string
	addr            string
	state           routing.WorkerState
	startedAt       time.Duration
	conns           []*conn
	pending         []*call // not written yet: they wait for a connection
	dialsInProgress int
	// noExtraConnUntil is when a connection may again be added to the existing ones, after a dial has failed.
	noExtraConnUntil time.Duration
}

// call is an attempt or a health check.
type call struct {
	dispatch.Attempt
	target           *worker
	conn             *conn // nil until it is written
	isHealthCheck    bool
	writeAttempts    int // connections that turned out to be dead when it was to be written
	writtenAt        time.Duration
	healthCheckTimer deadline.Timer // the timers of attempts belong to the dispatcher
}

// withoutAnswer is the result of a call that ended without an answer of its agent.
func withoutAnswer(outcome routing.Outcome) dispatch.AttemptResult {
	return dispatch.AttemptResult{Outcome: outcome, InFlightForFunction: dispatch.InFlightUnknown}
}

// New returns a Pool without workers.
func New(loop Loop, sink Sink, options Options, log logrus.FieldLogger) *Pool {
	return &Pool{
		loop: loop, sink: sink, options: options, log: log,
		workers: map[string]*worker{}, attempts: map[slotmap.Ref]*call{},
	}
}

// UpdateEndpoints applies the endpoint list.
func (p *Pool) UpdateEndpoints(list dispatch.EndpointList) {
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		p.applyEndpoint(&endpoint)
	}
	if !list.Full {
		return
	}
	for id, w := range p.workers {
		if !listed[id] {
			p.removeWorker(w)
		}
	}
}

// applyEndpoint creates, updates or removes the worker of an endpoint.
func (p *Pool) applyEndpoint(endpoint *dispatch.Endpoint) {
	target := p.workers[endpoint.ID]
	if target != nil && (endpoint.State == routing.Gone || endpoint.Addr != target.addr) {
		p.removeWorker(target)
		target = nil
	}
	if endpoint.State == routing.Gone {
		return
	}
	if target == nil {
		target = &worker{id: endpoint.ID, addr: endpoint.Addr}
		p.workers[endpoint.ID] = target
	}
	target.state = endpoint.State
	if target.state != routing.Ready {
		p.failPending(target, routing.NotSent)
	}
	if endpoint.Started != target.startedAt {
		target.startedAt = endpoint.Started
		p.closeStaleConns(target)
	}
}

// removeWorker forgets a worker that is gone. Calls in flight may still be answered, so its connections are drained;
// another worker at the same address, or with the same id, never gets to use them.
func (p *Pool) removeWorker(w *worker) {
	w.state = routing.Gone
	delete(p.workers, w.id)
	p.failPending(w, routing.NotSent)
	for _, c := range slices.Clone(w.conns) {
		c.drain(drainWorkerGone)
		c.closeIfDrained()
	}
}

// closeStaleConns closes a worker's connections from before its latest start. The process that runs now does not
// know them: without this, calls in flight to a machine that restarted while cut off would wait for their timeouts.
func (p *Pool) closeStaleConns(w *worker) {
	for _, c := range slices.Clone(w.conns) {
		if c.openedAt < w.startedAt {
			c.close()
		}
	}
}

// without returns a copy of a list that lacks the first occurrence of an item. The original stays as it is, for those
// that iterate over it.
func without[T comparable](list []T, item T) []T {
	i := slices.Index(list, item)
	if i < 0 {
		return list
	}
	return append(list[:i:i], list[i+1:]...)
}
