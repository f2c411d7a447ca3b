package dispatch_test

import (
	"testing"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// TestMaySend guards against writing an attempt that must no longer run: one that waited for a connection while its
// client disconnected, its deadline passed or its worker became unavailable.
func TestMaySend(t *testing.T) {
	for _, tt := range []struct {
		name  string
		after func(harness *testHarness, attempt dispatch.Attempt, ref slotmap.Ref) // runs while the attempt waits for a connection
		want  bool
	}{
		{"nothing has happened", func(*testHarness, dispatch.Attempt, slotmap.Ref) {}, true},
		{"little time has passed", func(harness *testHarness, _ dispatch.Attempt, _ slotmap.Ref) { harness.loop.now += timeLeft / 2 }, true},
		{"its time has run out during a stall", func(harness *testHarness, attempt dispatch.Attempt, _ slotmap.Ref) {
			harness.loop.now += attempt.Timeout
		}, false},
		{"its timeout has fired", func(harness *testHarness, attempt dispatch.Attempt, _ slotmap.Ref) {
			harness.loop.skipTo(harness.loop.Now() + attempt.Timeout)
		}, false},
		{"the client has left", func(harness *testHarness, _ dispatch.Attempt, ref slotmap.Ref) { harness.Cancel(ref) }, false},
		{"it has ended", func(harness *testHarness, attempt dispatch.Attempt, _ slotmap.Ref) {
			harness.AttemptEnded(attempt.Ref, ended(routing.ConnectFailed))
		}, false},
		{"the scheduler has shut down", func(harness *testHarness, _ dispatch.Attempt, _ slotmap.Ref) {
			harness.Shutdown()
			harness.loop.runPosted()
		}, false},
		{"its worker drains", func(harness *testHarness, attempt dispatch.Attempt, _ slotmap.Ref) {
			harness.setState(attempt.Worker, routing.Draining)
		}, false},
		{"its worker is gone", func(harness *testHarness, attempt dispatch.Attempt, _ slotmap.Ref) {
			harness.setState(attempt.Worker, routing.Gone)
		}, false},
		{"its worker is not in a full list", func(harness *testHarness, _ dispatch.Attempt, _ slotmap.Ref) {
			harness.UpdateEndpoints(dispatch.EndpointList{Full: true, Endpoints: endpoints(routing.Ready, "other")})
		}, false},
		{"another worker drains", func(harness *testHarness, _ dispatch.Attempt, _ slotmap.Ref) {
			harness.setState("other", routing.Draining)
		}, true},
		{"its worker drained and is ready again", func(harness *testHarness, attempt dispatch.Attempt, _ slotmap.Ref) {
			harness.setState(attempt.Worker, routing.Draining)
			harness.setState(attempt.Worker, routing.Ready)
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := testSettings()
			settings.CancelAllowed = false // otherwise the Router cancels an attempt whose request is answered
			harness := newHarness(t, settings, 0, "w")
			attempt, ref, _ := harness.send("a", idempotent)
			tt.after(harness, attempt, ref)
			if got := harness.MaySend(attempt.Ref); got != tt.want {
				t.Errorf("MaySend = %v, want %v", got, tt.want)
			}
		})
	}
}

// TestMaySendAfterAnswerOfHedge guards against writing an attempt that waited for a connection after another attempt of
// its request was served.
func TestMaySendAfterAnswerOfHedge(t *testing.T) {
	settings := testSettings()
	settings.CancelAllowed = false
	harness := newHarness(t, settings, 0, "w1", "w2")
	first, hedge, _ := harness.hedge()
	if !harness.MaySend(hedge.Ref) {
		t.Error("before the answer: MaySend = false, want true")
	}
	harness.AttemptEnded(first.Ref, served("answer"))
	if harness.MaySend(hedge.Ref) {
		t.Error("after the answer: MaySend = true, want false")
	}
}

// TestMaySendWithinDeduplicationWindow guards against a request that runs twice: after the deduplication window, the
// workers no longer recognize the idempotency key of the first attempt, even if the client still waits.
func TestMaySendWithinDeduplicationWindow(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w1", "w2")
	first, _, _ := harness.send("a", idempotentByKey)
	firstSentAt := harness.loop.Now()
	harness.loop.advance(100 * time.Millisecond)
	harness.AttemptEnded(first.Ref, ended(routing.ConnectionReset)) // it may have run
	harness.loop.runPosted()
	if len(harness.workers.sent) != 2 {
		t.Fatalf("attempts sent: %v, want a retry", harness.workers.sent)
	}
	retry := harness.workers.sent[1]
	if retry.IdempotencyKey != first.IdempotencyKey {
		t.Errorf("retry with key %q, want %q", retry.IdempotencyKey, first.IdempotencyKey)
	}
	startDeadline := firstSentAt + deduplicationWindow - testSettings().Tick
	for _, tt := range []struct {
		name string
		now  time.Duration
		want bool
	}{
		{"just before", startDeadline - 1, true},
		{"at the end of the window", startDeadline, false},
	} {
		harness.loop.now = tt.now
		if got := harness.MaySend(retry.Ref); got != tt.want {
			t.Errorf("%s: MaySend = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestExpiredAttempt guards against a non-idempotent request that is rejected, and so retried by its client, although
// its attempt was written before it timed out and may have run.
func TestExpiredAttempt(t *testing.T) {
	for _, tt := range []struct {
		name    string
		written bool
		want    dispatch.Status
	}{
		{"written", true, dispatch.Failed},
		{"not written", false, dispatch.Rejected},
	} {
		t.Run(tt.name, func(t *testing.T) {
			harness := newHarness(t, testSettings(), 0, "w")
			harness.workers.written = tt.written
			_, _, tag := harness.send("a", nonIdempotent)
			harness.loop.advance(timeLeft)
			harness.wantAnswers(tag, tt.want)
			if len(harness.workers.canceled) != 1 {
				t.Errorf("canceled %v, want the attempt", harness.workers.canceled)
			}
		})
	}
}

// TestAnsweredBeforeClientGivesUp guards against answers that reach the client after its deadline because no time was
// reserved for the network.
func TestAnsweredBeforeClientGivesUp(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w")
	attempt, _, tag := harness.send("a", idempotent)
	if longest := timeLeft - dispatch.ResponseReserve; attempt.Timeout <= 0 || attempt.Timeout > longest {
		t.Errorf("timeout %v, want at most %v", attempt.Timeout, longest)
	}
	harness.loop.advance(timeLeft - dispatch.ResponseReserve)
	harness.wantAnswers(tag, dispatch.Rejected)
}

// TestLateAttemptEndedOfReusedSlot guards against a late result of an ended attempt that is attributed to the next
// attempt in the same slot.
func TestLateAttemptEndedOfReusedSlot(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w")
	old, oldRequest, oldTag := harness.send("old", idempotent)
	harness.AttemptEnded(old.Ref, served("answer to old"))
	harness.loop.runPosted()

	next, nextRequest, nextTag := harness.send("next", idempotent)
	if slot(old.Ref) != slot(next.Ref) || slot(oldRequest) != slot(nextRequest) {
		t.Fatal("slots are not reused: the precondition of this test does not hold")
	}
	harness.AttemptEnded(old.Ref, served("late answer to old"))
	harness.Cancel(oldRequest)
	harness.loop.runPosted()
	harness.wantAnswers(oldTag, dispatch.Served)
	harness.wantAnswers(nextTag)
	if harness.MaySend(old.Ref) {
		t.Error("MaySend of the old attempt = true, want false")
	}
	if !harness.MaySend(next.Ref) {
		t.Error("MaySend of the next attempt = false, want true")
	}

	harness.AttemptEnded(next.Ref, served("answer to next"))
	harness.loop.runPosted()
	harness.wantAnswers(nextTag, dispatch.Served)
	if got, want := string(harness.responder.answers[nextTag][0].Body), "answer to next"; got != want {
		t.Errorf("answered %q, want %q", got, want)
	}
	harness.wantBuffersInUse(0)
}

// slot returns the slot index of a Ref, without the generation.
func slot(ref slotmap.Ref) slotmap.Ref { return ref >> 32 }

// TestBothAttemptsServedInOnePass guards against two answers to one request if both of its attempts are served in one
// pass, before the Router can cancel the second.
func TestBothAttemptsServedInOnePass(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w1", "w2")
	first, hedge, tag := harness.hedge()
	harness.AttemptEnded(hedge.Ref, served("answer of the hedge"))
	harness.AttemptEnded(first.Ref, served("answer of the first"))
	harness.loop.advance(2 * timeLeft)
	harness.wantAnswers(tag, dispatch.Served)
	if got, want := string(harness.responder.answers[tag][0].Body), "answer of the hedge"; got != want {
		t.Errorf("answered %q, want %q", got, want)
	}
	if len(harness.workers.canceled) != 0 {
		t.Errorf("canceled %v, want nothing: both attempts have ended", harness.workers.canceled)
	}
	harness.wantBuffersInUse(0)
}

// TestOtherAttemptIsCanceled guards against a first attempt that keeps running after its hedge was served, and against
// a second answer when its result arrives late.
func TestOtherAttemptIsCanceled(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w1", "w2")
	first, hedge, tag := harness.hedge()
	harness.AttemptEnded(hedge.Ref, served("answer"))
	harness.loop.runPosted()
	if len(harness.workers.canceled) != 1 || harness.workers.canceled[0] != first.Ref {
		t.Errorf("canceled %v, want %v", harness.workers.canceled, first.Ref)
	}
	harness.wantBuffersInUse(0)
	harness.AttemptEnded(first.Ref, served("late answer"))
	harness.loop.advance(2 * timeLeft)
	harness.wantAnswers(tag, dispatch.Served)
	harness.wantBuffersInUse(0)
}
