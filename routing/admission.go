package routing

import (
	"math"
	"slices"
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
