package routing

import "calicohill/routing/outlier"

// Hedges of a single overdue attempt at a worker that answers others: how many are allowed.
const (
	hedgeCreditPerTimeout = 4 // for each answer that never came
	hedgeCreditPerHedge   = 1 // for each hedge that was answered first
	maxHedgeCredit        = 8
)

// hedgeCredit counts how many single overdue attempts may be hedged: answers that were lost earn it, up to
// maxHedgeCredit, and each such hedge spends one.
type hedgeCredit struct{ hedges int }

func (c *hedgeCredit) earn(hedges int) { c.hedges = min(c.hedges+hedges, maxHedgeCredit) }
func (c *hedgeCredit) spend()          { c.hedges-- }
func (c *hedgeCredit) exhausted() bool { return c.hedges <= 0 }

// checkOverdue ejects a worker that takes requests and answers none: two attempts are overdue with no answer
// since the older was sent; one alone may be an expensive request. This covers network partitions, hangs and
// lost machines. Its attempts are retried or hedged elsewhere. Harm: a very slow worker loses its traffic
// until a probe is answered.
func (r *Router) checkOverdue(suspect *worker) {
	overdue, newest := suspect.overdueAttempts(r.now)
	if overdue > 0 { // where one alone proves little, peers may have one too
		r.feedback.reportFault(suspect, outlier.Unresponsive, newest)
	}
	unresponsive := outlier.TooManyOverdue(overdue)
	if unresponsive {
		suspect.health.Eject(r.now, r.rng)
	}
	for _, a := range suspect.inFlight {
		if !a.superseded {
			r.checkAttempt(a, unresponsive)
		}
	}
}

// checkAttempt has an attempt replaced if its worker is gone or ejected, or if it alone is overdue.
func (r *Router) checkAttempt(a *attempt, unresponsive bool) {
	gone := a.worker.State == Gone
	unavailable := gone || a.worker.health.Ejected()
	overdue := r.now >= a.overdueAt
	switch {
	case unavailable && (gone || overdue || unresponsive):
		r.hedgeOrRetry(a, false)
	case !unavailable && overdue && a.worker.health.AnsweredAfter(a.sentAt):
		r.hedgeSingle(a)
	}
}

// hedgeSingle hedges one overdue attempt at a worker that answers others.
//
// A departure from the SCORPIO design: the answer to one request may be lost where others get theirs. Where
// that was seen lately, a few are tried elsewhere too, at a warm instance and while there is capacity. Harm:
// an expensive request runs twice.
func (r *Router) hedgeSingle(a *attempt) {
	if r.hedges.exhausted() || !r.fleet.capacity.MaySpread() {
		return
	}
	r.hedgeOrRetry(a, true)
	if a.superseded {
		r.hedges.spend()
	}
}

// hedgeOrRetry starts another attempt elsewhere in place of one in flight, where the class allows that: a
// hedge beside it where hedging is allowed, else a cancellation that leads to a retry. With hedgeOnly it
// starts nothing but a hedge at a warm instance.
func (r *Router) hedgeOrRetry(a *attempt, hedgeOnly bool) {
	req := a.request
	if !r.mayReplace(req) {
		return
	}
	if r.settings.HedgingAllowed {
		target, warm := r.picker.pick(r.now, r.rng, req)
		a.superseded = target != nil && target != a.worker && (warm || !hedgeOnly) &&
			r.startAttempt(req, target, warm)
	} else if r.settings.CancelAllowed && !hedgeOnly {
		a.superseded = true
		r.out.emit(Cancel{req.ID, a.number})
	}
}

// mayReplace reports whether another attempt may take the place of the one that a request has in flight.
func (r *Router) mayReplace(req *request) bool {
	return !req.answered && !req.streaming && req.inFlight <= 1 &&
		r.retries.retryAllowed(r.now, req, r.endpoints.list) && req.class.Idempotency != NonIdempotent
}
