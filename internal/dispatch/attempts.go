package dispatch

import (
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// attempt is one try of a request on one worker, while it is in flight.
type attempt struct {
	ref           slotmap.Ref
	request       *request
	number        int // among the attempts of its request, from 0
	worker        string
	sentAt        time.Duration
	deadline      time.Duration // it times out then
	startDeadline time.Duration // it must not be written at or after this time
	timer         deadline.Timer
}

// send starts an attempt that the Router decided on. One that may not be sent any more is recorded and ended all the same:
// the Router numbers the attempts by its Sends, and each Send is owed an AttemptEnded.
func (d *Dispatcher) send(action routing.Send) {
	req, ok := d.requestByID(action.ID)
	if !ok {
		return
	}
	now := d.loop.Now()
	att := &attempt{request: req, number: len(req.attempts), worker: action.Worker, sentAt: now}
	att.ref = d.attempts.Insert(att)
	req.attempts = append(req.attempts, att.ref)
	req.attemptsInFlight++
	att.deadline = req.deadline
	if action.Timeout > 0 {
		att.deadline = min(req.deadline, now+action.Timeout)
	}
	att.startDeadline = att.deadline
	if action.StartWithin > 0 {
		att.startDeadline = now + action.StartWithin
	}
	if !d.MaySend(att.ref) {
		d.finishAttempt(att, AttemptResult{Outcome: routing.NotSent, InFlightForFunction: InFlightUnknown})
		return
	}
	att.timer.Fire = func() { d.cancelAttempt(att, routing.TimedOut, routing.ConnectFailed) }
	d.loop.SetDeadline(&att.timer, att.deadline)
	d.workers.Send(att.message(now))
}

// message is the attempt as the transport sends it at a moment.
func (a *attempt) message(now time.Duration) Attempt {
	req := a.request
	message := Attempt{
		Ref:            a.ref,
		Worker:         a.worker,
		ID:             req.ID,
		Class:          req.Class,
		Function:       req.Function,
		IdempotencyKey: req.IdempotencyKey,
		Timeout:        a.deadline - now,
	}
	if req.Body != nil {
		message.Body = req.Body.B
	}
	return message
}

// MaySend reports whether an attempt may still be written. Since the Router's last step the client may have left, its
// time have run out during a stall, or the worker have begun to drain; and workers may have forgotten the idempotency
// key of an earlier attempt while this one waited for a connection.
func (d *Dispatcher) MaySend(ref slotmap.Ref) bool {
	att, ok := d.attempts.Get(ref)
	if !ok || att.request.answered {
		return false
	}
	return d.loop.Now() < min(att.deadline, att.startDeadline) && d.workerStates[att.worker] == routing.Ready
}

// AttemptEnded reports the result of an attempt. One that has ended already, or was canceled, is ignored.
func (d *Dispatcher) AttemptEnded(ref slotmap.Ref, result AttemptResult) {
	att, ok := d.attempts.Get(ref)
	if !ok {
		return
	}
	// The client gets its answer now, not after the Router's step, since the body is valid only during this call. The
	// Router learns of it by RequestAnswered.
	if result.Outcome == routing.Served {
		d.respond(att.request, Answer{Status: Served, Body: result.Body})
	}
	d.finishAttempt(att, result)
}

// cancelAttemptByNumber cancels an attempt that the Router gave up. One that has ended already is ignored.
func (d *Dispatcher) cancelAttemptByNumber(id string, number int) {
	req, ok := d.requestByID(id)
	if !ok || number >= len(req.attempts) {
		return
	}
	if att, ok := d.attempts.Get(req.attempts[number]); ok {
		d.cancelAttempt(att, routing.Canceled, routing.NotSent)
	}
}

// cancelAttempt abandons an attempt, with an outcome for one that was written, at least in part, and one for an attempt
// that was not: that one has not run, whatever the reason for the cancellation. An attempt that timed out before it was
// written found no connection in time, and counts as a failure to connect.
func (d *Dispatcher) cancelAttempt(att *attempt, ifWritten, ifNotWritten routing.Outcome) {
	outcome := ifNotWritten
	if d.workers.Cancel(att.ref) {
		outcome = ifWritten
	}
	d.finishAttempt(att, AttemptResult{Outcome: outcome, InFlightForFunction: InFlightUnknown})
}

// finishAttempt removes an attempt and notifies the Router. Its request is released by the step, if nothing else is owed.
func (d *Dispatcher) finishAttempt(att *attempt, result AttemptResult) {
	d.loop.ClearDeadline(&att.timer)
	d.attempts.Remove(att.ref)
	att.request.attemptsInFlight--
	d.enqueue(routing.AttemptEnded{
		ID:                  att.request.ID,
		Attempt:             att.number,
		Worker:              att.worker,
		Outcome:             result.Outcome,
		RequestAnswered:     att.request.answered,
		Latency:             d.loop.Now() - att.sentAt,
		InFlightForFunction: result.InFlightForFunction,
		Report:              result.Report,
	})
}

// ProbeEnded reports the result of a health check.
func (d *Dispatcher) ProbeEnded(worker string, latency time.Duration, result AttemptResult) {
	d.enqueue(routing.ProbeEnded{Worker: worker, Outcome: result.Outcome, Latency: latency, Report: result.Report})
}
