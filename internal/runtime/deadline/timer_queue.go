// Package deadline implements the timer queue of the event loop, a priority queue ordered by due time.
package deadline

import (
	"container/heap"
	"fmt"
	"time"
)

// Timer is a timer that may be started and stopped any number of times. It is owned by the caller of Queue.Set. A zero
// Timer with Fire set is ready to use.
type Timer struct {
	// Fire is called when the timer is due. The timer is removed from the queue before, so Fire may start it again.
	Fire func()

	at       time.Duration
	sequence uint64 // number of the Set call that started it; orders timers with the same due time
	position int    // index in the heap plus 1; 0 if not queued
}

// Queue orders timers by due time, and timers with the same due time by the order of their Set calls. The zero Queue is
// empty and ready to use. It is not safe for concurrent use.
type Queue struct {
	timers   timerHeap
	sequence uint64 // number of Set calls so far
}

// Set queues a timer with a due time, or changes the due time of a queued timer.
func (q *Queue) Set(timer *Timer, at time.Duration) {
	q.sequence++
	timer.at = at
	timer.sequence = q.sequence
	if timer.position > 0 {
		heap.Fix(&q.timers, timer.position-1)
		return
	}
	heap.Push(&q.timers, timer)
}

// Remove removes a timer from the queue. It does nothing if the timer is not queued.
func (q *Queue) Remove(timer *Timer) {
	if timer.position > 0 {
		heap.Remove(&q.timers, timer.position-1)
	}
}

// Next returns the due time of the earliest timer, and whether any timer is queued.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopDue removes and returns the earliest timer if it is due by now, and returns nil otherwise.
func (q *Queue) PopDue(now time.Duration) *Timer {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return nil
	}
	earliest := q.timers[0]
	heap.Pop(&q.timers)
	return earliest
}

// timerHeap implements heap.Interface and maintains the position of each timer.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

// Push implements heap.Interface. x must be a *Timer.
func (h *timerHeap) Push(x any) {
	timer, ok := x.(*Timer)
	if !ok {
		panic(fmt.Sprintf("deadline: pushed a %T, want *Timer", x))
	}
	*h = append(*h, timer)
	timer.position = len(*h)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	timer.position = 0
	return timer
}
