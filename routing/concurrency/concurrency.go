// Package concurrency limits how many requests of one scheduler are in flight at each worker.
//
// The limit is found by additive increase and multiplicative decrease (AIMD), as TCP finds its window: a late
// answer of a warm instance or a shed request lowers it, a quick answer raises it while it is in use. A
// worker that sheds is left alone for a time that doubles with each shed in a row.
package concurrency

import "time"

const (
	initialFleetLimit = 12.0 // requests of all schedulers together that a worker's limit starts from
	minInitialLimit   = 2    // smallest limit that one scheduler starts from
	minLimit          = 1.0
	maxLimit          = 48.0
	readmissionLimit  = 2 // highest limit of a worker that returns from ejection
	// An answer of a warm instance that takes longer than objectiveFraction of its latency objective
	// multiplies the limit by decreaseFactor; one within half of that raises it.
	objectiveFraction = 0.7
	decreaseFactor    = 0.8
	// After n sheds in a row a worker is left alone for 2^n of these parts of a service time.
	backoffDivisor = 16
	maxDoublings   = 4
	// Utilization up to which load may be spread: a loaded function over more workers, an overdue request
	// over two.
	maxSpreadUtilization = 0.4
)

// Worker is the limit of one worker and its backoff.
type Worker struct {
	limit            float64       // most requests in flight, beside those that wait for a load
	consecutiveSheds int           // requests shed in a row, up to maxDoublings
	backoffUntil     time.Duration // it gets nothing new until then
	loadBackoffUntil time.Duration // it gets no new load until then
}

// NewWorker returns the limit of a worker of which nothing is known, for one of so many schedulers.
func NewWorker(schedulers int) Worker {
	return Worker{limit: max(minInitialLimit, initialFleetLimit/float64(schedulers))}
}

// Limit is the most requests that may be in flight at a worker.
func (w *Worker) Limit() float64 { return w.limit }

// HasCapacity reports whether a worker may get one more request beside those in flight.
func (w *Worker) HasCapacity(now time.Duration, inFlight int) bool {
	return float64(inFlight) < w.limit && now >= w.backoffUntil
}

// BacksOffLoads reports whether a worker gets no new load for now.
func (w *Worker) BacksOffLoads(now time.Duration) bool { return now < w.loadBackoffUntil }

// RecordShed backs off from a worker. A request for a warm instance met a full queue, one that needed a load
// perhaps a lack of memory: the worker, or just new loads there, is left alone for part of a service time,
// doubling, or queued requests use up their attempts.
func (w *Worker) RecordShed(now time.Duration, serviceSeconds float64, mayNeedLoad bool) {
	w.consecutiveSheds = min(w.consecutiveSheds+1, maxDoublings)
	backoff := time.Duration(serviceSeconds / backoffDivisor * float64(time.Second))
	until := now + backoff<<w.consecutiveSheds
	w.loadBackoffUntil = max(w.loadBackoffUntil, until)
	if !mayNeedLoad {
		w.backoffUntil = max(w.backoffUntil, until)
		w.decrease()
	}
}

// RecordServed ends a row of sheds.
func (w *Worker) RecordServed() { w.consecutiveSheds = 0 }

// RecordWarmLatency adapts the limit to the latency of an answer of a warm instance, with so many requests
// still in flight.
func (w *Worker) RecordWarmLatency(latencySeconds, objectiveSeconds float64, inFlight int) {
	late := latencySeconds > objectiveFraction*objectiveSeconds
	quick := latencySeconds < objectiveFraction/2*objectiveSeconds
	switch {
	case late:
		w.decrease()
	case quick && float64(inFlight+1) >= w.limit/2:
		w.limit = min(maxLimit, w.limit+1/w.limit)
	}
}

// Readmit lowers the limit of a worker that returns from ejection.
func (w *Worker) Readmit() { w.limit = max(minLimit, min(w.limit, readmissionLimit)) }

func (w *Worker) decrease() { w.limit = max(minLimit, w.limit*decreaseFactor) }

// Capacity is the sum of the limits of the workers that may get requests, and the part of it that is in use.
type Capacity struct {
	total float64
	used  float64
}

// Add counts a worker with so many requests in flight.
func (c *Capacity) Add(worker *Worker, inFlight int) {
	c.used += float64(inFlight)
	c.total += worker.limit
}

// Total is the sum of the limits.
func (c *Capacity) Total() float64 { return c.total }

// Divisor is the sum of the limits, and 1 where that is less: what work ahead is divided by.
func (c *Capacity) Divisor() float64 { return max(c.total, 1) }

// MaySpread reports whether there is enough capacity to spread load: most of it is free.
func (c *Capacity) MaySpread() bool { return c.utilization() <= maxSpreadUtilization }

// CanCarryWithout reports whether the other workers can carry the load of this one too.
func (c *Capacity) CanCarryWithout(worker *Worker) bool {
	remaining := c.total - worker.limit
	return c.utilization()*c.total < maxSpreadUtilization*remaining
}

// utilization is the part of the capacity that is in use.
func (c *Capacity) utilization() float64 { return c.used / c.Divisor() }
