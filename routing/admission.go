package routing

import "slices"

// admit queues a request, or rejects it where its estimated finish passes its deadline, the work ahead makes
// it late, its worker is under pressure, or its tenant is over quota. With no work ahead, no deadline does.
func (r *Router) admit(arrival Request) {
	if arrival.Class < 0 || arrival.Class >= len(r.settings.Classes) || r.requests[arrival.ID] != nil {
		return
	}
	req := r.newRequest(arrival)
	r.requests[arrival.ID] = req
	r.loadBudget.RecordArrival(r.now, r.settings.LoadBudgetWindow)
	target, warm := r.pick(req)
	// Where a worker has capacity for this one, only what is in flight is ahead of it, not what is queued.
	work := r.inFlightWork
	if target == nil {
		work = r.workAhead(req.dueAt)
	}
	missesDeadline := work > 0 && r.missesDeadline(req, target, warm, work)
	overload := 0.0
	if target != nil {
		overload = r.pressure.Overload(&target.pressure, r.now)
	}
	shed := r.missesObjective(req, work) ||
		target != nil && r.rng.Float64() < r.pressure.RejectProbability(overload)
	// Requests over their tenant's quota are worth little: they give way as soon as anything has to wait.
	overQuota := r.tenantQuotas.Exceeded(r.now, arrival.Tenant)
	if missesDeadline || shed || overQuota && (len(r.queue) > 0 || overload > 0) {
		r.divertOrReject(req)
		return
	}
	r.enqueue(req)
}

// missesDeadline reports whether a request with so many seconds of work ahead would end after its deadline.
func (r *Router) missesDeadline(req *request, target *worker, warm bool, work float64) bool {
	finish := work/r.capacity.Divisor() + r.latency.ServiceTime(&req.function.latency, r.now)
	if !warm && (target != nil || !slices.ContainsFunc(req.function.placements, r.isWarm)) {
		finish += r.latency.LoadTime(&req.function.latency, r.now)
	}
	// A departure from the SCORPIO design: the request that would begin a load is admitted, or functions
	// that load slowly would be rejected for ever.
	loadBegun := slices.ContainsFunc(req.function.placements, func(p *placement) bool {
		return r.isWarm(p) || p.loading
	})
	return r.now+durationOf(finish) > req.dueAt && (loadBegun || target == nil)
}

// missesObjective reports whether the work ahead makes a request late by the shortest latency objective.
//
// A departure from the SCORPIO design, which looks at the deadline alone: then queues grow until every
// answer is late. The bound is the same for all classes, or those with short objectives would starve. Harm:
// late answers that are worth much are lost.
func (r *Router) missesObjective(req *request, work float64) bool {
	wait := work / r.capacity.Divisor()
	return req.class.LateValue < 1 &&
		wait+min(r.latency.ServiceTime(&req.function.latency, r.now), r.minObjective/2) > r.minObjective
}

// divertOrReject admits a request to the fallback of its pool, and rejects it if there is none.
func (r *Router) divertOrReject(req *request) {
	if next, ok := req.forFallbackPool(); ok {
		delete(r.requests, req.ID)
		r.admit(next)
		return
	}
	r.rejectOrFail(req)
}

// rejectOrFail is the only place that ends a request unserved: with a rejection if a repeat is known to be
// harmless, and with a failure otherwise.
func (r *Router) rejectOrFail(req *request) {
	if req.answered {
		return
	}
	if req.firstPossiblyExecuted() == nil || req.class.Idempotency == Idempotent ||
		req.class.Idempotency == IdempotentByKey && req.class.DeduplicationScope == ScopeAll {
		r.emit(Reject{req.ID, r.retryAfter()})
	} else {
		r.emit(Fail{req.ID})
	}
	r.complete(req)
}
