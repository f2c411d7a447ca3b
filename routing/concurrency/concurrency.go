// Package concurrency limits the number of requests that one scheduler has in flight at each worker.
//
// The limit follows additive increase and multiplicative decrease (AIMD), like TCP's congestion window. A
// slow answer from a warm instance or a shed request lowers the limit; a fast answer raises it while the
// limit is in use. A worker that sheds gets an exponential backoff, which doubles with each consecutive shed.
package concurrency

import "time"

const (
	initialFleetLimit = 12.0 // initial limit of a worker, summed over all schedulers
	minInitialLimit   = 2    // minimum initial limit of a worker at one scheduler
	minLimit          = 1.0
	maxLimit          = 48.0
	readmissionLimit  = 2 // maximum limit of a worker that returns from ejection
	// An answer from a warm instance that takes longer than objectiveFraction of its latency objective
	// multiplies the limit by decreaseFactor. An answer within half of that time raises the limit.
	objectiveFraction = 0.7
	decreaseFactor    = 0.8
	// The backoff after n consecutive sheds, with n up to maxDoublings, is 2^n/backoffDivisor service times.
	backoffDivisor = 16
	maxDoublings   = 4
	// Highest utilization at which load may be spread: a loaded function over more workers, or an overdue
	// request over two.
	maxSpreadUtilization = 0.4
)

// Worker holds the concurrency limit and the backoff of one worker.
type Worker struct {
	limit            float64       // maximum requests in flight, excluding those that wait for a load
	consecutiveSheds int           // up to maxDoublings
	backoffUntil     time.Duration // no new requests before this time
	loadBackoffUntil time.Duration // no new loads before this time
}

// NewWorker returns the initial state of a new worker at one of the given number of schedulers.
func NewWorker(schedulers int) Worker {
	return Worker{limit: max(minInitialLimit, initialFleetLimit/float64(schedulers))}
}

// Limit returns the maximum number of requests in flight at the worker.
func (w *Worker) Limit() float64 { return w.limit }

// HasCapacity reports whether the worker may be sent one more request in addition to those in flight.
func (w *Worker) HasCapacity(now time.Duration, inFlight int) bool {
	return float64(inFlight) < w.limit && now >= w.backoffUntil
}

// BacksOffLoads reports whether new loads at the worker are suspended by its backoff.
func (w *Worker) BacksOffLoads(now time.Duration) bool { return now < w.loadBackoffUntil }

// RecordShed starts a backoff after the worker has shed a request. A shed of a request for a warm instance
// means that the queue is full; a shed of a request that needed a load may mean that memory is short, and
// then only loads are backed off. The backoff is a fraction of a service time that doubles with each
// consecutive shed. Without it, queued requests use up their attempts at the worker.
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

// RecordServed resets the count of consecutive sheds.
func (w *Worker) RecordServed() { w.consecutiveSheds = 0 }

// RecordWarmLatency adjusts the limit to the latency of an answer from a warm instance. inFlight is the
// number of requests still in flight at the worker.
func (w *Worker) RecordWarmLatency(latencySeconds, objectiveSeconds float64, inFlight int) {
	slow := latencySeconds > objectiveFraction*objectiveSeconds
	fast := latencySeconds < objectiveFraction/2*objectiveSeconds
	switch {
	case slow:
		w.decrease()
	case fast && float64(inFlight+1) >= w.limit/2:
		w.limit = min(maxLimit, w.limit+1/w.limit)
	}
}

// Readmit caps the limit of a worker that returns from ejection.
func (w *Worker) Readmit() { w.limit = max(minLimit, min(w.limit, readmissionLimit)) }

func (w *Worker) decrease() { w.limit = max(minLimit, w.limit*decreaseFactor) }

// Capacity sums the limits of the eligible workers and the requests in flight there.
type Capacity struct {
	total float64
	used  float64
}

// Add adds a worker that has inFlight requests in flight.
func (c *Capacity) Add(worker *Worker, inFlight int) {
	c.used += float64(inFlight)
	c.total += worker.limit
}

// Total returns the sum of the limits.
func (c *Capacity) Total() float64 { return c.total }

// NonzeroTotal returns the sum of the limits, but at least 1, so that the queued work can be divided by it.
func (c *Capacity) NonzeroTotal() float64 { return max(c.total, 1) }

// MaySpread reports whether enough capacity is free to spread load over more workers.
func (c *Capacity) MaySpread() bool { return c.utilization() <= maxSpreadUtilization }

// HasCapacityWithout reports whether the other workers can carry the current load of all workers at a
// utilization below maxSpreadUtilization.
func (c *Capacity) HasCapacityWithout(worker *Worker) bool {
	remaining := c.total - worker.limit
	return c.utilization()*c.total < maxSpreadUtilization*remaining
}

// utilization returns the fraction of the capacity that is in use.
func (c *Capacity) utilization() float64 { return c.used / c.NonzeroTotal() }
