package nodeagent

import (
	"strconv"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// Send writes an attempt to a connection of its worker, or queues it until there is one.
func (p *Pool) Send(attempt dispatch.Attempt) {
	outgoing := &call{Attempt: attempt, target: p.workers[attempt.Worker]}
	p.attempts[attempt.Ref] = outgoing
	p.assign(outgoing)
}

// Probe sends a health check, whose answer carries the worker's load report.
func (p *Pool) Probe(id string) {
	p.probeCount++
	check := &call{
		Attempt:       dispatch.Attempt{Worker: id, ID: "p" + strconv.FormatUint(p.probeCount, 10)},
		target:        p.workers[id],
		isHealthCheck: true,
		writtenAt:     p.loop.Now(),
	}
	check.healthCheckTimer.Fire = func() {
		p.detach(check)
		p.finish(check, withoutAnswer(routing.TimedOut))
	}
	p.loop.SetDeadline(&check.healthCheckTimer, p.loop.Now()+p.options.ConnectTimeout)
	p.assign(check)
}

// Cancel abandons an attempt, whose end is then not reported. It returns whether any of the attempt was written.
func (p *Pool) Cancel(ref slotmap.Ref) (written bool) {
	canceled := p.attempts[ref]
	if canceled == nil {
		return false
	}
	delete(p.attempts, ref)
	connection := canceled.conn
	if !p.detach(canceled) {
		return false
	}
	connection.countUnansweredCancel(canceled)
	if connection.socket != nil {
		p.writeBuffer = appendCancel(p.writeBuffer[:0], canceled.ID)
		connection.writeControl(p.writeBuffer)
	}
	connection.closeIfDrained()
	return true
}

// finish reports how a call ended.
func (p *Pool) finish(ended *call, result dispatch.AttemptResult) {
	if ended.isHealthCheck {
		p.loop.ClearDeadline(&ended.healthCheckTimer)
		p.sink.ProbeEnded(ended.Worker, p.loop.Now()-ended.writtenAt, result)
		return
	}
	delete(p.attempts, ended.Ref)
	p.sink.AttemptEnded(ended.Ref, result)
}

// detach removes a call from its connection or from its worker's queue. It returns whether any of it was written.
func (p *Pool) detach(canceled *call) (written bool) {
	if canceled.conn != nil {
		canceled.conn.abandon(canceled)
		return true
	}
	canceled.target.pending = without(canceled.target.pending, canceled)
	return false
}

// writePending writes a worker's queued calls, as far as connections can carry them.
func (p *Pool) writePending(target *worker) {
	pending := target.pending
	target.pending = nil
	for _, queued := range pending {
		// While it was queued its request may have been answered, or its worker begun to drain.
		if !queued.isHealthCheck && !p.sink.MaySend(queued.Ref) {
			p.finish(queued, withoutAnswer(routing.NotSent))
			continue
		}
		if c, _ := p.pickConn(queued); c != nil {
			c.write(queued)
			continue
		}
		target.pending = append(target.pending, queued)
	}
}

// failPending ends all calls that are queued for a worker.
func (p *Pool) failPending(w *worker, outcome routing.Outcome) {
	pending := w.pending
	w.pending = nil
	for _, queued := range pending {
		p.finish(queued, withoutAnswer(outcome))
	}
}
