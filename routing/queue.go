package routing

import (
	"math"
	"slices"
	"time"
)

// hold puts a request among those that wait, least deadline first.
func (r *Router) enqueue(q *request) {
	r.queue = insertSorted(r.queue, q, func(q *request) time.Duration { return q.dueAt })
}

// release sends what can be sent, least deadline first. A request that must wait blocks no other.
func (r *Router) drainQueue() {
	r.refreshCapacity()
	r.queue = slices.DeleteFunc(r.queue, func(q *request) bool {
		// What found no room in half its time is refused while its client can still do better by coming back:
		// later a refusal is dear where nothing was ever sent, and past the half it is tried to the end.
		stuck := !q.reachedWorker && r.now >= q.halfwayAt && r.now < q.halfwayAt+2*tickInterval
		if next, ok := q.forFallbackPool(); stuck && ok {
			q.Request, q.function, stuck = next, r.functionFor(next), false
		}
		if q.expiresAt-r.now <= 2*tickInterval || stuck || !r.retryAllowed(q) {
			r.rejectOrFail(q)
		}
		if q.answered {
			return true
		}
		w, warm := r.pick(q)
		if w != nil && !warm && !r.settings.LoadOnDemand && r.settings.LoadAllowed {
			// Only an order brings the function in: calls wait here for its answer.
			r.orderLoad(w, q.function)
			w = nil
		}
		return w != nil && r.startAttempt(q, w, warm)
	})
}

// ahead is the summed service times of what is out and of what is held and due no later, in seconds.
func (r *Router) workAhead(due time.Duration) float64 {
	sum := r.inFlightWork
	for _, h := range r.queue {
		if h.dueAt > due {
			break
		}
		sum += r.serviceTime(h.function)
	}
	return sum
}

// comeBack is the advice that goes with a refusal: when what is ahead now will be done with, at the most what
// clients follow. With no usable worker that is not known, and it is the most.
func (r *Router) retryAfter() time.Duration {
	if r.capacity == 0 {
		return r.settings.MaxRetryAfter
	}
	return min(max(durationOf(r.workAhead(math.MaxInt64)/r.capacity), tickInterval), r.settings.MaxRetryAfter)
}
