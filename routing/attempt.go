package routing

import (
	"time"

	"calicohill/internal/stats/ratelimit"
)

const (
	// An attempt is overdue after the larger of overdueObjectiveFraction of its latency objective and
	// overdueMeanMultiple mean service times, but no later than after the objective. If the function has
	// to be loaded first, overdueLoadMultiple load times are added.
	overdueObjectiveFraction = 0.5
	overdueMeanMultiple      = 3.0
	overdueLoadMultiple      = 2.0

	minSendTimeout = time.Millisecond // shortest timeout of an attempt
)

// startAttempt sends a request to a worker if that is allowed, and reports whether it did. It is the only
// function that emits a Send.
func (r *Router) startAttempt(req *request, target *worker, warm bool) bool {
	if r.endpoints.isStale(r.now) || !r.picker.mayAttempt(r.now, r.rng, req, target) {
		return false
	}
	// A request must not wait for a connection beyond the end of the lease on its worker.
	lease := r.endpoints.leases.Remaining(&target.lease, r.now)
	startWithin := earlierBound(r.retries.startWithin(r.now, req), lease)
	started := &attempt{
		request:     req,
		number:      len(req.attempts),
		worker:      target,
		placement:   req.function.placementAt(target),
		sentAt:      r.now,
		work:        r.latency.ServiceTime(&req.function.latency, r.now),
		mayNeedLoad: !warm,
	}
	started.overdueAt = r.now + durationOf(r.overdueAfter(started))
	r.requests.recordStart(started)
	r.slowStart.RecordSend(&target.slowStart, r.now, target.Started)
	target.health.RecordSend(r.now, r.rng)
	timeout := max(req.expiresAt-r.now-r.settings.Tick, minSendTimeout)
	r.out.emit(Send{req.ID, target.ID, timeout, startWithin})
	return true
}

// earlierBound returns the smaller of two time limits; 0 means no limit.
func earlierBound(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// overdueAfter returns the time in seconds after which an attempt without an answer is overdue.
func (r *Router) overdueAfter(a *attempt) float64 {
	objective := a.request.class.LatencyObjective.Seconds()
	after := min(max(overdueObjectiveFraction*objective, overdueMeanMultiple*a.work), objective)
	if a.mayNeedLoad {
		after += overdueLoadMultiple * r.latency.LoadTime(&a.request.function.latency, r.now)
	}
	return after
}

// requestLoad tells a worker to load a function, if the load budget allows it. It is the only function that
// emits a Load; each has a count above 0 and is charged to the budget.
func (r *Router) requestLoad(target *worker, fn *function) {
	place := fn.placementAt(target)
	if !r.settings.LoadAllowed || target.State != Ready || place.loadRequested || !r.loads.allow(r.now) {
		return
	}
	place.recordLoadRequested()
	r.out.emit(Load{target.ID, fn.name, 1})
}

// loadBudget limits the load orders in a sliding window to a base plus a number per request that arrived in
// the window, as a retry budget limits retries.
type loadBudget struct {
	window     time.Duration // 0 means that loads are not limited
	margin     time.Duration // requests in this oldest part of the window are not counted
	base       float64
	perRequest float64
	limiter    ratelimit.WindowLimiter
}

func newLoadBudget(s *Settings) *loadBudget {
	return &loadBudget{
		window: s.LoadBudgetWindow,
		// A request may have arrived up to a tick before its batch, outside the window already.
		margin:     s.Tick + tickInterval,
		base:       s.LoadBudgetBase,
		perRequest: s.LoadBudgetPerRequest,
	}
}

// recordArrival counts an arrived request.
func (b *loadBudget) recordArrival(now time.Duration) { b.limiter.RecordArrival(now, b.window) }

// allow reports whether the budget allows another load order, and if so charges it.
func (b *loadBudget) allow(now time.Duration) bool {
	return b.window <= 0 || b.limiter.Allow(now, b.window, b.margin, b.base, b.perRequest)
}
