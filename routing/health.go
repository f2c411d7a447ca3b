package routing

import (
	"slices"
	"time"
)

// usable reports whether a worker may get work: a suspect one only a single trial at a time.
func (r *Router) eligible(w *worker) bool {
	return w.State == Ready && (!w.ejected || len(w.inFlight) == 0 && r.now >= w.probationAt)
}

// survey counts the usable lanes, and what share of them is taken.
func (r *Router) refreshCapacity() {
	r.utilization, r.capacity, r.healthyWorkers = 0, 0, 0
	for _, w := range r.workerList {
		if r.eligible(w) {
			if !r.isUnhealthy(w) {
				r.healthyWorkers++
			}
			r.utilization += float64(len(w.inFlight) - w.loadsWaiting)
			r.capacity += w.concurrencyLimit
		}
	}
	r.utilization /= max(r.capacity, 1)
}

// doubt makes a worker suspect: it gets nothing but trials until it answers.
func (r *Router) eject(w *worker) {
	if !w.ejected {
		w.ejected, w.probes, w.probationAt = true, 0, r.now+r.probationDelay(w)
	}
}

// pause is how long a suspect worker is left alone. Where others find it ill too they take turns at it.
func (r *Router) probationDelay(w *worker) time.Duration {
	if w.verdict == Confirmed {
		return durationOf((0.5 + r.rng.Float64()) * (baseProbationDelay << maxProbationDoublings).Seconds())
	}
	return baseProbationDelay << min(w.probes, maxProbationDoublings)
}

// observe says what this scheduler itself finds of a worker, where there are others to tell.
func (r *Router) reportFault(w *worker, t Fault, at time.Duration) {
	if r.settings.FaultReporting && (t != w.reportedFault ||
		at-w.reportedAt > ownObservationLifetime/4 && (t != Healthy || w.verdict > NotReported)) {
		w.reportedFault, w.reportedAt = t, at
		r.emit(ReportFault{w.ID, t, at})
	}
}

// heed takes in what other schedulers hold of the workers. One that enough find ill is left out as if found
// silent here, unless it answered here lately or the rest could not carry what is out.
func (r *Router) applyPeerReports(e PeerReports) {
	for _, w := range r.workerList {
		w.verdict = e.Verdicts[w.ID]
		rest := r.capacity - w.concurrencyLimit
		if w.verdict == Confirmed && r.now-w.lastAnswerAt > ownObservationLifetime &&
			r.utilization*r.capacity < maxSpillUtilization*rest {
			r.eject(w)
			r.refreshCapacity()
		}
		if slices.Contains(e.Cleared, w.ID) {
			w.probationAt = r.now
		}
	}
}

// look is the regular look at what waits and what is overdue.
func (r *Router) sweep() {
	if r.resubscribeAt > 0 && r.now >= r.resubscribeAt {
		r.resubscribeAt = 0
		r.emit(Subscribe{true})
	}
	warm, ripe := 0.0, 0.0
	r.activeWeight = 0
	for _, w := range r.workerList {
		if r.checkOverdue(w); w.State != Ready {
			continue
		}
		if ripe += w.Weight * r.slowStartFactor(w); !r.isWarmingUp(w) {
			warm += w.Weight
		}
		if !w.ejected {
			r.activeWeight += w.Weight
		}
	}
	if r.allWarmingUp = warm == 0; r.allWarmingUp {
		warm = ripe
	}
	if gap := (r.now - r.servedSince).Seconds(); gap >= 1 {
		if warm > 0 {
			rate, part := r.servedAnswers/gap/warm, functionMeanWeight
			if r.allWarmingUp && rate > float64(r.throughputPerWeight) {
				part = 1 // what cold workers answered they can do, whatever they did before
			}
			r.throughputPerWeight.Update(rate, part)
		}
		r.servedAnswers, r.servedSince = 0, r.now
		r.evictIdle()
	}
}

// watch looks for a worker that takes work and answers nothing: two attempts overdue and no answer since the
// older went out; one alone may be a heavy request. Covers cut links, hangs and lost machines. Harm: a very
// slow worker loses its traffic until a trial is answered. What is out there is tried elsewhere.
func (r *Router) checkOverdue(w *worker) {
	overdue, newest := 0, time.Duration(0)
	for _, a := range w.inFlight {
		if r.now >= a.overdueAt && w.lastAnswerAt < a.sentAt {
			overdue++
			newest = a.sentAt
		}
	}
	if overdue > 0 { // where one alone proves little, others may have one too
		r.reportFault(w, Unresponsive, newest)
	}
	if overdue >= 2 {
		r.eject(w)
	}
	ill := w.State == Gone || w.ejected
	for _, a := range w.inFlight {
		switch {
		case a.superseded:
		case ill && (w.State == Gone || r.now >= a.overdueAt || overdue >= 2):
			r.hedgeOrRetry(a, false)
		case !ill && r.now >= a.overdueAt && w.lastAnswerAt > a.sentAt && r.hedgeCredit > 0 &&
			r.utilization <= maxSpillUtilization:
			// A departure: the answer to one call may be lost where others get theirs. Where that was seen
			// lately, a few are tried elsewhere too, at a copy that stands and while lanes are free. Harm: a
			// heavy call runs twice.
			if r.hedgeOrRetry(a, true); a.superseded {
				r.hedgeCredit--
			}
		}
	}
}

// missed takes in that the answer to a call never came, though its worker answered others.
func (r *Router) recordLostAnswer(a *attempt, more int) {
	if w := a.worker; !w.ejected && w.lastAnswerAt > a.sentAt {
		r.hedgeCredit = min(r.hedgeCredit+more, maxHedgeCredit)
		r.recordError(w)
	}
}

// rescue gives an attempt up for another elsewhere, where the class allows one; with beside only for one
// beside it where a copy stands.
func (r *Router) hedgeOrRetry(a *attempt, beside bool) {
	q := a.request
	if q.answered || q.streaming || q.inFlight > 1 || !r.retryAllowed(q) ||
		q.class.Idempotency == NonIdempotent {
		return
	}
	if !r.settings.HedgingAllowed && r.settings.CancelAllowed && !beside {
		a.superseded = true
		r.emit(Cancel{q.ID, a.number})
	} else if r.settings.HedgingAllowed {
		w, warm := r.pick(q)
		a.superseded = w != nil && w != a.worker && (warm || !beside) && r.startAttempt(q, w, warm)
	}
}

func (r *Router) initialLimit() float64 {
	return max(2, initialFleetLimit/float64(r.settings.Schedulers))
}
