// Package deadline holds all deadlines of the program in one ordered structure.
package deadline

import (
	"container/heap"
	"time"
)

// Timer is one deadline. It belongs to whoever waits for it and may be set and dropped any number of times.
type Timer struct {
	Fire func() // called once the deadline has come; the entry is no longer queued then

	at    time.Duration
	order uint64
	place int // in the heap, from 1; 0 means not queued
}

// Queue orders entries by time, and those of one time by when they were set.
type Queue struct {
	heap  entries
	count uint64
}

// Set queues an entry for a time, or moves it there.
func (q *Queue) Set(e *Timer, at time.Duration) {
	q.count++
	e.at, e.order = at, q.count
	if e.place > 0 {
		heap.Fix(&q.heap, e.place-1)
		return
	}
	heap.Push(&q.heap, e)
}

// Remove takes an entry out. One that is not queued stays so.
func (q *Queue) Remove(e *Timer) {
	if e.place > 0 {
		heap.Remove(&q.heap, e.place-1)
	}
}

// Next is the time of the earliest entry, if there is one.
func (q *Queue) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// PopDue takes out the earliest entry if its time has come, and nil otherwise.
func (q *Queue) PopDue(now time.Duration) *Timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*Timer)
}

type entries []*Timer

func (h entries) Len() int { return len(h) }
func (h entries) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i+1, j+1
}

func (h *entries) Push(x any) {
	e := x.(*Timer)
	*h = append(*h, e)
	e.place = len(*h)
}

func (h *entries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.place = 0
	return e
}
