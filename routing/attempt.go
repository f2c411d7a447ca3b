package routing

import "time"

// startAttempt is the only place that starts an attempt. It reports whether it did.
func (r *Router) startAttempt(req *request, target *worker, warm bool) bool {
	if r.now < r.endpointsStaleUntil || !r.mayAttempt(req, target) {
		return false
	}
	// A repeat that starts later than this would arrive when the workers have forgotten the idempotency key.
	startWithin := time.Duration(0)
	if first := req.firstPossiblyExecuted(); first != nil && req.class.Idempotency == IdempotentByKey {
		startWithin = first.sentAt + req.class.DeduplicationWindow - r.settings.Tick - r.now
	}
	a := r.newAttempt(req, target, warm)
	a.overdueAt = r.now + durationOf(r.overdueAfter(a))
	r.recordStart(a)
	target.health.RecordSend(r.now, r.rng)
	timeout := max(req.expiresAt-r.now-r.settings.Tick, minSendTimeout)
	r.emit(Send{req.ID, target.ID, timeout, startWithin})
	return true
}

// overdueAfter is the time after which an attempt without an answer is overdue, in seconds.
func (r *Router) overdueAfter(a *attempt) float64 {
	objective := a.request.class.LatencyObjective.Seconds()
	after := min(max(overdueObjectiveFraction*objective, overdueMeanMultiple*a.work), objective)
	if a.mayNeedLoad {
		after += overdueLoadMultiple * r.latency.LoadTime(&a.request.function.latency, r.now)
	}
	return after
}

// orderLoad is the only place that orders a load. All with a count above 0 are in the load budget.
func (r *Router) orderLoad(w *worker, fn *function) {
	if !r.settings.LoadAllowed || w.State != Ready || fn.placementAt(w).loadOrdered {
		return
	}
	// A request may have come up to a tick before its batch: those near the window's edge are left out.
	if r.settings.LoadBudgetWindow > 0 &&
		!r.loadBudget.Allow(r.now, r.settings.LoadBudgetWindow, r.settings.Tick+tickInterval,
			r.settings.LoadBudgetBase, r.settings.LoadBudgetPerRequest) {
		return
	}
	fn.placementAt(w).loadOrdered = true
	r.emit(Load{w.ID, fn.name, 1})
}
