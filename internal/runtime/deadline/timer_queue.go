// Package deadline keeps all timers of the event loop in one priority queue, ordered by the time at which they are due.
package deadline

import (
	"container/heap"
	"fmt"
	"time"
)

// Timer is one timer. It belongs to whoever waits for it and may be started and stopped any number of times. The zero
// Timer, with Fire set, is ready for use.
type Timer struct {
	// Fire is called once the timer is due. It is no longer queued then, so that Fire may start it again.
	Fire func()

	at       time.Duration
	sequence uint64 // number of the call of Set that started it; the order among timers due at one time
	position int    // index in the heap plus 1; 0 means not queued
}

// Queue orders timers by the time at which they are due, and those of one time by when they were set. The zero Queue is
// empty. It is not safe for concurrent use.
type Queue struct {
	timers   timerHeap
	sequence uint64 // calls of Set so far
}

// Set queues a timer for a time, or moves it there if it is queued already.
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

// Remove takes a timer out of the queue. It does nothing if the timer is not queued.
func (q *Queue) Remove(timer *Timer) {
	if timer.position > 0 {
		heap.Remove(&q.timers, timer.position-1)
	}
}

// Next returns the time at which the earliest timer is due, and whether there is one.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopDue takes out the earliest timer and returns it if it is due, and returns nil otherwise.
func (q *Queue) PopDue(now time.Duration) *Timer {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return nil
	}
	earliest := q.timers[0]
	heap.Pop(&q.timers)
	return earliest
}

// timerHeap implements heap.Interface and keeps the position of each timer up to date.
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

// Push is called by container/heap alone, with what Queue.Set gives it.
func (h *timerHeap) Push(x any) {
	timer, ok := x.(*Timer)
	if !ok {
		panic(fmt.Sprintf("deadline: a %T is no timer", x))
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
