package routing

import "time"

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
