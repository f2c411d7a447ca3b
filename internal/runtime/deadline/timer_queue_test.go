package deadline_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"calicohill/internal/runtime/deadline"

	"pgregory.net/rapid"
)

func TestEmptyQueue(t *testing.T) {
	var queue deadline.Queue
	if at, ok := queue.Next(); ok {
		t.Errorf("Next() = %v for an empty queue", at)
	}
	if timer := queue.PopDue(time.Hour); timer != nil {
		t.Errorf("PopDue returned %v from an empty queue", timer)
	}
	queue.Remove(&deadline.Timer{}) // not queued: does nothing
}

func TestPopDueLeavesLaterTimers(t *testing.T) {
	var queue deadline.Queue
	timer := &deadline.Timer{}
	queue.Set(timer, 10)
	if got := queue.PopDue(9); got != nil {
		t.Error("PopDue returned a timer before it was due")
	}
	if got := queue.PopDue(10); got != timer {
		t.Error("PopDue did not return a timer that was due")
	}
	if got := queue.PopDue(10); got != nil {
		t.Error("PopDue returned a timer twice")
	}
}

// modelTimer is a timer in the reference model, with its due time and the step at which it was set.
type modelTimer struct {
	timer    *deadline.Timer
	at       time.Duration
	sequence int
}

func byDueTime(a, b modelTimer) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
}

// The queue must behave like a sorted list under any sequence of calls.
func TestQueueAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var queue deadline.Queue
		var model []modelTimer
		timers := make([]deadline.Timer, 10)
		drop := func(timer *deadline.Timer) {
			model = slices.DeleteFunc(model, func(q modelTimer) bool { return q.timer == timer })
		}
		for step := range rapid.IntRange(1, 200).Draw(rt, "steps") {
			timer := &timers[rapid.IntRange(0, len(timers)-1).Draw(rt, "timer")]
			clock := time.Duration(rapid.IntRange(0, 20).Draw(rt, "clock"))
			switch rapid.IntRange(0, 2).Draw(rt, "call") {
			case 0:
				queue.Set(timer, clock)
				drop(timer)
				model = append(model, modelTimer{timer, clock, step})
				slices.SortFunc(model, byDueTime)
			case 1:
				queue.Remove(timer)
				drop(timer)
			default:
				var want *deadline.Timer
				if len(model) > 0 && model[0].at <= clock {
					want = model[0].timer
					model = model[1:]
				}
				if got := queue.PopDue(clock); got != want {
					rt.Fatalf("PopDue(%d) = %p, want %p", clock, got, want)
				}
			}
			next, ok := queue.Next()
			if ok != (len(model) > 0) || ok && next != model[0].at {
				rt.Fatalf("Next() = %v, %v with %d timers queued", next, ok, len(model))
			}
		}
	})
}
