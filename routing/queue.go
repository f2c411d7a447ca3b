package routing

import (
	"cmp"
	"slices"
	"time"
)

// expiryMargin is how long before its client gives up a queued request is ended.
const expiryMargin = 2 * tickInterval

// requestQueue holds the requests with no attempt in flight, earliest deadline first.
type requestQueue struct{ list []*request }

// enqueue puts a request into the queue, after those that are due at the same time.
func (q *requestQueue) enqueue(req *request) {
	q.list = insertSorted(q.list, req, func(queued *request) time.Duration { return queued.dueAt })
}

// drain offers each request, earliest deadline first, and removes it if leaves says so. A request that must
// wait blocks no other.
func (q *requestQueue) drain(leaves func(*request) bool) { q.list = slices.DeleteFunc(q.list, leaves) }

// isEmpty reports whether no request waits.
func (q *requestQueue) isEmpty() bool { return len(q.list) == 0 }

// holds reports whether a request for a function waits.
func (q *requestQueue) holds(fn *function) bool {
	return slices.ContainsFunc(q.list, func(queued *request) bool { return queued.function == fn })
}

// dueBy returns the requests that are due no later than a deadline.
func (q *requestQueue) dueBy(deadline time.Duration) []*request {
	for i, queued := range q.list {
		if queued.dueAt > deadline {
			return q.list[:i]
		}
	}
	return q.list
}

// isStuck reports whether a request found no capacity in half its time: it is rejected while its client can
// still do better by coming back. Later a rejection is expensive where nothing was ever sent: then it is
// tried to the end.
func (q *request) isStuck(now time.Duration) bool {
	halfway := q.arrivedAt + q.TimeLeft/2 - expiryMargin
	return !q.reachedWorker && now >= halfway && now < halfway+expiryMargin
}

// isExpiring reports whether the client of a request is about to give up.
func (q *request) isExpiring(now time.Duration) bool { return q.expiresAt-now <= expiryMargin }

// drainQueue sends what can be sent, earliest deadline first.
func (r *Router) drainQueue() {
	r.refreshCapacity()
	r.queue.drain(r.leavesQueue)
}

// leavesQueue sends a queued request or ends it, if either is due, and reports whether it leaves the queue.
func (r *Router) leavesQueue(req *request) bool {
	stuck := req.isStuck(r.now)
	if stuck {
		if next, ok := req.forFallbackPool(); ok {
			req.divert(next, r.placements.functionFor(r.now, next))
			stuck = false
		}
	}
	switch {
	case req.isExpiring(r.now):
		r.rejectOrFail(req, OutOfTime)
	case stuck:
		r.rejectOrFail(req, NoCapacity)
	case !r.retries.retryAllowed(r.now, req, r.endpoints.list):
		r.rejectOrFail(req, NoFurtherTry)
	}
	if req.answered {
		return true
	}
	target, warm := r.picker.pick(r.now, r.rng, req)
	if target != nil && !warm && !r.settings.LoadOnDemand && r.settings.LoadAllowed {
		// Only an order loads the function: requests are queued here until it is answered.
		r.orderLoad(target, req.function)
		return false
	}
	return target != nil && r.startAttempt(req, target, warm)
}

// insertSorted inserts value into a list that is in the order of key, after the elements with an equal key.
func insertSorted[T any, K cmp.Ordered](list []T, value T, key func(T) K) []T {
	valueKey := key(value)
	i, _ := slices.BinarySearchFunc(list, valueKey, func(element T, target K) int {
		return cmp.Or(cmp.Compare(key(element), target), -1)
	})
	return slices.Insert(list, i, value)
}
