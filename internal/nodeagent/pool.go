// Package nodeagent sends attempts and health checks to the node agents of the workers.
//
// A Pool keeps a few pipelined connections to each worker, writes commands to them and matches the answers to the
// calls in flight. Its components own the state: the listed workers and their queues (worker), the calls that have not
// ended (callTable), the limits and the queue of dials (dialer), how long connections may be idle (idlePolicy), and on each
// connection the calls in flight (pipeline). Everything runs on the event loop; nothing here is safe for concurrent use.
package nodeagent

import (
	"slices"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/localfault"
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

// Pool keeps the connections to all workers and decides which of them carries a call. It implements dispatch.Workers. All
// methods must be called on the event loop.
type Pool struct {
	loop    Loop
	options Options
	log     logrus.FieldLogger

	workers  map[string]*worker // by id, those that are listed
	calls    callTable
	dialer   dialer
	idle     idlePolicy
	commands commandBuffer
}

// New returns a Pool without workers.
func New(loop Loop, sink Sink, options Options, log logrus.FieldLogger) *Pool {
	pool := &Pool{
		loop:     loop,
		options:  options,
		log:      log,
		workers:  map[string]*worker{},
		calls:    callTable{loop: loop, sink: sink, attempts: map[slotmap.Ref]*call{}},
		idle:     idlePolicy{closeAfter: options.IdleCloseAfter},
		commands: commandBuffer{classes: options.Classes},
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

// removeWorker forgets a worker that is gone. Calls in flight may still be answered, so its connections are drained;
// another worker at the same address, or with the same id, never gets to use them.
func (p *Pool) removeWorker(w *worker) {
	w.markGone()
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

// connect starts a dial for the dialer.
func (p *Pool) connect(target *worker) {
	dialed := &conn{pool: p, target: target, calls: newPipeline(p.options.PipelineDepth)}
	p.loop.Dial(target.addr, p.options.ConnectTimeout, dialed, func(err error) { p.dialFailed(target, err) })
}

// dialFailed tries a dial that failed for a fault of this machine again. Otherwise it ends the calls that no other
// connection can carry, if no other dial to the worker is in progress: as failed to connect, if that says anything of the
// worker.
func (p *Pool) dialFailed(target *worker, err error) {
	fault := localfault.KindOf(err)
	if fault != localfault.None && p.redial(target) {
		return
	}
	p.dialer.failed(target, p.loop.Now())
	p.log.WithError(err).WithField("worker", target.id).Warn("agent not reached")
	if target.dials.inProgress == 0 {
		p.writePending(target) // other connections may have become usable meanwhile
		outcome := routing.ConnectFailed
		if fault == localfault.ResourceExhausted {
			outcome = routing.NotSent
		}
		p.failPending(target, outcome)
	}
	p.dialer.startQueued()
}

// redial repeats a dial after a pause that doubles, and reports whether it does: not for ever, and only while calls wait
// for it.
func (p *Pool) redial(target *worker) bool {
	pause, more := target.dials.nextRedial()
	if !more || len(target.pending) == 0 || !target.isReady() {
		return false
	}
	timer := &deadline.Timer{Fire: func() { p.connect(target) }}
	p.loop.SetDeadline(timer, p.loop.Now()+pause)
	return true
}

// idleLimitChanged checks all connections at once after a change of how long they may be idle.
func (p *Pool) idleLimitChanged() {
	p.log.WithField("rest", p.idle.limit).Info("agent connections: maximum idle time changed")
	now := p.loop.Now()
	for _, target := range p.workers {
		for _, c := range target.conns {
			c.checkIdleAt(now)
		}
	}
}
