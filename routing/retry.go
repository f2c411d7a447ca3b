package routing

import (
	"slices"
	"time"
)

// retryPolicy decides which attempts a request may have: their number, whether two may be in flight together,
// and what its class allows after an attempt that may have been executed.
type retryPolicy struct {
	maxAttempts    int
	hedgingAllowed bool
	tick           time.Duration // shortest time between two batches of events
}

func newRetryPolicy(s *Settings) *retryPolicy {
	return &retryPolicy{maxAttempts: s.MaxAttempts, hedgingAllowed: s.HedgingAllowed, tick: s.Tick}
}

// mayAttempt reports whether the number of attempts, hedging and idempotency allow sending this request to
// this worker now. All attempts are subject to this check.
func (p *retryPolicy) mayAttempt(now time.Duration, req *request, w *worker) bool {
	if req.answered || now >= req.expiresAt || len(req.attempts) >= p.maxAttempts ||
		w.State != Ready || req.inFlight > 0 && !p.hedgingAllowed {
		return false
	}
	return p.repeatIsSafe(now, req, w)
}

// repeatIsSafe reports whether an attempt at a worker is safe although an earlier one may have been executed.
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

// keyRemembered reports whether the workers still remember the idempotency key of an attempt.
func (p *retryPolicy) keyRemembered(now time.Duration, req *request, first *attempt) bool {
	return now-first.sentAt < req.class.DeduplicationWindow-p.tick
}

// startWithin returns the limit on the start of an attempt, from now; 0 means none. A retry that starts later
// could arrive after the workers have forgotten the idempotency key.
func (p *retryPolicy) startWithin(now time.Duration, req *request) time.Duration {
	first := req.firstPossiblyExecuted()
	if first == nil || req.class.Idempotency != IdempotentByKey {
		return 0
	}
	return first.sentAt + req.class.DeduplicationWindow - p.tick - now
}

// retryAllowed reports whether another attempt at one of these workers can be allowed, now or later.
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

// rejectionIsSafe reports whether a request that was not served may be rejected, because a retry by the
// client cannot execute it twice or does no harm if it does.
func (p *retryPolicy) rejectionIsSafe(req *request) bool {
	return req.firstPossiblyExecuted() == nil || req.class.Idempotency == Idempotent ||
		req.class.Idempotency == IdempotentByKey && req.class.DeduplicationScope == ScopeAll
}

// sameDeduplicationScope reports whether two workers share the idempotency keys that they have seen.
func sameDeduplicationScope(scope DeduplicationScope, a, b *worker) bool {
	return scope == ScopeAll || scope == ScopeZone && a.Zone == b.Zone ||
		scope == ScopeCell && a.Cell == b.Cell
}
