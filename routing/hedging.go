package routing

import "calicohill/routing/outlier"

// Credit for hedging a single overdue attempt at a worker that answers others.
const (
	hedgeCreditPerTimeout = 4 // earned per attempt that timed out
	hedgeCreditPerHedge   = 1 // earned per hedge that was answered first
	maxHedgeCredit        = 8
)

// hedgeCredit limits the hedges of single overdue attempts. Lost answers earn credit, up to maxHedgeCredit,
// and each such hedge spends one.
type hedgeCredit struct{ hedges int }

func (c *hedgeCredit) earn(hedges int) { c.hedges = min(c.hedges+hedges, maxHedgeCredit) }
func (c *hedgeCredit) spend()          { c.hedges-- }
func (c *hedgeCredit) exhausted() bool { return c.hedges <= 0 }

// checkOverdue ejects a worker that accepts requests but does not answer, and retries or hedges its attempts
// elsewhere. A worker is unresponsive if two attempts are overdue and nothing was answered since the older
// was sent; a single overdue attempt may be an expensive request. This covers network partitions, hangs and
// lost machines. Drawback: a very slow worker gets no traffic until it answers a probe.
func (r *Router) checkOverdue(suspect *worker) {
	overdue, newest := suspect.overdueAttempts(r.now)
	if overdue > 0 { // a single one is weak evidence, but peers may have seen others
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

// checkAttempt replaces an attempt whose worker is gone or ejected, or which is a single overdue one.
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

// hedgeSingle hedges a single overdue attempt at a worker that answers others.
//
// Deviation from SCORPIO: a single answer may be lost although the worker answers other requests. If answers
// were lost recently, a few overdue attempts are hedged at a warm instance while there is spare capacity.
// Drawback: an expensive request runs twice.
func (r *Router) hedgeSingle(a *attempt) {
	if r.hedges.exhausted() || !r.fleet.capacity.MaySpread() {
		return
	}
	r.hedgeOrRetry(a, true)
	if a.superseded {
		r.hedges.spend()
	}
}

// hedgeOrRetry replaces an attempt in flight if the class allows it: by a hedge at another worker where
// hedging is allowed, otherwise by a cancellation, after which the request is retried. With hedgeOnly it only
// hedges, at a warm instance.
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

// mayReplace reports whether the attempt in flight of a request may be replaced by another one.
func (r *Router) mayReplace(req *request) bool {
	return !req.answered && !req.streaming && req.inFlight <= 1 &&
		r.retries.retryAllowed(r.now, req, r.endpoints.list) && req.class.Idempotency != NonIdempotent
}
