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

// attemptTable holds the attempts in flight, each with its deadline, from the Router's Send until they end or are
// canceled. It belongs to a Dispatcher and is used on the event loop only.
//
// Each attempt is enqueued as exactly one AttemptEnded. The Router bounds the attempts of a request (Settings.MaxAttempts),
// and the request table bounds the requests.
type attemptTable struct {
	loop      Loop
	requests  *requestTable
	endpoints *endpointTable
	log       *decisionLog
	enqueue   func(routing.Event)
	workers   Workers
	attempts  slotmap.Table[*attempt]
}

// setWorkers sets the transport that sends the attempts.
func (t *attemptTable) setWorkers(workers Workers) { t.workers = workers }

// start starts an attempt that the Router decided on. One that may not be sent any more is recorded and ended all the
// same: the Router numbers the attempts by its Sends, and each Send is owed an AttemptEnded.
func (t *attemptTable) start(action routing.Send) {
	req, ok := t.requests.find(action.ID)
	if !ok {
		return
	}
	now := t.loop.Now()
	att := &attempt{request: req, worker: action.Worker, sentAt: now}
	att.ref = t.attempts.Insert(att)
	att.number = req.beginAttempt(att.ref)
	att.deadline = req.deadline
	if action.Timeout > 0 {
		att.deadline = min(req.deadline, now+action.Timeout)
	}
	att.startDeadline = att.deadline
	if action.StartWithin > 0 {
		att.startDeadline = now + action.StartWithin
	}
	if !t.maySend(att.ref) {
		t.finish(att, AttemptResult{Outcome: routing.NotSent, InFlightForFunction: InFlightUnknown})
		return
	}
	att.timer.Fire = func() { t.cancel(att, routing.TimedOut, routing.ConnectFailed) }
	t.loop.SetDeadline(&att.timer, att.deadline)
	t.workers.Send(att.message(now))
}

// maySend reports whether an attempt may still be written.
func (t *attemptTable) maySend(ref slotmap.Ref) bool {
	att, ok := t.attempts.Get(ref)
	if !ok || att.request.isAnswered() {
		return false
	}
	return t.loop.Now() < min(att.deadline, att.startDeadline) && t.endpoints.isReady(att.worker)
}

// find returns an attempt that is in flight.
func (t *attemptTable) find(ref slotmap.Ref) (*attempt, bool) { return t.attempts.Get(ref) }

// cancelByNumber cancels an attempt that the Router gave up. One that has ended already is ignored.
func (t *attemptTable) cancelByNumber(id string, number int) {
	req, ok := t.requests.find(id)
	if !ok {
		return
	}
	if att, ok := t.attempts.Get(req.attemptRef(number)); ok {
		t.cancel(att, routing.Canceled, routing.NotSent)
	}
}

// cancel abandons an attempt, with an outcome for one that was written, at least in part, and one for an attempt that was
// not: that one has not run, whatever the reason for the cancellation. An attempt that timed out before it was written
// found no connection in time, and counts as a failure to connect.
func (t *attemptTable) cancel(att *attempt, ifWritten, ifNotWritten routing.Outcome) {
	outcome := ifNotWritten
	if t.workers.Cancel(att.ref) {
		outcome = ifWritten
	}
	t.finish(att, AttemptResult{Outcome: outcome, InFlightForFunction: InFlightUnknown})
}

// finish removes an attempt and enqueues its end. Its request is released after the step, if nothing else is owed.
func (t *attemptTable) finish(att *attempt, result AttemptResult) {
	t.loop.ClearDeadline(&att.timer)
	t.attempts.Remove(att.ref)
	att.request.endAttempt()
	latency := t.loop.Now() - att.sentAt
	t.log.attemptEnded(att, result.Outcome, latency)
	t.enqueue(routing.AttemptEnded{
		ID:                  att.request.ID,
		Attempt:             att.number,
		Worker:              att.worker,
		Outcome:             result.Outcome,
		RequestAnswered:     att.request.isAnswered(),
		Latency:             latency,
		InFlightForFunction: result.InFlightForFunction,
		Report:              result.Report,
	})
}
