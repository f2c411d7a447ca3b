package routing

import (
	"testing"
	"time"
)

// Guards against a canceled request that is still queued, and counts as a request for the fallback of its pool.
func TestCanceledRequestDoesNotMoveToFallback(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	pool := &Pool{Workers: map[string]bool{}, Fallback: &Pool{Workers: map[string]bool{"w0": true}}}
	arrival := newTestRequest("a", "f")
	arrival.Pool = pool
	harness.step(0, arrival)
	// At half of the client's time without capacity, a request moves to the fallback.
	harness.step(arrival.TimeLeft/2-time.Millisecond, ClientCanceled{arrival.ID})
	if fallback := harness.router.placements.functions["f"+fallbackSuffix]; fallback != nil {
		t.Error("the canceled request was counted for the fallback")
	}
}
