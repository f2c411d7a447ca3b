package dispatch

import (
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// attempt is an attempt in flight: one try of a request at one worker.
type attempt struct {
	ref           slotmap.Ref
	request       *request
	number        int // index among the attempts of its request
	worker        string
	sentAt        time.Duration
	deadline      time.Duration // when the attempt times out
	startDeadline time.Duration // the attempt must be written before this time
	timer         deadline.Timer
}

// message returns the Attempt for the transport, with the time left until the deadline.
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

// attemptTable holds the attempts in flight and their timers, from the Router's Send until an attempt ends or is
// canceled. It belongs to a Dispatcher and is used on the event loop only.
//
// The table enqueues exactly one AttemptEnded for each attempt. The Router limits the attempts of a request
// (Settings.MaxAttempts), and the request table limits the requests.
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

// start starts an attempt that the Router requested with Send. An attempt that may no longer be sent is still recorded
// and ended as NotSent: the Router numbers attempts by its Sends and expects an AttemptEnded for each.
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

// find returns the attempt of a Ref if it is in flight.
func (t *attemptTable) find(ref slotmap.Ref) (*attempt, bool) { return t.attempts.Get(ref) }

// cancelByNumber cancels an attempt at the Router's request. It ignores an attempt that has already ended.
func (t *attemptTable) cancelByNumber(id string, number int) {
	req, ok := t.requests.find(id)
	if !ok {
		return
	}
	if att, ok := t.attempts.Get(req.attemptRef(number)); ok {
		t.cancel(att, routing.Canceled, routing.NotSent)
	}
}

// cancel cancels an attempt. Its outcome is ifWritten if any part of it was written, and ifNotWritten otherwise: an
// attempt that was not written cannot have run, whatever the reason for the cancellation. An attempt that times out
// before it is written got no connection in time, so the timer passes ConnectFailed as ifNotWritten.
func (t *attemptTable) cancel(att *attempt, ifWritten, ifNotWritten routing.Outcome) {
	outcome := ifNotWritten
	if t.workers.Cancel(att.ref) {
		outcome = ifWritten
	}
	t.finish(att, AttemptResult{Outcome: outcome, InFlightForFunction: InFlightUnknown})
}

// finish removes an attempt and enqueues its AttemptEnded. The request is released after that step if it is complete.
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
