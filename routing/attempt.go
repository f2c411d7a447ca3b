package routing

import "time"

// send is the only place that starts an attempt.
func (r *Router) startAttempt(q *request, w *worker, warm bool) bool {
	if r.now < r.endpointsStaleUntil || !r.mayAttempt(q, w) {
		return false
	}
	p, within := q.function.placementAt(w), time.Duration(0)
	if first := q.firstPossiblyExecuted(); first != nil && q.class.Idempotency == IdempotentByKey {
		within = first.sentAt + q.class.DeduplicationWindow - r.settings.Tick - r.now
	}
	a := &attempt{
		request: q, number: len(q.attempts), worker: w, placement: p, sentAt: r.now,
		work: r.serviceTime(q.function), cold: !warm,
	}
	aim := q.class.LatencyObjective.Seconds()
	patience := min(max(overdueObjectiveFraction*aim, overdueMeanMultiple*a.work), aim)
	if a.cold {
		patience += overdueLoadMultiple * r.loadTime(q.function)
		if p.incarnation != w.incarnation || !p.loading {
			p.incarnation, p.warm, p.instances, p.loading = w.incarnation, false, 1, true
		}
	}
	a.overdueAt = r.now + durationOf(patience)
	q.attempts = append(q.attempts, a)
	q.inFlight++
	p.inFlight++
	w.inFlight = append(w.inFlight, a)
	if a.cold {
		w.loadsWaiting++
	} else {
		r.inFlightWork += a.work
	}
	if r.isWarmingUp(w) {
		w.slowStartSends = append(w.slowStartSends, r.now)
	}
	if w.ejected {
		w.probes++
		w.probationAt = r.now + r.probationDelay(w)
	}
	r.emit(Send{q.ID, w.ID, max(q.expiresAt-r.now-r.settings.Tick, time.Millisecond), within})
	return true
}

// order is the only place that orders a load. All orders with a count above 0 are rationed.
func (r *Router) orderLoad(w *worker, f *function) {
	if !r.settings.LoadAllowed || w.State != Ready || f.placementAt(w).loadOrdered {
		return
	}
	// A call may have come up to a tick before its batch: those near the window's edge are left out.
	if r.settings.LoadBudgetWindow > 0 &&
		!r.loadBudget.Allow(r.now, r.settings.LoadBudgetWindow, r.settings.Tick+tickInterval,
			r.settings.LoadBudgetBase, r.settings.LoadBudgetPerRequest) {
		return
	}
	f.placementAt(w).loadOrdered = true
	r.emit(Load{w.ID, f.name, 1})
}
