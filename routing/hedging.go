package routing

import (
	"calicohill/routing/outlier"
)

// checkOverdue ejects a worker that takes requests and answers none: two attempts are overdue with no answer
// since the older was sent; one alone may be an expensive request. This covers network partitions, hangs and
// lost machines. Its attempts are retried or hedged elsewhere. Harm: a very slow worker loses its traffic
// until a probe is answered.
func (r *Router) checkOverdue(suspect *worker) {
	overdue, newest := suspect.unanswered(r.now)
	if overdue > 0 { // where one alone proves little, peers may have one too
		r.reportFault(suspect, outlier.Unresponsive, newest)
	}
	unresponsive := outlier.ManyOverdue(overdue)
	if unresponsive {
		suspect.health.Eject(r.now, r.rng)
	}
	gone := suspect.State == Gone
	unavailable := gone || suspect.health.Ejected()
	for _, a := range suspect.inFlight {
		late := r.now >= a.overdueAt
		switch {
		case a.superseded:
		case unavailable && (gone || late || unresponsive):
			r.hedgeOrRetry(a, false)
		case !unavailable && late && suspect.health.AnsweredAfter(a.sentAt):
			r.hedgeSingle(a)
		}
	}
}

// hedgeSingle hedges one overdue attempt at a worker that answers others.
//
// A departure from the SCORPIO design: the answer to one request may be lost where others get theirs. Where
// that was seen lately, a few are tried elsewhere too, at a warm instance and while there is capacity. Harm:
// an expensive request runs twice.
func (r *Router) hedgeSingle(a *attempt) {
	if r.hedgeCredit <= 0 || !r.capacity.MaySpread() {
		return
	}
	r.hedgeOrRetry(a, true)
	if a.superseded {
		r.hedgeCredit--
	}
}

// recordLostAnswer notes that the answer to an attempt never came though its worker answered others, and
// allows this many more hedges for it.
func (r *Router) recordLostAnswer(a *attempt, credit int) {
	w := a.worker
	if !w.health.Ejected() && w.health.AnsweredAfter(a.sentAt) {
		r.hedgeCredit = min(r.hedgeCredit+credit, maxHedgeCredit)
		r.outliers.RecordError(&w.health, r.now)
	}
}

// hedgeOrRetry starts another attempt elsewhere in place of one in flight, where the class allows that: a
// hedge beside it where hedging is allowed, else a cancellation that leads to a retry. With hedgeOnly it
// starts nothing but a hedge at a warm instance.
func (r *Router) hedgeOrRetry(a *attempt, hedgeOnly bool) {
	req := a.request
	if req.answered || req.streaming || req.inFlight > 1 || !r.retryAllowed(req) ||
		req.class.Idempotency == NonIdempotent {
		return
	}
	if r.settings.HedgingAllowed {
		target, warm := r.pick(req)
		a.superseded = target != nil && target != a.worker && (warm || !hedgeOnly) &&
			r.startAttempt(req, target, warm)
	} else if r.settings.CancelAllowed && !hedgeOnly {
		a.superseded = true
		r.emit(Cancel{req.ID, a.number})
	}
}
