package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/ratelimit"
	"calicohill/routing/latency"
	"calicohill/routing/pressure"
)

// admissionController decides which requests are rejected on arrival, as SCORPIO does by the estimated time
// of their end, and when a rejected client is to come back. It owns the quotas of the tenants.
type admissionController struct {
	minObjective  float64       // shortest latency objective of all classes, in seconds
	maxRetryAfter time.Duration // longest Retry-After that clients follow
	quotas        *ratelimit.Quotas

	requests   *requestTable
	queue      *requestQueue
	placements *placementTable
	fleet      *eligibleFleet
	latency    *latency.Estimator
	pressure   *pressure.Estimator
}

// candidate is the worker that a request would go to; target is nil if it would have to wait.
type candidate struct {
	target *worker
	warm   bool // the function is believed to be loaded there
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

// admits reports whether a request is taken in: unless its estimated finish passes its deadline, the work
// ahead makes it late, its worker is under pressure, or its tenant is over quota. With no work ahead, no
// deadline does.
func (c *admissionController) admits(now time.Duration, rng *rand.Rand, req *request, best candidate) bool {
	// Where a worker has capacity for this one, only what is in flight is ahead of it, not what is queued.
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
	// Requests over their tenant's quota are worth little: they give way as soon as anything has to wait.
	overQuota := c.quotas.Exceeded(now, req.Tenant)
	busy := !c.queue.isEmpty() || overload > 0
	return !missesDeadline && !shed && (!overQuota || !busy)
}

// missesDeadline reports whether a request with so many seconds of work ahead would end after its deadline.
func (c *admissionController) missesDeadline(
	now time.Duration, req *request, best candidate, work float64,
) bool {
	finish := work/c.fleet.capacity.NonzeroTotal() + c.latency.ServiceTime(&req.function.latency, now)
	if !best.warm && (best.target != nil || !c.placements.isWarmAnywhere(now, req.function)) {
		finish += c.latency.LoadTime(&req.function.latency, now)
	}
	// A departure from the SCORPIO design: the request that would begin a load is admitted, or functions
	// that load slowly would be rejected for ever.
	beginsLoad := best.target != nil && !c.placements.isLoadBegun(now, req.function)
	return now+durationOf(finish) > req.dueAt && !beginsLoad
}

// missesObjective reports whether the work ahead makes a request late by the shortest latency objective.
//
// A departure from the SCORPIO design, which looks at the deadline alone: then queues grow until every
// answer is late. The bound is the same for all classes, or those with short objectives would starve. Harm:
// late answers that are worth much are lost.
func (c *admissionController) missesObjective(now time.Duration, req *request, work float64) bool {
	wait := work / c.fleet.capacity.NonzeroTotal()
	serviceTime := c.latency.ServiceTime(&req.function.latency, now)
	return req.class.LateValue < 1 && wait+min(serviceTime, c.minObjective/2) > c.minObjective
}

// workAhead is the sum of the service times, in seconds, of what is in flight and of what is queued and due
// no later than a deadline.
func (c *admissionController) workAhead(now, deadline time.Duration) float64 {
	sum := c.requests.inFlightWork
	for _, queued := range c.queue.dueBy(deadline) {
		sum += c.latency.ServiceTime(&queued.function.latency, now)
	}
	return sum
}

// retryAfter is the advice that goes with a rejection: when the work that is now ahead will be done, but no
// longer than clients follow. With no eligible worker that is unknown, and it is the longest advice.
func (c *admissionController) retryAfter(now time.Duration) time.Duration {
	capacity := c.fleet.capacity.Total()
	if capacity == 0 {
		return c.maxRetryAfter
	}
	drained := durationOf(c.workAhead(now, math.MaxInt64) / capacity)
	return min(max(drained, tickInterval), c.maxRetryAfter)
}

// admit queues a request, or sends it to the fallback of its pool, or rejects it.
func (r *Router) admit(arrival Request) {
	if arrival.Class < 0 || arrival.Class >= len(r.settings.Classes) || r.requests.open[arrival.ID] != nil {
		return
	}
	called := r.placements.functionFor(r.now, arrival)
	req := newRequest(r.now, arrival, &r.settings.Classes[arrival.Class], called)
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

// rejectOrFail is the only place that ends a request unserved: with a rejection if a repeat is known to be
// harmless, and with a failure otherwise.
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

// complete gives a request up as answered. What is still in flight is canceled: nobody waits for it, and
// where workers heed that, it makes room for others.
func (r *Router) complete(req *request) {
	for _, a := range req.attempts {
		if !req.answered && !a.ended && r.settings.CancelAllowed {
			r.out.emit(Cancel{req.ID, a.number})
		}
	}
	r.requests.recordAnswered(req)
}
