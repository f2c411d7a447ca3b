package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"

	"pgregory.net/rapid"
)

// randomRun exercises a Dispatcher with calls, answers, cancellations, endpoint updates and time steps in random order.
type randomRun struct {
	*testHarness
	rt       *rapid.T
	workers  []string
	calls    []submittedCall
	inFlight []dispatch.Attempt // sent, and neither ended nor canceled
	sent     int                // number of attempts of fakeWorkers.sent that were added to inFlight
}

// submittedCall is a call of a randomRun.
type submittedCall struct {
	ref, tag        slotmap.Ref
	canceled        bool
	answersAtCancel int
}

// TestRandomOrders checks the contract of a Dispatcher for random orders of events. It guards against missing or
// duplicate final answers, answers to canceled calls, body buffers that are leaked or returned twice, and records that
// outlive their request.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := testSettings()
		settings.CancelAllowed = rapid.Bool().Draw(rt, "cancel allowed")
		settings.HedgingAllowed = rapid.Bool().Draw(rt, "hedging allowed")
		run := &randomRun{rt: rt, workers: []string{"w1", "w2", "w3"}}
		run.testHarness = newHarness(rt, settings, 0, run.workers...)
		for range rapid.IntRange(1, 100).Draw(rt, "events") {
			run.randomEvent()
			run.check()
		}
		run.loop.advance(2 * timeLeft)
		run.check()
		run.endAttempts()
		run.checkEnd()
	})
}

// randomEvent generates one event. It may also end the current pass of the loop.
func (r *randomRun) randomEvent() {
	switch rapid.IntRange(0, 6).Draw(r.rt, "event") {
	case 0:
		r.submitCall()
	case 1:
		r.endAttempt()
	case 2:
		r.cancelCall()
	case 3:
		worker := rapid.SampledFrom(r.workers).Draw(r.rt, "worker")
		state := rapid.SampledFrom([]routing.WorkerState{routing.Ready, routing.Draining, routing.Gone}).Draw(r.rt, "state")
		r.setState(worker, state)
	case 4:
		r.testHarness.workers.written = rapid.Bool().Draw(r.rt, "written")
	case 5:
		r.loop.advance(time.Duration(rapid.IntRange(1, 500).Draw(r.rt, "ms")) * time.Millisecond)
	default:
		r.loop.runPosted()
	}
}

func (r *randomRun) submitCall() {
	if len(r.calls) == poolLimit {
		return // the body buffers may all be in use
	}
	class := rapid.IntRange(idempotent, nonIdempotent).Draw(r.rt, "class")
	call := r.call(fmt.Sprint(len(r.calls)), class)
	call.Function = fmt.Sprint("function ", rapid.IntRange(0, 2).Draw(r.rt, "function"))
	call.TimeLeft = time.Duration(rapid.IntRange(1, int(timeLeft/time.Millisecond)).Draw(r.rt, "time left")) * time.Millisecond
	ref, tag := r.submit(call)
	r.calls = append(r.calls, submittedCall{ref: ref, tag: tag})
}

// endAttempt ends a random attempt in flight, then checks that a second end is ignored.
func (r *randomRun) endAttempt() {
	r.updateInFlight()
	if len(r.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.inFlight)-1).Draw(r.rt, "attempt")
	outcome := routing.Outcome(rapid.IntRange(int(routing.Served), int(routing.NotLoaded)).Draw(r.rt, "outcome"))
	ref := r.inFlight[i].Ref
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	r.AttemptEnded(ref, ended(outcome))
	if r.MaySend(ref) {
		r.rt.Errorf("MaySend of an attempt that has ended = true")
	}
	r.AttemptEnded(ref, served("a second end, which is ignored"))
}

// cancelCall cancels a random call, which may have been answered or canceled before.
func (r *randomRun) cancelCall() {
	if len(r.calls) == 0 {
		return
	}
	call := &r.calls[rapid.IntRange(0, len(r.calls)-1).Draw(r.rt, "call")]
	r.Cancel(call.ref)
	if !call.canceled {
		call.canceled = true
		call.answersAtCancel = len(r.responder.answers[call.tag])
	}
}

// updateInFlight adds the attempts that were sent since the last call and removes those that were canceled.
func (r *randomRun) updateInFlight() {
	r.inFlight = append(r.inFlight, r.testHarness.workers.sent[r.sent:]...)
	r.sent = len(r.testHarness.workers.sent)
	r.inFlight = slices.DeleteFunc(r.inFlight, func(attempt dispatch.Attempt) bool {
		return slices.Contains(r.testHarness.workers.canceled, attempt.Ref)
	})
}

// endAttempts ends all attempts in flight, and the pass.
func (r *randomRun) endAttempts() {
	r.updateInFlight()
	for _, attempt := range r.inFlight {
		r.AttemptEnded(attempt.Ref, served("late"))
	}
	r.inFlight = nil
	r.loop.runPosted()
}

// check checks that no call has more than one final answer, and that no canceled call was answered afterwards.
func (r *randomRun) check() {
	for i, call := range r.calls {
		answers := len(r.responder.answers[call.tag])
		if answers > 1 {
			r.rt.Fatalf("call %d has %d answers", i, answers)
		}
		if call.canceled && answers > call.answersAtCancel {
			r.rt.Fatalf("call %d was answered after it was canceled", i)
		}
	}
}

// checkEnd checks that every call that was not canceled has an answer, and that all tables and buffers were released.
func (r *randomRun) checkEnd() {
	for i, call := range r.calls {
		if !call.canceled && len(r.responder.answers[call.tag]) != 1 {
			r.rt.Errorf("call %d has %d answers, want 1", i, len(r.responder.answers[call.tag]))
		}
	}
	if got := r.OpenRequests(); got != 0 {
		r.rt.Errorf("%d requests are open, want 0", got)
	}
	requests, ids, attempts := dispatch.TableSizes(r.Dispatcher)
	if requests != 0 || ids != 0 || attempts != 0 {
		r.rt.Errorf("%d requests, %d IDs and %d attempts remain, want none", requests, ids, attempts)
	}
	r.wantBuffersInUse(0)
}
