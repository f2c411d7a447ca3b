package routing

import (
	"cmp"
	"slices"
	"time"
)

// expiryMargin is the time before the client's timeout at which a queued request is ended.
const expiryMargin = 2 * tickInterval

// requestQueue holds the requests without an attempt in flight, earliest deadline first.
type requestQueue struct{ list []*request }

// enqueue inserts a request, after those with the same deadline.
func (q *requestQueue) enqueue(req *request) {
	q.list = insertSorted(q.list, req, func(queued *request) time.Duration { return queued.dueAt })
}

// drain calls remove for each request, earliest deadline first, and removes those for which it returns true.
// A request that has to wait does not block the others.
func (q *requestQueue) drain(remove func(*request) bool) { q.list = slices.DeleteFunc(q.list, remove) }

// isEmpty reports whether no request is queued.
func (q *requestQueue) isEmpty() bool { return len(q.list) == 0 }

// dueBy returns the queued requests with the same or an earlier deadline.
func (q *requestQueue) dueBy(deadline time.Duration) []*request {
	for i, queued := range q.list {
		if queued.dueAt > deadline {
			return q.list[:i]
		}
	}
	return q.list
}

// exceedsCapacityWait reports whether a request has found no capacity in half the time to the client's
// timeout. It is then rejected while the client still has time for a retry. A later rejection of a request
// that was never sent is costly, so a request past this moment stays queued until it expires.
func (q *request) exceedsCapacityWait(now time.Duration) bool {
	halfway := q.arrivedAt + q.TimeLeft/2 - expiryMargin
	return !q.reachedWorker && now >= halfway && now < halfway+expiryMargin
}

// isExpiring reports whether the client of a request is about to time out.
func (q *request) isExpiring(now time.Duration) bool { return q.expiresAt-now <= expiryMargin }

// drainQueue sends the queued requests that can be sent, earliest deadline first.
func (r *Router) drainQueue() {
	r.refreshCapacity()
	r.queue.drain(func(req *request) bool { return req.answered || r.sendOrEnd(req) })
}

// sendOrEnd sends or ends a queued request if possible, and reports whether the request leaves the queue.
func (r *Router) sendOrEnd(req *request) bool {
	noCapacity := req.exceedsCapacityWait(r.now)
	if noCapacity {
		if next, ok := req.forFallbackPool(); ok {
			r.requests.moveToFallback(req, next, r.placements.functionFor(r.now, next))
			noCapacity = false
		}
	}
	switch {
	case req.isExpiring(r.now):
		r.rejectOrFail(req, RequestExpired)
	case noCapacity:
		r.rejectOrFail(req, NoCapacity)
	case !r.retries.retryAllowed(r.now, req, r.endpoints.list):
		r.rejectOrFail(req, RetriesExhausted)
	}
	if req.answered {
		return true
	}
	target, warm := r.picker.pick(r.now, r.rng, req)
	if target != nil && !warm && !r.settings.LoadOnDemand && r.settings.LoadAllowed {
		// Only a Load loads the function. Its requests stay in the queue until the Load has ended.
		r.requestLoad(target, req.function)
		return false
	}
	return target != nil && r.startAttempt(req, target, warm)
}

// insertSorted inserts a value into a list sorted by key, after the elements with an equal key.
func insertSorted[T any, K cmp.Ordered](list []T, value T, key func(T) K) []T {
	valueKey := key(value)
	i, _ := slices.BinarySearchFunc(list, valueKey, func(element T, target K) int {
		return cmp.Or(cmp.Compare(key(element), target), -1)
	})
	return slices.Insert(list, i, value)
}
