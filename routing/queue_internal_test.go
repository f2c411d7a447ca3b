package routing

import (
	"testing"
	"time"
)

// Guards against wrong Retry-After advice in rejections: it is the time until the queued work is done, at most
// Settings.MaxRetryAfter, and absent where clients do not receive it.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	for _, testCase := range []struct {
		name         string
		honored      bool
		workers      int
		inFlightWork float64 // seconds; one worker has a capacity of 12
		want         time.Duration
	}{
		{"no worker", true, 0, 0, 500 * millisecond},
		{"Retry-After not honored", false, 0, 0, 0},
		{"short queue", true, 1, 2.4, 200 * millisecond},
		{"almost empty queue", true, 1, 0.001, tickInterval},
		{"long queue", true, 1, 60, 500 * millisecond},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			harness := newHarness(t, settings(func(s *Settings) {
				s.SendsRetryAfter, s.MaxRetryAfter = testCase.honored, 500*millisecond
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

// Guards against a queue that is not served earliest deadline first.
func TestEarliestDeadlineFirst(t *testing.T) {
	harness := newHarness(t, settings())
	late, early := newTestRequest("late", "f"), newTestRequest("early", "g")
	early.TimeLeft = 2 * time.Second
	harness.step(millisecond, late, early)
	got := actionsOf[Send](harness.step(millisecond, WorkerList{Workers: readyWorkers(2)}))
	if len(got) != 2 || got[0].ID != "early" || got[1].ID != "late" {
		t.Errorf("sent in the order %v, want early before late", got)
	}
}
