package routing

import (
	"math"
	"slices"
	"time"

	"calicohill/internal/stats/sorted"
)

// admit refuses a request whose estimated finish passes its deadline, never with nothing ahead.
func (r *Router) admit(e Request) {
	if e.Class < 0 || e.Class >= len(r.settings.Classes) || r.requests[e.ID] != nil {
		return
	}
	c := &r.settings.Classes[e.Class]
	q := &request{
		Request: e, class: c, function: r.functionFor(e), expiresAt: r.now + e.TimeLeft,
		dueAt: r.now + min(e.TimeLeft, c.Deadline), halfwayAt: r.now + e.TimeLeft/2 - 2*tickInterval,
	}
	r.requests[e.ID] = q
	r.loadBudget.RecordArrival(r.now, r.settings.LoadBudgetWindow)
	// Where a worker has room for this one, only what is out is ahead of it, not what waits for room.
	w, warm := r.pick(q)
	ahead := r.inFlightWork
	if w == nil {
		ahead = r.workAhead(q.dueAt)
	}
	wait := ahead / max(r.capacity, 1)
	finish := wait + r.serviceTime(q.function)
	if !warm && (w != nil || !slices.ContainsFunc(q.function.placements, r.isWarm)) {
		finish += r.loadTime(q.function)
	}
	// A departure: the call that would begin a load is let in, or slow loads would be refused for ever.
	begun := slices.ContainsFunc(q.function.placements, func(p *placement) bool {
		return r.isWarm(p) ||
			p.loading
	})
	hopeless := ahead > 0 && r.now+durationOf(finish) > q.dueAt && (begun || w == nil)
	// A departure: the work ahead makes it late by the shortest aim. Against the deadline alone queues grow
	// till every answer is late. One bound, or short aims would starve. Harm: where late worth is high.
	late := c.LateValue < 1 && wait+min(r.serviceTime(q.function), r.minObjective/2) > r.minObjective
	// What others have ahead of it shows in how pressed its worker is.
	share := 0.0
	if w != nil {
		share = (r.pressure(w) - 1 - rejectPressureExcess) / rejectPressureExcess
		late = late || r.rng.Float64() < min(share, maxRejectProbability)*math.Pow(r.peerShare, 4)
	}
	// Traffic past its tenant's share is worth little: it makes way as soon as anything has to wait.
	overQuota := r.tenantQuotas.Exceeded(r.now, e.Tenant)
	if hopeless || late || overQuota && (len(r.queue) > 0 || share > 0) {
		if next, ok := e.forFallbackPool(); ok {
			delete(r.requests, e.ID)
			r.admit(next)
			return
		}
		r.rejectOrFail(q)
		return
	}
	r.enqueue(q)
}

// hold puts a request among those that wait, least deadline first.
func (r *Router) enqueue(q *request) {
	r.queue = sorted.Insert(r.queue, q, func(q *request) time.Duration { return q.dueAt })
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

// finish is the only place that ends a request unserved: with a refusal if that is known to be harmless,
// and a failure otherwise.
func (r *Router) rejectOrFail(q *request) {
	if q.answered {
		return
	}
	a := q.firstPossiblyExecuted()
	if a == nil || q.class.Idempotency == Idempotent ||
		q.class.Idempotency == IdempotentByKey && q.class.DeduplicationScope == ScopeAll {
		r.emit(Reject{q.ID, r.retryAfter()})
	} else {
		r.emit(Fail{q.ID})
	}
	r.complete(q)
}

// comeBack is the advice that goes with a refusal: when what is ahead now will be done with, at the most what
// clients follow. With no usable worker that is not known, and it is the most.
func (r *Router) retryAfter() time.Duration {
	if r.capacity == 0 {
		return r.settings.MaxRetryAfter
	}
	return min(max(durationOf(r.workAhead(math.MaxInt64)/r.capacity), tickInterval), r.settings.MaxRetryAfter)
}

// close marks a request as answered; it is forgotten when its last attempt has ended. What is still out is
// called off: nobody waits for it, and where workers heed that, it makes room for others.
func (r *Router) complete(q *request) {
	for _, a := range q.attempts {
		if !q.answered && !a.ended && r.settings.CancelAllowed {
			r.emit(Cancel{q.ID, a.number})
		}
	}
	q.answered = true
	if q.inFlight == 0 {
		delete(r.requests, q.ID)
	}
}
