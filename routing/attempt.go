package routing

import (
	"time"

	"calicohill/internal/stats/ratelimit"
)

// Overdue attempts. One is overdue after the larger of a fraction of its latency objective and a multiple of
// the mean service time, but no later than the objective; a load adds a multiple of its time.
const (
	overdueObjectiveFraction = 0.5
	overdueMeanMultiple      = 3.0
	overdueLoadMultiple      = 2.0
	minSendTimeout           = time.Millisecond // shortest timeout of an attempt
)

// startAttempt is the only place that starts an attempt. It reports whether it did.
func (r *Router) startAttempt(req *request, target *worker, warm bool) bool {
	if r.endpoints.isStale(r.now) || !r.picker.mayAttempt(r.now, r.rng, req, target) {
		return false
	}
	// What waits for a connection may not outlast the lease on its worker.
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

// earlierBound returns the earlier of two bounds on a time, where 0 stands for no bound.
func earlierBound(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// overdueAfter is the time after which an attempt without an answer is overdue, in seconds.
func (r *Router) overdueAfter(a *attempt) float64 {
	objective := a.request.class.LatencyObjective.Seconds()
	after := min(max(overdueObjectiveFraction*objective, overdueMeanMultiple*a.work), objective)
	if a.mayNeedLoad {
		after += overdueLoadMultiple * r.latency.LoadTime(&a.request.function.latency, r.now)
	}
	return after
}

// orderLoad is the only place that orders a load. All with a count above 0 are in the load budget.
func (r *Router) orderLoad(target *worker, fn *function) {
	place := fn.placementAt(target)
	if !r.settings.LoadAllowed || target.State != Ready || place.loadOrdered || !r.loads.allow(r.now) {
		return
	}
	place.recordLoadOrdered()
	r.out.emit(Load{target.ID, fn.name, 1})
}

// loadBudget bounds the orders to load: in no window are there more than a base and a part of the requests
// that arrived in it, as a retry budget bounds retries.
type loadBudget struct {
	window     time.Duration // 0 means that loads are not limited
	edge       time.Duration // requests so near the window's edge are left out
	base       float64
	perRequest float64
	limiter    ratelimit.WindowLimiter
}

func newLoadBudget(s *Settings) *loadBudget {
	return &loadBudget{
		window: s.LoadBudgetWindow,
		// A request may have come up to a tick before its batch: those near the window's edge are left out.
		edge:       s.Tick + tickInterval,
		base:       s.LoadBudgetBase,
		perRequest: s.LoadBudgetPerRequest,
	}
}

// recordArrival counts a request.
func (b *loadBudget) recordArrival(now time.Duration) { b.limiter.RecordArrival(now, b.window) }

// allow reports whether one more load may be ordered, which is then counted.
func (b *loadBudget) allow(now time.Duration) bool {
	return b.window <= 0 || b.limiter.Allow(now, b.window, b.edge, b.base, b.perRequest)
}
