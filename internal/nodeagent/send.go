package nodeagent

import (
	"maps"
	"slices"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

const (
	// preferredConnsPerWorker is the number of connections to a worker that are used in parallel if there are enough
	// calls. With several connections, fewer calls fail when one connection breaks, for example after a malformed
	// response.
	preferredConnsPerWorker = 4
	// schedulersPerInFlight sets how many calls a connection carries before an extra one is opened: one call for each
	// schedulersPerInFlight schedulers, at most preferredConnsPerWorker calls. With more schedulers, each opens fewer
	// connections, because agents accept a limited number from all schedulers together.
	schedulersPerInFlight = 3
)

// Send writes an attempt to a connection to its worker, or queues it until a connection is usable.
func (p *Pool) Send(attempt dispatch.Attempt) {
	p.assign(p.calls.addAttempt(&attempt, p.workers[attempt.Worker]))
}

// Probe sends a health check. The response contains the worker's load report.
func (p *Pool) Probe(id string) {
	p.assign(p.calls.newHealthCheck(id, p.workers[id], p.options.ConnectTimeout, func(check *call) {
		p.detach(check)
		p.calls.finish(check, resultWithoutResponse(routing.TimedOut))
	}))
}

// Cancel cancels an attempt, so that its result is not reported. It reports whether the attempt was written.
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

// detach removes a call from its connection or from its worker's queue. It reports whether the call was written.
func (p *Pool) detach(canceled *call) (written bool) {
	if canceled.conn != nil {
		canceled.conn.calls.take(canceled.ID)
		p.ended.add(endedCall{canceled.conn, canceled.ID, p.loop.Now()})
		return true
	}
	canceled.target.dequeue(canceled)
	return false
}

// assign writes a call to a connection, or queues it and dials. If neither is possible, it ends the call.
func (p *Pool) assign(outgoing *call) {
	target := outgoing.target
	if target == nil || !target.isReady() {
		p.calls.finish(outgoing, resultWithoutResponse(routing.NotSent))
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
		p.calls.finish(outgoing, resultWithoutResponse(routing.ConnectFailed))
		return
	}
	target.enqueue(outgoing)
	if (len(target.pending)-1)/p.options.PipelineDepth >= target.dials.inProgress {
		p.dialer.dial(target)
	}
}

// extraConnThreshold returns the number of calls in flight on the least loaded connection at which an extra connection
// is opened.
func (p *Pool) extraConnThreshold() int {
	return min(max(p.options.Schedulers/schedulersPerInFlight, 1), preferredConnsPerWorker)
}

// addConn opens an extra connection to a worker for later calls. It does not if there is an idle limit: with more
// connections, each is idle longer and is more likely to exceed the limit.
func (p *Pool) addConn(target *worker) {
	if p.idle.unlimited() && p.dialer.mayAddConn(target, p.loop.Now()) {
		p.dialer.dial(target)
	}
}

// evictIdleConn closes the connection that has been idle longest, to make a dial possible. It considers only the
// worker's own connections if the worker is at its limit, and all connections otherwise. It returns false if all of
// them have calls in flight.
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

// writePending writes a worker's queued calls to usable connections. The remaining calls stay queued.
func (p *Pool) writePending(target *worker) {
	for _, queued := range target.takePending() {
		// The request may have ended, or the worker may have started draining, while the call was queued.
		if !p.calls.maySend(queued) {
			p.calls.finish(queued, resultWithoutResponse(routing.NotSent))
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
		p.calls.finish(queued, resultWithoutResponse(outcome))
	}
}
