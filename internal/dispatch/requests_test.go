package dispatch_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// TestOneFinalAnswer guards against duplicate or missing final answers if the answer, the expiry and the cancellation
// of a request with one attempt in flight coincide, in any order. The first that takes effect decides. An expiry takes
// effect at the end of its pass, because the Router might retry the request.
func TestOneFinalAnswer(t *testing.T) {
	const (
		answer = "answer"
		leave  = "client leaves"
		expire = "expiry"
	)
	for _, tt := range []struct {
		order          []string
		onePass        []dispatch.Status // final answers if all events occur in one pass of the loop
		separatePasses []dispatch.Status // final answers if each event occurs in a separate pass
	}{
		{[]string{answer, leave, expire}, []dispatch.Status{dispatch.Served}, []dispatch.Status{dispatch.Served}},
		{[]string{answer, expire, leave}, []dispatch.Status{dispatch.Served}, []dispatch.Status{dispatch.Served}},
		{[]string{leave, answer, expire}, nil, nil},
		{[]string{leave, expire, answer}, nil, nil},
		{[]string{expire, answer, leave}, nil, []dispatch.Status{dispatch.Rejected}},
		{[]string{expire, leave, answer}, nil, []dispatch.Status{dispatch.Rejected}},
		{[]string{expire, answer}, []dispatch.Status{dispatch.Rejected}, []dispatch.Status{dispatch.Rejected}},
		{[]string{answer, answer}, []dispatch.Status{dispatch.Served}, []dispatch.Status{dispatch.Served}},
		{[]string{leave, leave}, nil, nil},
		{[]string{expire}, []dispatch.Status{dispatch.Rejected}, []dispatch.Status{dispatch.Rejected}},
	} {
		runOrder := func(t *testing.T, settings routing.Settings, onePass bool) {
			t.Helper()
			harness := newHarness(t, settings, 0, "w")
			attempt, ref, tag := harness.send("a", idempotent)
			for _, event := range tt.order {
				switch event {
				case answer:
					harness.AttemptEnded(attempt.Ref, served("answer"))
				case leave:
					harness.Cancel(ref)
				case expire:
					harness.loop.skipTo(harness.loop.Now() + timeLeft)
				}
				if !onePass {
					harness.loop.runPosted()
				}
			}
			harness.loop.advance(2 * timeLeft)
			if onePass {
				harness.wantAnswers(tag, tt.onePass...)
			} else {
				harness.wantAnswers(tag, tt.separatePasses...)
			}
			if got := harness.OpenRequests(); got != 0 {
				t.Errorf("%d requests are open, want 0", got)
			}
			harness.wantBuffersInUse(0)
		}
		cancelForbidden := testSettings()
		cancelForbidden.CancelAllowed = false
		name := strings.Join(tt.order, ", then ")
		t.Run(name+"/one pass", func(t *testing.T) { runOrder(t, testSettings(), true) })
		t.Run(name+"/separate passes", func(t *testing.T) { runOrder(t, testSettings(), false) })
		t.Run(name+"/one pass, cancel forbidden", func(t *testing.T) { runOrder(t, cancelForbidden, true) })
		t.Run(name+"/separate passes, cancel forbidden", func(t *testing.T) { runOrder(t, cancelForbidden, false) })
	}
}

// TestUnservedAnswer guards against a request that is rejected, and so retried by its client, although it may have run
// and must not run twice.
func TestUnservedAnswer(t *testing.T) {
	for _, tt := range []struct {
		name    string
		class   int
		outcome routing.Outcome
		want    dispatch.Status
	}{
		{"idempotent, connection reset", idempotent, routing.ConnectionReset, dispatch.Rejected},
		{"idempotent, error", idempotent, routing.Errored, dispatch.Rejected},
		{"non-idempotent, connection reset", nonIdempotent, routing.ConnectionReset, dispatch.Failed},
		{"non-idempotent, error", nonIdempotent, routing.Errored, dispatch.Failed},
		{"non-idempotent, shed before execution", nonIdempotent, routing.Shed, dispatch.Rejected},
		{"non-idempotent, never sent", nonIdempotent, routing.NotSent, dispatch.Rejected},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := testSettings()
			settings.MaxAttempts = 1
			harness := newHarness(t, settings, 0, "w")
			attempt, _, tag := harness.send("a", tt.class)
			harness.AttemptEnded(attempt.Ref, ended(tt.outcome))
			harness.loop.runPosted()
			harness.wantAnswers(tag, tt.want)
			harness.wantBuffersInUse(0)
		})
	}
}

// TestAnswerCarriesBody guards against an answer that is delayed to the end of the pass, when its body is no longer
// valid.
func TestAnswerCarriesBody(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w")
	attempt, _, tag := harness.send("a", idempotent)
	if got, want := string(attempt.Body), "body of a"; got != want {
		t.Errorf("sent body %q, want %q", got, want)
	}
	harness.AttemptEnded(attempt.Ref, served("answer to a"))
	harness.wantAnswers(tag, dispatch.Served) // at once, without waiting for the end of the pass
	if got, want := string(harness.responder.answers[tag][0].Body), "answer to a"; got != want {
		t.Errorf("answered %q, want %q", got, want)
	}
}

// TestNothingSentAfterCancel guards against attempts, first ones or retries, that are sent for a canceled request.
func TestNothingSentAfterCancel(t *testing.T) {
	t.Run("in the pass of Submit", func(t *testing.T) {
		harness := newHarness(t, testSettings(), 0, "w1", "w2")
		ref, tag := harness.submit(harness.call("a", idempotent))
		harness.Cancel(ref)
		harness.loop.advance(2 * timeLeft)
		if len(harness.workers.sent) != 0 {
			t.Errorf("attempts sent: %v, want none", harness.workers.sent)
		}
		harness.wantAnswers(tag)
		harness.wantBuffersInUse(0)
	})
	t.Run("while it waits for a worker", func(t *testing.T) {
		harness := newHarness(t, testSettings(), 0)
		ref, tag := harness.submit(harness.call("a", idempotent))
		harness.loop.runPosted()
		harness.Cancel(ref)
		harness.UpdateEndpoints(dispatch.EndpointList{Endpoints: endpoints(routing.Ready, "w")})
		harness.loop.advance(2 * timeLeft)
		if len(harness.workers.sent) != 0 {
			t.Errorf("attempts sent: %v, want none", harness.workers.sent)
		}
		harness.wantAnswers(tag)
		harness.wantBuffersInUse(0)
	})
	t.Run("before its attempt fails", func(t *testing.T) {
		settings := testSettings()
		settings.CancelAllowed = false
		harness := newHarness(t, settings, 0, "w1", "w2")
		attempt, ref, tag := harness.send("a", idempotent)
		harness.Cancel(ref)
		harness.loop.runPosted()
		harness.AttemptEnded(attempt.Ref, ended(routing.ConnectFailed))
		harness.loop.advance(2 * timeLeft)
		if len(harness.workers.sent) != 1 {
			t.Errorf("attempts sent: %v, want the first only", harness.workers.sent)
		}
		harness.wantAnswers(tag)
		harness.wantBuffersInUse(0)
	})
}

// TestNothingSentAfterCancelWithinRespond guards against an attempt that is sent although the front end canceled its
// request during the same step. A front end may detect disconnected clients while it writes an answer to another.
func TestNothingSentAfterCancelWithinRespond(t *testing.T) {
	harness := newHarness(t, testSettings(), 0)
	late := harness.call("late", idempotent)
	late.TimeLeft = 10 * time.Millisecond // too short for an attempt: rejected in the step that sends the other
	ref, tag := harness.submit(harness.call("other", idempotent))
	harness.loop.runPosted() // the request waits: there is no worker
	_, lateTag := harness.submit(late)
	harness.UpdateEndpoints(dispatch.EndpointList{Endpoints: endpoints(routing.Ready, "w")})
	harness.responder.onRespond = func(answered slotmap.Ref) {
		if answered == lateTag {
			harness.Cancel(ref)
		}
	}
	harness.loop.advance(2 * timeLeft)
	harness.wantAnswers(lateTag, dispatch.Rejected)
	harness.wantAnswers(tag)
	if len(harness.workers.sent) != 0 {
		t.Errorf("attempts sent: %v, want none", harness.workers.sent)
	}
	harness.wantBuffersInUse(0)
}

// TestSubmitRejectsOpenID guards against two requests with one ID: the Router ignores the second, which is never
// answered.
func TestSubmitRejectsOpenID(t *testing.T) {
	settings := testSettings()
	settings.CancelAllowed = false
	harness := newHarness(t, settings, 0, "w")
	attempt, ref, tag := harness.send("a", idempotent)
	wantDuplicate := func(when string) {
		t.Helper()
		call := harness.call("a", idempotent)
		if _, err := harness.Submit(call, harness.responder, tag+1); !errors.Is(err, dispatch.ErrDuplicateID) {
			t.Errorf("Submit %s: %v, want %v", when, err, dispatch.ErrDuplicateID)
		}
		harness.pool.Put(call.Body) // still the caller's
		harness.loop.runPosted()
	}
	wantDuplicate("while the request is open")
	harness.Cancel(ref)
	wantDuplicate("while an attempt is in flight")
	harness.AttemptEnded(attempt.Ref, served("late"))
	harness.loop.runPosted()
	harness.wantBuffersInUse(0)
	again, _, againTag := harness.send("a", idempotent) // released: the ID is free
	harness.AttemptEnded(again.Ref, served("answer"))
	harness.wantAnswers(tag)
	harness.wantAnswers(againTag, dispatch.Served)
}

// TestMaxOpenRequests guards against answered requests that count towards the limit on open requests. They stay in the
// table while an attempt is in flight.
func TestMaxOpenRequests(t *testing.T) {
	const limit = 2
	settings := testSettings()
	settings.CancelAllowed = false
	harness := newHarness(t, settings, limit, "w")
	submit := func(id string) error {
		t.Helper()
		call := harness.call(id, idempotent)
		_, err := harness.Submit(call, harness.responder, 100)
		if err != nil {
			harness.pool.Put(call.Body) // still the caller's
		}
		harness.loop.runPosted()
		return err
	}
	attempt, _, _ := harness.send("a", idempotent)
	_, ref, _ := harness.send("b", idempotent)
	if err := submit("c"); !errors.Is(err, dispatch.ErrTooManyRequests) {
		t.Errorf("Submit beyond the limit: %v, want %v", err, dispatch.ErrTooManyRequests)
	}
	harness.wantBuffersInUse(limit)
	harness.AttemptEnded(attempt.Ref, served("answer"))
	if err := submit("c"); err != nil {
		t.Errorf("Submit after an answer: %v, want success", err)
	}
	harness.Cancel(ref) // its attempt stays in flight because the settings forbid cancellation
	if err := submit("d"); err != nil {
		t.Errorf("Submit after a cancellation: %v, want success", err)
	}
	if err := submit("e"); !errors.Is(err, dispatch.ErrTooManyRequests) {
		t.Errorf("Submit beyond the limit: %v, want %v", err, dispatch.ErrTooManyRequests)
	}
	if got := harness.OpenRequests(); got != limit {
		t.Errorf("%d requests are open, want %d", got, limit)
	}
}

// TestBodyReturnedAfterLastAttempt guards against a body that is returned to the pool, and reused, while an attempt of
// its request is still in flight, and against bodies that are never returned.
func TestBodyReturnedAfterLastAttempt(t *testing.T) {
	t.Run("not while a hedge is in flight", func(t *testing.T) {
		settings := testSettings()
		settings.CancelAllowed = false
		harness := newHarness(t, settings, 0, "w1", "w2")
		first, hedge, tag := harness.hedge()
		harness.AttemptEnded(hedge.Ref, served("answer of the hedge"))
		harness.loop.runPosted()
		harness.wantAnswers(tag, dispatch.Served)
		harness.wantBuffersInUse(1)
		if got, want := string(first.Body), "body of a"; got != want {
			t.Errorf("body of the attempt in flight is %q, want %q", got, want)
		}
		harness.AttemptEnded(first.Ref, served("answer of the first"))
		harness.loop.runPosted()
		harness.wantAnswers(tag, dispatch.Served)
		harness.wantBuffersInUse(0)
	})
	t.Run("when the attempt is canceled", func(t *testing.T) {
		harness := newHarness(t, testSettings(), 0, "w")
		attempt, ref, _ := harness.send("a", idempotent)
		harness.Cancel(ref)
		harness.wantBuffersInUse(1)
		harness.loop.runPosted()
		if want := []slotmap.Ref{attempt.Ref}; !slices.Equal(harness.workers.canceled, want) {
			t.Errorf("canceled %v, want %v", harness.workers.canceled, want)
		}
		harness.wantBuffersInUse(0)
	})
	t.Run("without attempts", func(t *testing.T) {
		harness := newHarness(t, testSettings(), 0)
		_, tag := harness.submit(harness.call("a", idempotent))
		harness.loop.advance(timeLeft)
		harness.wantAnswers(tag, dispatch.Rejected)
		harness.wantBuffersInUse(0)
	})
	t.Run("no body", func(t *testing.T) {
		harness := newHarness(t, testSettings(), 0)
		_, tag := harness.submit(dispatch.Call{ID: "a", Function: "function", TimeLeft: timeLeft})
		harness.loop.advance(timeLeft)
		harness.wantAnswers(tag, dispatch.Rejected)
		harness.wantBuffersInUse(0)
	})
}

// TestShutdown guards against open requests that get no answer at shutdown, or a second one from a late result.
func TestShutdown(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w")
	inFlight, _, tag := harness.send("in flight", nonIdempotent)
	_, ref, leftTag := harness.send("left", idempotent)
	harness.setState("w", routing.Draining)
	_, waitingTag := harness.submit(harness.call("waiting", nonIdempotent))
	harness.loop.runPosted()
	harness.Cancel(ref)
	harness.Shutdown()
	harness.loop.runPosted()
	harness.AttemptEnded(inFlight.Ref, served("late"))
	harness.loop.advance(2 * timeLeft)
	harness.wantAnswers(tag, dispatch.Failed)
	harness.wantAnswers(waitingTag, dispatch.Rejected)
	harness.wantAnswers(leftTag)
	harness.wantBuffersInUse(0)
}
