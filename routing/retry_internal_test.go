package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// No unsafe repeat: guards against a wrong action after an attempt that did not serve the request. The permitted action
// depends on the class of the request and on the outcome.
func TestRetriesByIdempotency(t *testing.T) {
	const retry, reject, fail = "retry", "reject", "fail"
	for _, testCase := range []struct {
		name    string
		change  func(*Settings)
		outcome Outcome
		after   time.Duration
		want    string
	}{
		{"idempotent, timed out", unchangedSettings, TimedOut, 600 * millisecond, retry},
		{"idempotent, attempts used up", singleAttempt, TimedOut, 600 * millisecond, reject},
		{"non-idempotent, shed", nonIdempotent, Shed, 10 * millisecond, retry},
		{"non-idempotent, connect failed", nonIdempotent, ConnectFailed, 10 * millisecond, retry},
		{"non-idempotent, not loaded", nonIdempotent, NotLoaded, 10 * millisecond, retry},
		{"non-idempotent, connection reset", nonIdempotent, ConnectionReset, 10 * millisecond, fail},
		{"non-idempotent, error", nonIdempotent, Errored, 10 * millisecond, fail},
		{"non-idempotent, timed out", nonIdempotent, TimedOut, 600 * millisecond, fail},
		{"by key, within the deduplication window", dedupInZone, TimedOut, 1990 * millisecond, retry},
		{"by key, at the end of the deduplication window", dedupInZone, TimedOut, 1998 * millisecond, fail},
		{"by key, past the deduplication window", dedupInZone, TimedOut, 2100 * millisecond, fail},
		{"by key everywhere, past the deduplication window", dedupEverywhere, TimedOut, 2100 * millisecond, reject},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			harness := newHarness(t, settings(testCase.change), readyWorkers(6)...)
			s := harness.send("a", "f")
			acts := harness.step(testCase.after, attemptEnd(s, 0, testCase.outcome))
			got := map[string]int{
				retry: len(actionsOf[Send](acts)), reject: len(actionsOf[Reject](acts)),
				fail: len(actionsOf[Fail](acts)),
			}
			want := map[string]int{retry: 0, reject: 0, fail: 0}
			want[testCase.want] = 1
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %v, want %s", got, testCase.want)
			}
		})
	}
}

// Guards against a retry outside the deduplication scope: a retry by idempotency key goes to another worker that
// deduplicates by the same key.
func TestRetryByKeyStaysInDeduplicationScope(t *testing.T) {
	zones := map[string]int{}
	for _, w := range readyWorkers(6) {
		zones[w.ID] = w.Zone
	}
	for i := range 20 {
		harness := newHarness(t, settings(dedupInZone), readyWorkers(6)...)
		s := harness.send("a", fmt.Sprint("f", i))
		acts := actionsOf[Send](harness.step(10*millisecond, attemptEnd(s, 0, ConnectionReset)))
		if len(acts) != 1 || zones[acts[0].Worker] != zones[s.Worker] || acts[0].Worker == s.Worker {
			t.Fatalf("after %v: sent %v, want a retry at another worker of the same zone", s, acts)
		}
	}
}

// Guards against a retry or a second answer after a stream has started and then broken: the client has already received
// the beginning of the stream.
func TestStartedStreamIsNotRetried(t *testing.T) {
	harness := newHarness(t, settings(func(s *Settings) { s.Classes[0].Streaming = true }), readyWorkers(3)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, StreamStarted{ID: "a", Worker: s.Worker, Latency: 50 * millisecond})
	broken := attemptEnd(s, 0, ConnectionReset)
	broken.RequestAnswered = true
	acts := append(harness.step(500*millisecond, broken), harness.wait(3*time.Second)...)
	if len(actionsOf[Send](acts))+len(actionsOf[Reject](acts))+len(actionsOf[Fail](acts)) > 0 {
		t.Errorf("actions after a broken stream: %v", acts)
	}
}
