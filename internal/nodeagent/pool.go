// Package nodeagent sends attempts and health checks to the node agents of the workers.
//
// A Pool keeps a few pipelined connections to each worker, writes commands to them and matches responses to the calls
// in flight. Its components own the state:
//   - worker: a listed worker and its queue of calls;
//   - callTable: the open calls;
//   - dialer: the limits on connections and the queue of dials;
//   - idlePolicy: how long connections may be idle;
//   - pipeline: the calls in flight on a connection;
//   - endedCalls: the IDs of the calls that ended recently, on all connections;
//   - responseMemory: the memory for incomplete responses, on all connections.
//
// All code runs on the event loop. Nothing in this package is safe for concurrent use.
package nodeagent

import (
	"slices"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/localfault"
	"calicohill/internal/runtime/outbound"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// Sink receives the results of attempts and health checks.
type Sink interface {
	// MaySend reports whether an attempt may still be written: its request is open and its worker accepts calls.
	MaySend(ref slotmap.Ref) bool
	// AttemptEnded is called exactly once for each attempt that was passed to Send and not canceled.
	AttemptEnded(ref slotmap.Ref, result dispatch.AttemptResult)
	// ProbeEnded is called exactly once for each health check, with its duration.
	ProbeEnded(worker string, took time.Duration, result dispatch.AttemptResult)
}

// Loop is the part of the event loop that a Pool uses.
type Loop interface {
	dispatch.Loop
	// Dial connects to an address. It passes the connection to the handler, or the error to onFailure.
	Dial(addr string, timeout time.Duration, handler eventloop.ConnHandler, onFailure func(error))
}

// Options holds the settings and limits of a Pool.
type Options struct {
	Classes          []string      // class names by class number
	PipelineDepth    int           // limit on calls in flight on a connection
	IdleCloseAfter   time.Duration // time after which agents close an idle connection
	ConnectTimeout   time.Duration // timeout of a dial, and of a whole health check
	MaxConns         int           // limit on connections to all workers
	MaxDescriptors   int           // limit on file descriptors for connections and dials; a dial uses two temporarily
	MaxResponseBytes int           // limit on the body of a response
	UnsentMemory     int           // limit on the memory for bytes that agents have not read; 0 means none
	ResponseMemory   int           // limit on the memory for incomplete responses, in bytes; 0 means none
	EndedCallMemory  int           // limit on the memory for IDs of ended calls, in bytes; 0 means none
	Schedulers       int           // number of schedulers that share the workers
}

// Pool manages the connections to all workers and selects a connection for each call. It implements dispatch.Workers.
// All methods must be called on the event loop.
type Pool struct {
	loop    Loop
	options Options
	log     logrus.FieldLogger

	workers   map[string]*worker // listed workers by ID
	calls     callTable
	ended     endedCalls
	responses responseMemory
	unsent    outbound.Tracker[*conn]
	dialer    dialer
	idle      idlePolicy
	commands  commandBuffer
}

// New returns a Pool without workers.
func New(loop Loop, sink Sink, options Options, log logrus.FieldLogger) *Pool {
	pool := &Pool{
		loop:      loop,
		options:   options,
		log:       log,
		workers:   map[string]*worker{},
		calls:     callTable{loop: loop, sink: sink, attempts: map[slotmap.Ref]*call{}},
		ended:     endedCalls{limit: maxEndedCalls(options.EndedCallMemory)},
		responses: responseMemory{limit: options.ResponseMemory, holders: map[*conn]struct{}{}},
		idle:      idlePolicy{closeAfter: options.IdleCloseAfter},
		commands:  commandBuffer{classes: options.Classes},
	}
	pool.dialer = dialer{
		maxConns:       options.MaxConns,
		maxDescriptors: options.MaxDescriptors,
		connect:        pool.connect,
		conns:          map[*conn]struct{}{},
	}
	return pool
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

// Usage is what a Pool holds for its connections.
type Usage struct {
	Conns                int
	RecentlyEnded        int // IDs of ended calls to which a late response may still arrive
	ResponseBytes        int // memory for incomplete responses
	HighestResponseBytes int // maximum of ResponseBytes since the start
}

// Usage returns what the Pool currently holds.
func (p *Pool) Usage() Usage {
	return Usage{
		Conns:                len(p.dialer.conns),
		RecentlyEnded:        len(p.ended.calls),
		ResponseBytes:        p.responses.used,
		HighestResponseBytes: p.responses.highest,
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
	restarted := target.update(endpoint)
	if !target.isReady() {
		p.failPending(target, routing.NotSent)
	}
	if restarted {
		p.closeStaleConns(target)
	}
}

// removeWorker removes a worker that is no longer listed. Its connections are drained, because calls in flight may
// still be answered. A later worker with the same address or ID does not use these connections.
func (p *Pool) removeWorker(w *worker) {
	w.markGone()
	delete(p.workers, w.id)
	p.failPending(w, routing.NotSent)
	for _, c := range slices.Clone(w.conns) {
		c.drain(drainWorkerGone)
		c.closeIfDrained()
	}
}

// closeStaleConns closes the connections to a worker that were opened before its latest start, because the current
// process does not have them. Otherwise, if a machine restarts while it is disconnected, calls in flight to it would
// wait for their timeouts.
func (p *Pool) closeStaleConns(w *worker) {
	for _, c := range slices.Clone(w.conns) {
		if c.openedAt < w.startedAt {
			c.close()
		}
	}
}

// connect starts a dial on behalf of the dialer.
func (p *Pool) connect(target *worker) {
	dialed := &conn{pool: p, target: target, calls: newPipeline(p.options.PipelineDepth)}
	p.loop.Dial(target.addr, p.options.ConnectTimeout, dialed, func(err error) { p.dialFailed(target, err) })
}

// dialFailed retries a dial that failed because of a local fault. If there is no retry and no other dial to the worker
// is in progress, it ends the queued calls that no other connection can carry. Their outcome is ConnectFailed, or
// NotSent if the cause was a lack of local resources, which is no evidence of a worker fault.
func (p *Pool) dialFailed(target *worker, err error) {
	fault := localfault.KindOf(err)
	if fault != localfault.None && p.redial(target) {
		return
	}
	p.dialer.failed(target, p.loop.Now())
	p.log.WithError(err).WithField("worker", target.id).Warn("dial to agent failed")
	if target.dials.inProgress == 0 {
		p.writePending(target) // other connections may have become usable
		outcome := routing.ConnectFailed
		if fault == localfault.ResourceExhausted {
			outcome = routing.NotSent
		}
		p.failPending(target, outcome)
	}
	p.dialer.startQueued()
}

// redial schedules a retry of a dial with exponential backoff and reports whether it did. It does not if the retries
// are used up, no calls are queued for the worker, or the worker is not ready.
func (p *Pool) redial(target *worker) bool {
	pause, more := target.dials.nextRedial()
	if !more || len(target.pending) == 0 || !target.isReady() {
		return false
	}
	timer := &deadline.Timer{Fire: func() { p.connect(target) }}
	p.loop.SetDeadline(timer, p.loop.Now()+pause)
	return true
}

// idleLimitChanged checks all connections immediately after a change of the idle limit.
func (p *Pool) idleLimitChanged() {
	p.log.WithField("rest", p.idle.limit).Info("agent connection idle limit changed")
	now := p.loop.Now()
	for _, target := range p.workers {
		for _, c := range target.conns {
			c.checkIdleAt(now)
		}
	}
}
