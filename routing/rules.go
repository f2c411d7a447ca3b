package routing

import (
	"slices"
	"time"
)

// maySend is the choke point of rules 2 to 4 for attempts: whether this request may go to this worker now.
func (r *Router) mayAttempt(q *request, w *worker) bool {
	if q.answered || r.now >= q.expiresAt || len(q.attempts) >= r.settings.MaxAttempts || w.State != Ready ||
		q.inFlight > 0 && !r.settings.HedgingAllowed {
		return false
	}
	a := q.firstPossiblyExecuted()
	if a != nil && (q.class.Idempotency == NonIdempotent || q.class.Idempotency == IdempotentByKey &&
		(r.now-a.sentAt >= q.class.DeduplicationWindow-r.settings.Tick ||
			!sharesDeduplication(q.class.DeduplicationScope, a.worker, w))) {
		return false
	}
	return r.withinSlowStartBudget(w)
}

func sharesDeduplication(s DeduplicationScope, a, b *worker) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeCell && a.Cell == b.Cell
}

// mayHaveRun is the first attempt that is not known never to have run.
func (q *request) firstPossiblyExecuted() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.neverRan }); i >= 0 {
		return q.attempts[i]
	}
	return nil
}

// hopeful reports whether some further attempt could be allowed at all.
func (r *Router) retryAllowed(q *request) bool {
	a := q.firstPossiblyExecuted()
	if len(q.attempts) >= r.settings.MaxAttempts || a == nil || q.class.Idempotency == Idempotent {
		return len(q.attempts) < r.settings.MaxAttempts
	}
	return q.class.Idempotency == IdempotentByKey &&
		r.now-a.sentAt < q.class.DeduplicationWindow-r.settings.Tick &&
		slices.ContainsFunc(r.workerList, func(w *worker) bool {
			return w.State == Ready && sharesDeduplication(q.class.DeduplicationScope, a.worker, w)
		})
}

// failedAt reports whether the last attempt went to this worker and may have run: the next goes elsewhere.
func (q *request) lastFailedAt(w *worker) bool {
	n := len(q.attempts)
	return n > 0 && q.attempts[n-1].worker == w && !q.attempts[n-1].neverRan
}

// coldRoom keeps a cold worker's budget, where one is told: in each window that could tip it, this scheduler
// sends no more than its share of what the worker can do, guessed from what warm workers answer it.
// Where all are cold it is guessed from what they answer themselves, as ripe as they are: together all
// schedulers never send more than a multiple, below the one that tips, of what was answered. It begins at one
// call at a time, answered within the least aim.
func (r *Router) withinSlowStartBudget(w *worker) bool {
	if !r.isWarmingUp(w) || r.settings.OverloadMultiple == 0 || r.settings.OverloadDuration == 0 {
		return true
	}
	rate, span := float64(r.throughputPerWeight), r.settings.OverloadDuration
	if r.allWarmingUp {
		rate, span = max(rate, 1/r.minObjective/float64(r.settings.Schedulers)), min(span, time.Second)
	}
	if r.now >= w.slowStartQuotaUntil {
		// Shares under one call would add up if rounded: each scheduler draws whether it has one.
		budget := slowStartBudgetMargin * r.settings.OverloadMultiple * span.Seconds() *
			r.slowStartFactor(w) * w.Weight * rate
		// Most such draws are lost on workers that nothing is for just then. While calls come as usual one is
		// let through by chance, so that a worker that is called coldEven times as much as others bears it,
		// and where there are hundreds the home of a function that is called much.
		usual := r.requestWeight * r.decayFactor(r.lastRequestAt) /
			(spreadKeepAlives * r.settings.InstanceKeepAlive.Seconds() * max(r.activeWeight, 1))
		even := max(minSlowStartSkew, slowStartSkewPerWeight*r.activeWeight)
		chance := budget / (span.Seconds() * even * max(rate, usual) * w.Weight)
		w.slowStartQuota = int(max(budget, min(chance, 1)) + r.rng.Float64())
		w.slowStartQuotaUntil = r.now + span
	}
	// Any window counts, wherever it begins, and what waited for a connection comes close to what follows.
	w.slowStartSends = slices.DeleteFunc(w.slowStartSends,
		func(at time.Duration) bool { return r.now-at >= span+span/8 })
	return len(w.slowStartSends) < w.slowStartQuota
}

// ripeness is the share of its capacity that a worker can be counted on for.
func (r *Router) slowStartFactor(w *worker) float64 {
	if !r.isWarmingUp(w) {
		return 1
	}
	elapsed := max(0, (r.now-w.Started).Seconds()/r.settings.SlowStartDuration.Seconds())
	return r.settings.SlowStartFraction + (1-r.settings.SlowStartFraction)*elapsed
}

// isCold reports whether a worker has started so lately that it can do only part of its work.
func (r *Router) isWarmingUp(w *worker) bool {
	return w.Started > 0 && r.now-w.Started < r.settings.SlowStartDuration
}

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
