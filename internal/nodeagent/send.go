package nodeagent

import (
	"maps"
	"slices"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

const (
	// preferredConnsPerWorker is how many connections to one worker are used side by side, as far as there are calls
	// for them. A connection that breaks, by one malformed answer, takes along all calls in flight on it.
	preferredConnsPerWorker = 4
	// schedulersPerInFlight is how many schedulers there are for each call that a connection carries before another
	// one is opened beside it (bounded by preferredConnsPerWorker calls): agents accept only a limited number of
	// connections of all schedulers together.
	schedulersPerInFlight = 3
)

// Send writes an attempt to a connection of its worker, or queues it until there is one.
func (p *Pool) Send(attempt dispatch.Attempt) {
	p.assign(p.calls.addAttempt(&attempt, p.workers[attempt.Worker]))
}

// Probe sends a health check, whose answer carries the worker's load report.
func (p *Pool) Probe(id string) {
	p.assign(p.calls.newHealthCheck(id, p.workers[id], p.options.ConnectTimeout, func(check *call) {
		p.detach(check)
		p.calls.finish(check, withoutAnswer(routing.TimedOut))
	}))
}

// Cancel abandons an attempt, whose end is then not reported. It returns whether any of the attempt was written.
func (p *Pool) Cancel(ref slotmap.Ref) (written bool) {
	canceled := p.calls.take(ref)
	if canceled == nil {
		return false
	}
	connection := canceled.conn
	if !p.detach(canceled) {
		return false
	}
	connection.countUnansweredCancel(canceled)
	if connection.socket != nil {
		connection.writeControl(p.commands.cancel(canceled.ID))
	}
	connection.closeIfDrained()
	return true
}

// detach removes a call from its connection or from its worker's queue. It returns whether any of it was written.
func (p *Pool) detach(canceled *call) (written bool) {
	if canceled.conn != nil {
		canceled.conn.calls.abandon(canceled.ID, p.loop.Now())
		return true
	}
	canceled.target.dequeue(canceled)
	return false
}

// assign writes a call to a connection, or queues it and dials. If neither is possible, it ends the call as failed.
func (p *Pool) assign(outgoing *call) {
	target := outgoing.target
	if target == nil || !target.isReady() {
		p.calls.finish(outgoing, withoutAnswer(routing.NotSent))
		return
	}
	if picked, usable := target.pickConn(outgoing.ID, p.loop.Now()); picked != nil {
		if picked.calls.len() >= p.extraConnThreshold() && usable < preferredConnsPerWorker {
			p.addConn(target)
		}
		picked.write(outgoing)
		return
	}
	if p.dialer.atLimit(target) && target.dials.inProgress == 0 && !p.evictIdleConn(target) {
		p.calls.finish(outgoing, withoutAnswer(routing.ConnectFailed))
		return
	}
	target.enqueue(outgoing)
	if (len(target.pending)-1)/p.options.PipelineDepth >= target.dials.inProgress {
		p.dialer.dial(target)
	}
}

// extraConnThreshold is how many calls in flight on the least loaded connection call for another one beside it.
func (p *Pool) extraConnThreshold() int {
	return min(max(p.options.Schedulers/schedulersPerInFlight, 1), preferredConnsPerWorker)
}

// addConn adds a connection to those of a worker, for the calls to come. Where connections do not survive a short idle
// time, more of them are idle for longer and are of no use.
func (p *Pool) addConn(target *worker) {
	if p.idle.survivesAny() && p.dialer.mayAddConn(target, p.loop.Now()) {
		p.dialer.dial(target)
	}
}

// evictIdleConn closes the connection that has been idle for longest, to make a dial possible: among the worker's own
// if the worker is at its limit, else among all. It reports false if all have calls in flight.
func (p *Pool) evictIdleConn(target *worker) bool {
	candidates := maps.Values(p.workers)
	if target.atConnLimit() {
		candidates = slices.Values([]*worker{target})
	}
	var longest *conn
	for owner := range candidates {
		for _, c := range owner.conns {
			if c.calls.len() == 0 && (longest == nil || c.lastActivity() < longest.lastActivity()) {
				longest = c
			}
		}
	}
	if longest == nil {
		return false
	}
	longest.close()
	return true
}

// writePending writes a worker's queued calls, as far as connections can carry them.
func (p *Pool) writePending(target *worker) {
	for _, queued := range target.takePending() {
		// While it was queued its request may have been answered, or its worker begun to drain.
		if !p.calls.maySend(queued) {
			p.calls.finish(queued, withoutAnswer(routing.NotSent))
			continue
		}
		if c, _ := target.pickConn(queued.ID, p.loop.Now()); c != nil {
			c.write(queued)
			continue
		}
		target.enqueue(queued)
	}
}

// failPending ends all calls that are queued for a worker.
func (p *Pool) failPending(target *worker, outcome routing.Outcome) {
	for _, queued := range target.takePending() {
		p.calls.finish(queued, withoutAnswer(outcome))
	}
}
