package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/ratelimit"
	"calicohill/routing/latency"
	"calicohill/routing/pressure"
)

// admissionController decides which requests are rejected on arrival, by their estimated finish time as in
// SCORPIO, and computes the Retry-After of rejections. It owns the tenants' quotas.
type admissionController struct {
	minObjective  float64       // shortest latency objective of any class, in seconds
	maxRetryAfter time.Duration // longest Retry-After that clients honor
	quotas        *ratelimit.Quotas

	requests   *requestTable
	queue      *requestQueue
	placements *placementTable
	fleet      *eligibleFleet
	latency    *latency.Estimator
	pressure   *pressure.Estimator
}

// candidate is the worker that a request would be sent to.
type candidate struct {
	target *worker // nil if the request has to wait for capacity
	warm   bool    // the function is believed to be loaded at target
}

func newAdmissionController(r *Router, shortestObjective time.Duration) *admissionController {
	return &admissionController{
		minObjective:  shortestObjective.Seconds(),
		maxRetryAfter: r.settings.MaxRetryAfter,
		quotas:        r.settings.tenantQuotas(),
		requests:      r.requests,
		queue:         r.queue,
		placements:    r.placements,
		fleet:         r.fleet,
		latency:       r.latency,
		pressure:      r.pressure,
	}
}

// admits reports whether a request is accepted. It is rejected if its estimated finish time is past its
// deadline, if the work ahead delays it beyond the latency objective, if its worker is under pressure, or if
// its tenant is over quota while the scheduler is busy. Without work ahead, no deadline causes a rejection.
func (c *admissionController) admits(now time.Duration, rng *rand.Rand, req *request, best candidate) bool {
	// If a worker has capacity for this request, only requests in flight are ahead of it, not queued ones.
	work := c.requests.inFlightWork
	overload := 0.0
	if best.target == nil {
		work = c.workAhead(now, req.dueAt)
	} else {
		overload = c.pressure.Overload(&best.target.pressure, now)
	}
	missesDeadline := work > 0 && c.missesDeadline(now, req, best, work)
	shed := c.missesObjective(now, req, work) ||
		best.target != nil && rng.Float64() < c.pressure.RejectProbability(overload)
	// Requests over their tenant's quota have little value. They are rejected as soon as any request waits.
	overQuota := c.quotas.Exceeded(now, req.Tenant)
	busy := !c.queue.isEmpty() || overload > 0
	return !missesDeadline && !shed && (!overQuota || !busy)
}

// missesDeadline reports whether a request is expected to finish after its deadline, given the work ahead of
// it in seconds.
func (c *admissionController) missesDeadline(
	now time.Duration, req *request, best candidate, work float64,
) bool {
	finish := work/c.fleet.capacity.NonzeroTotal() + c.latency.ServiceTime(&req.function.latency, now)
	if !best.warm && (best.target != nil || !c.placements.isWarmAnywhere(now, req.function)) {
		finish += c.latency.LoadTime(&req.function.latency, now)
	}
	// Deviation from SCORPIO: the request that starts the load of a function is admitted. Otherwise a
	// function that loads slowly would never be loaded, and all its requests would be rejected.
	startsLoad := best.target != nil && !c.placements.isLoadedOrLoading(now, req.function)
	return now+durationOf(finish) > req.dueAt && !startsLoad
}

// missesObjective reports whether the work ahead delays a request beyond the shortest latency objective.
//
// Deviation from SCORPIO, which checks only the deadline: with the deadline alone, queues grow until every
// answer misses its objective. The bound is the same for all classes; otherwise classes with short objectives
// would starve. Drawback: late answers that still have a high value are lost.
func (c *admissionController) missesObjective(now time.Duration, req *request, work float64) bool {
	wait := work / c.fleet.capacity.NonzeroTotal()
	serviceTime := c.latency.ServiceTime(&req.function.latency, now)
	return req.class.LateValue < 1 && wait+min(serviceTime, c.minObjective/2) > c.minObjective
}

// workAhead returns the total service time, in seconds, of the requests in flight and of the queued requests
// with the same or an earlier deadline.
func (c *admissionController) workAhead(now, deadline time.Duration) float64 {
	sum := c.requests.inFlightWork
	for _, queued := range c.queue.dueBy(deadline) {
		sum += c.latency.ServiceTime(&queued.function.latency, now)
	}
	return sum
}

// retryAfter returns the Retry-After for a rejection: the estimated time until the current work is done, at
// most maxRetryAfter. Without an eligible worker there is no estimate, and it returns maxRetryAfter.
func (c *admissionController) retryAfter(now time.Duration) time.Duration {
	capacity := c.fleet.capacity.Total()
	if capacity == 0 {
		return c.maxRetryAfter
	}
	drained := durationOf(c.workAhead(now, math.MaxInt64) / capacity)
	return min(max(drained, tickInterval), c.maxRetryAfter)
}

// admit queues a new request, moves it to the fallback of its pool, or rejects it.
func (r *Router) admit(arrival Request) {
	if arrival.Class < 0 || arrival.Class >= len(r.settings.Classes) || r.requests.open[arrival.ID] != nil {
		return
	}
	fn := r.placements.functionFor(r.now, arrival)
	req := newRequest(r.now, arrival, &r.settings.Classes[arrival.Class], fn)
	r.requests.add(req)
	r.loads.recordArrival(r.now)
	target, warm := r.picker.pick(r.now, r.rng, req)
	if r.admission.admits(r.now, r.rng, req, candidate{target, warm}) {
		r.queue.enqueue(req)
		return
	}
	if next, ok := req.forFallbackPool(); ok {
		r.requests.remove(req)
		r.admit(next)
		return
	}
	r.rejectOrFail(req, Overloaded)
}

// rejectOrFail ends a request unserved: with a Reject if the client can safely retry, otherwise with a Fail.
// It is the only function that emits these actions.
func (r *Router) rejectOrFail(req *request, reason EndReason) {
	if req.answered {
		return
	}
	if r.retries.rejectionIsSafe(req) {
		r.out.emit(Reject{req.ID, r.admission.retryAfter(r.now), reason})
	} else {
		r.out.emit(Fail{req.ID, reason})
	}
	r.complete(req)
}

// complete marks a request as answered and cancels its attempts in flight. Their answers are no longer
// needed, and workers that support cancellation can use the capacity for other requests.
func (r *Router) complete(req *request) {
	for _, a := range req.attempts {
		if !req.answered && !a.ended && r.settings.CancelAllowed {
			r.out.emit(Cancel{req.ID, a.number})
		}
	}
	r.requests.recordAnswered(req)
}
