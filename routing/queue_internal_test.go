package routing

import (
	"testing"
	"time"
)

// A rejection advises the client when to retry: when the work ahead will be done, never later than clients follow, and
// without advice where clients do not see it.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	for _, testCase := range []struct {
		name         string
		honoured     bool
		workers      int
		inFlightWork float64 // seconds; one worker has a capacity of 12
		want         time.Duration
	}{
		{"no worker", true, 0, 0, 500 * millisecond},
		{"clients do not see Retry-After", false, 0, 0, 0},
		{"little work ahead", true, 1, 2.4, 200 * millisecond},
		{"next to no work ahead", true, 1, 0.001, tickInterval},
		{"much work ahead", true, 1, 60, 500 * millisecond},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			harness := newHarness(t, settings(func(s *Settings) {
				s.SendsRetryAfter, s.MaxRetryAfter = testCase.honoured, 500*millisecond
			}), readyWorkers(testCase.workers)...)
			harness.step(millisecond)
			harness.router.requests.inFlightWork = testCase.inFlightWork
			q := &request{Request: newTestRequest("a", "f"), class: &harness.router.settings.Classes[0]}
			harness.router.out.actions = nil
			harness.router.rejectOrFail(q, RetriesExhausted)
			got := actionsOf[Reject](harness.router.out.actions)
			if len(got) != 1 || got[0].RetryAfter.Round(millisecond) != testCase.want {
				t.Errorf("got %v, want one rejection with Retry-After %v", got, testCase.want)
			}
		})
	}
}

// The queue is served earliest deadline first.
func TestEarliestDeadlineFirst(t *testing.T) {
	harness := newHarness(t, settings())
	late, soon := newTestRequest("late", "f"), newTestRequest("soon", "g")
	soon.TimeLeft = 2 * time.Second
	harness.step(millisecond, late, soon)
	got := actionsOf[Send](harness.step(millisecond, WorkerList{Workers: readyWorkers(2)}))
	if len(got) != 2 || got[0].ID != "soon" || got[1].ID != "late" {
		t.Errorf("sent in the order %v, want soon before late", got)
	}
}
