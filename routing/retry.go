package routing

import "slices"

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
