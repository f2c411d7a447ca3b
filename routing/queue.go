package routing

import (
	"math"
	"slices"
	"time"
)

// enqueue puts a request into the queue, earliest deadline first.
func (r *Router) enqueue(req *request) {
	r.queue = insertSorted(r.queue, req, func(q *request) time.Duration { return q.dueAt })
}

// drainQueue sends what can be sent, earliest deadline first. A request that must wait blocks no other.
func (r *Router) drainQueue() {
	r.refreshCapacity()
	r.queue = slices.DeleteFunc(r.queue, r.leavesQueue)
}

// leavesQueue sends a queued request or ends it, if either is due, and reports whether it leaves the queue.
func (r *Router) leavesQueue(req *request) bool {
	// A request that found no capacity in half its time is rejected while its client can still do better by
	// coming back. Later a rejection is expensive where nothing was ever sent: then it is tried to the end.
	halfway := req.arrivedAt + req.TimeLeft/2 - expiryMargin
	stuck := !req.reachedWorker && r.now >= halfway && r.now < halfway+expiryMargin
	if stuck {
		if next, ok := req.forFallbackPool(); ok {
			req.Request = next
			req.function = r.functionFor(next)
			stuck = false
		}
	}
	if req.expiresAt-r.now <= expiryMargin || stuck || !r.retryAllowed(req) {
		r.rejectOrFail(req)
	}
	if req.answered {
		return true
	}
	target, warm := r.pick(req)
	if target != nil && !warm && !r.settings.LoadOnDemand && r.settings.LoadAllowed {
		// Only an order loads the function: requests are queued here until it is answered.
		r.orderLoad(target, req.function)
		return false
	}
	return target != nil && r.startAttempt(req, target, warm)
}

// workAhead is the sum of the service times, in seconds, of what is in flight and of what is queued and due
// no later than a deadline.
func (r *Router) workAhead(deadline time.Duration) float64 {
	sum := r.inFlightWork
	for _, queued := range r.queue {
		if queued.dueAt > deadline {
			break
		}
		sum += r.latency.ServiceTime(&queued.function.latency, r.now)
	}
	return sum
}

// retryAfter is the advice that goes with a rejection: when the work that is now ahead will be done, but no
// longer than clients follow. With no eligible worker that is unknown, and it is the longest advice.
func (r *Router) retryAfter() time.Duration {
	if r.capacity.Total() == 0 {
		return r.settings.MaxRetryAfter
	}
	drained := durationOf(r.workAhead(math.MaxInt64) / r.capacity.Total())
	return min(max(drained, tickInterval), r.settings.MaxRetryAfter)
}
