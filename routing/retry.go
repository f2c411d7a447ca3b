package routing

import "slices"

// mayAttempt is the one check of the rules on attempts (their number, hedging, idempotency, slow start):
// whether this request may be sent to this worker now.
func (r *Router) mayAttempt(req *request, w *worker) bool {
	if req.answered || r.now >= req.expiresAt || len(req.attempts) >= r.settings.MaxAttempts ||
		w.State != Ready || req.inFlight > 0 && !r.settings.HedgingAllowed {
		return false
	}
	return r.repeatIsSafe(req, w) && r.withinSlowStartBudget(w)
}

// repeatIsSafe reports whether an attempt at a worker does no harm though an earlier one may have run.
func (r *Router) repeatIsSafe(req *request, w *worker) bool {
	first := req.firstPossiblyExecuted()
	if first == nil {
		return true
	}
	switch req.class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentByKey:
		return r.keyRemembered(req, first) &&
			sameDeduplicationScope(req.class.DeduplicationScope, first.worker, w)
	default:
		return true
	}
}

// keyRemembered reports whether the workers that may have run an attempt still know its idempotency key.
func (r *Router) keyRemembered(req *request, first *attempt) bool {
	return r.now-first.sentAt < req.class.DeduplicationWindow-r.settings.Tick
}

// sameDeduplicationScope reports whether two workers drop each other's repeats.
func sameDeduplicationScope(scope DeduplicationScope, a, b *worker) bool {
	return scope == ScopeAll || scope == ScopeZone && a.Zone == b.Zone ||
		scope == ScopeCell && a.Cell == b.Cell
}

// retryAllowed reports whether some further attempt could be allowed at all, now or later.
func (r *Router) retryAllowed(req *request) bool {
	if len(req.attempts) >= r.settings.MaxAttempts {
		return false
	}
	first := req.firstPossiblyExecuted()
	if first == nil || req.class.Idempotency == Idempotent {
		return true
	}
	return req.class.Idempotency == IdempotentByKey && r.keyRemembered(req, first) &&
		slices.ContainsFunc(r.workerList, func(w *worker) bool {
			return w.State == Ready && sameDeduplicationScope(req.class.DeduplicationScope, first.worker, w)
		})
}

// provesNotRun reports whether an attempt with this outcome is known never to have run.
func provesNotRun(outcome Outcome) bool {
	return outcome == Shed || outcome == ConnectFailed || outcome == NotSent || outcome == NotLoaded
}
