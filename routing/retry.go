package routing

import (
	"slices"
	"time"
)

// retryPolicy holds the rules on attempts: how many a request may have, whether two may be in flight, and
// what its class allows once an attempt may have run.
type retryPolicy struct {
	maxAttempts    int
	hedgingAllowed bool
	tick           time.Duration // shortest time between two batches of events
}

func newRetryPolicy(s *Settings) *retryPolicy {
	return &retryPolicy{maxAttempts: s.MaxAttempts, hedgingAllowed: s.HedgingAllowed, tick: s.Tick}
}

// mayAttempt is the one check of the rules on attempts (their number, hedging, idempotency): whether this
// request may be sent to this worker now.
func (p *retryPolicy) mayAttempt(now time.Duration, req *request, w *worker) bool {
	if req.answered || now >= req.expiresAt || len(req.attempts) >= p.maxAttempts ||
		w.State != Ready || req.inFlight > 0 && !p.hedgingAllowed {
		return false
	}
	return p.repeatIsSafe(now, req, w)
}

// repeatIsSafe reports whether an attempt at a worker does no harm though an earlier one may have run.
func (p *retryPolicy) repeatIsSafe(now time.Duration, req *request, w *worker) bool {
	first := req.firstPossiblyExecuted()
	if first == nil {
		return true
	}
	switch req.class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentByKey:
		return p.keyRemembered(now, req, first) &&
			sameDeduplicationScope(req.class.DeduplicationScope, first.worker, w)
	default:
		return true
	}
}

// keyRemembered reports whether the workers that may have run an attempt still know its idempotency key.
func (p *retryPolicy) keyRemembered(now time.Duration, req *request, first *attempt) bool {
	return now-first.sentAt < req.class.DeduplicationWindow-p.tick
}

// startWithin is how long from now an attempt may begin; 0 means any time. A repeat that starts later would
// arrive when the workers have forgotten the idempotency key.
func (p *retryPolicy) startWithin(now time.Duration, req *request) time.Duration {
	first := req.firstPossiblyExecuted()
	if first == nil || req.class.Idempotency != IdempotentByKey {
		return 0
	}
	return first.sentAt + req.class.DeduplicationWindow - p.tick - now
}

// retryAllowed reports whether some further attempt at one of these workers could be allowed at all, now or
// later.
func (p *retryPolicy) retryAllowed(now time.Duration, req *request, workers []*worker) bool {
	if len(req.attempts) >= p.maxAttempts {
		return false
	}
	first := req.firstPossiblyExecuted()
	if first == nil || req.class.Idempotency == Idempotent {
		return true
	}
	return req.class.Idempotency == IdempotentByKey && p.keyRemembered(now, req, first) &&
		slices.ContainsFunc(workers, func(w *worker) bool {
			return w.State == Ready && sameDeduplicationScope(req.class.DeduplicationScope, first.worker, w)
		})
}

// rejectionIsSafe reports whether a repeat by the client is known to be harmless, so that a request that was
// not served may be rejected.
func (p *retryPolicy) rejectionIsSafe(req *request) bool {
	return req.firstPossiblyExecuted() == nil || req.class.Idempotency == Idempotent ||
		req.class.Idempotency == IdempotentByKey && req.class.DeduplicationScope == ScopeAll
}

// sameDeduplicationScope reports whether two workers drop each other's repeats.
func sameDeduplicationScope(scope DeduplicationScope, a, b *worker) bool {
	return scope == ScopeAll || scope == ScopeZone && a.Zone == b.Zone ||
		scope == ScopeCell && a.Cell == b.Cell
}
