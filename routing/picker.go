package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/routing/latency"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
	"calicohill/routing/slowstart"
)

const (
	maxCandidates        = 4    // workers in rendezvous order that a first attempt considers
	presumedWarmRequests = 4    // requests of peers per keep-alive and worker that keep a function loaded
	maxWaitingForLoads   = 4    // own requests waiting for loads at a worker before it gets another one
	spreadFactor         = 2.0  // fraction of workers per function, as a multiple of its request fraction
	unansweredPenalty    = 0.25 // requests added to the load of a worker without a recent answer
	pressureSteps        = 4    // pressure is rounded to 1/4, so that schedulers do not all react to noise
)

// picker chooses the worker for a request. It owns no state and reads that of the other components.
type picker struct {
	peers     int           // number of other schedulers that share the workers
	keepAlive time.Duration // shortest time that an idle instance stays loaded

	endpoints  *endpointTable
	placements *placementTable
	fleet      *eligibleFleet
	pressure   *pressure.Estimator
	latency    *latency.Estimator
	outliers   *outlier.Detector
	slowStart  *slowstart.Budget
	retries    *retryPolicy
}

// loadedPlacements summarizes the placements of a function at the workers that accept a request.
type loadedPlacements struct {
	free     *placement // the best placement with a free slot
	shortest *placement // the shortest queue of own requests, among placements without a free slot
	exists   bool       // the function is loaded or loading at some worker
}

func newPicker(r *Router) *picker {
	return &picker{
		peers:      r.settings.Schedulers - 1,
		keepAlive:  r.settings.InstanceKeepAlive,
		endpoints:  r.endpoints,
		placements: r.placements,
		fleet:      r.fleet,
		pressure:   r.pressure,
		latency:    r.latency,
		outliers:   r.outliers,
		slowStart:  r.slowStart,
		retries:    r.retries,
	}
}

// pick chooses the worker for a request and reports whether the function is believed to be loaded there. It
// prefers a worker with a loaded instance that has a free slot for this scheduler's requests. Otherwise it
// takes the less busy of the first two workers with capacity in the function's rendezvous order. It returns
// nil if the request has to wait.
func (p *picker) pick(now time.Duration, rng *rand.Rand, req *request) (target *worker, warm bool) {
	loaded := p.findLoaded(now, rng, req)
	if loaded.free != nil {
		return loaded.free.worker, p.placements.isWarm(now, loaded.free)
	}
	// Deviation from SCORPIO: a request waits for a loaded instance if the expected wait is shorter than a
	// load at another worker. Otherwise loads evict instances, which then have to be loaded again. Drawback:
	// requests wait too long if declared load times exceed the real ones.
	if next := loaded.shortest; next != nil {
		if !p.placements.isWarm(now, next) {
			return nil, false // it is still loading; a request in the queue occupies no worker meanwhile
		}
		if p.waitForSlot(now, next, req.function) < p.latency.LoadTime(&req.function.latency, now) {
			return next.worker, true
		}
	}
	// Deviation from SCORPIO: while most capacity is in use, a function that is loaded somewhere waits for
	// capacity there. This prevents load storms in overload. Drawback: in a fleet that is busy with long
	// requests, a function with many requests spreads late.
	if loaded.exists && !p.fleet.capacity.MaySpread() {
		return nil, false
	}
	target = p.pickForLoad(now, rng, req, loaded.exists)
	return target, target != nil && p.placements.isWarm(now, req.function.placementAt(target))
}

// findLoaded searches the workers where a function is loaded or loading.
func (p *picker) findLoaded(now time.Duration, rng *rand.Rand, req *request) loadedPlacements {
	var found loadedPlacements
	presumed := p.presumedWarm(now, req.function)
	for _, place := range req.function.placements {
		if !place.loading && !p.isLoaded(now, place, presumed) || p.isDisplaced(now, place) ||
			!p.accepts(now, rng, req, place.worker) {
			continue
		}
		found.exists = true
		if !p.hasCapacity(now, rng, req, place.worker) {
			continue
		}
		if place.inFlight >= place.instances*req.function.concurrency {
			found.shortest = shorterQueue(found.shortest, place)
		} else if found.free == nil || p.isBetter(now, rng, place, found.free, presumed) {
			found.free = place
		}
	}
	return found
}

// isLoaded reports whether a function is believed or presumed to be loaded at a worker.
func (p *picker) isLoaded(now time.Duration, place *placement, presumed []*worker) bool {
	return p.placements.isWarm(now, place) || slices.Contains(presumed, place.worker)
}

// isBetter reports whether a placement with a free slot is better than the best one so far. A loaded one is
// better than one that is still loading; otherwise the one at the less busy worker is better.
func (p *picker) isBetter(
	now time.Duration, rng *rand.Rand, place, best *placement, presumed []*worker,
) bool {
	loaded, bestLoaded := p.isLoaded(now, place, presumed), p.isLoaded(now, best, presumed)
	if loaded != bestLoaded {
		return loaded
	}
	return p.busier(now, rng, best.worker, place.worker)
}

// shorterQueue returns the placement with fewer own requests per instance; best may be nil.
func shorterQueue(best, next *placement) *placement {
	if best == nil || next.inFlight*best.instances < best.inFlight*next.instances {
		return next
	}
	return best
}

// presumedWarm returns the workers where a function is presumed to be loaded although this scheduler has no
// answer that shows it: its preferred workers, if peers are expected to request it often.
func (p *picker) presumedWarm(now time.Duration, fn *function) []*worker {
	preferred := p.preferredWorkers(now, fn)
	peerRequests := float64(p.peers) * fn.demand.PerKeepAlive()
	if len(preferred) > 1 && peerRequests >= presumedWarmRequests*float64(len(preferred)) {
		return preferred
	}
	return nil
}

// waitForSlot estimates the wait for a free slot of a full placement, in seconds.
func (p *picker) waitForSlot(now time.Duration, place *placement, fn *function) float64 {
	slots := float64(place.instances * fn.concurrency)
	return (float64(place.inFlight) - slots + 1) / slots * p.latency.ServiceTime(&fn.latency, now)
}

// pickForLoad chooses the worker that loads a function: the less busy of the first two with capacity in its
// rendezvous order. The first instance is loaded by the first worker with capacity, so that the store is read
// once. If there is no such worker, it returns one from which the function was displaced.
func (p *picker) pickForLoad(now time.Duration, rng *rand.Rand, req *request, exists bool) *worker {
	var first, displaced *worker
	for i, candidate := range p.endpoints.leasedOrder(now, req.function) {
		tooMany := i >= maxCandidates && len(req.attempts) == 0
		if tooMany || first != nil && !exists {
			break
		}
		place := req.function.placementAt(candidate)
		if !p.hasCapacity(now, rng, req, candidate) {
			continue
		}
		switch {
		case p.isDisplaced(now, place):
			displaced = p.lessBusy(now, rng, displaced, candidate)
		case !acceptsLoad(now, req.function, place):
			continue
		case first == nil:
			first = candidate
		case p.busier(now, rng, first, candidate):
			return candidate
		default:
			return first
		}
	}
	return cmp.Or(first, displaced)
}

// acceptsLoad reports whether a worker may get another request that waits for a load there.
func acceptsLoad(now time.Duration, fn *function, place *placement) bool {
	return !place.worker.limit.BacksOffLoads(now) && place.worker.awaitingLoad < maxWaitingForLoads &&
		place.inFlight < fn.concurrency
}

// lessBusy returns the less busy of two workers; best may be nil.
func (p *picker) lessBusy(now time.Duration, rng *rand.Rand, best, next *worker) *worker {
	if best == nil || p.busier(now, rng, best, next) {
		return next
	}
	return best
}

// busier reports whether a is busier than b. Ties are broken at random.
func (p *picker) busier(now time.Duration, rng *rand.Rand, a, b *worker) bool {
	loadA, loadB := p.relativeLoad(now, a), p.relativeLoad(now, b)
	return loadA > loadB || loadA == loadB && rng.IntN(2) == 0
}

// relativeLoad returns the load of a worker relative to its weight.
func (p *picker) relativeLoad(now time.Duration, w *worker) float64 {
	steps := max(math.Round(pressureSteps*p.pressure.Pressure(&w.pressure, now)), 1)
	requests := 1 + float64(len(w.inFlight)) + w.pressure.PeerInFlight()
	// Serving one more scheduler costs a shared worker capacity that its load reports do not show.
	if !w.health.AnsweredWithin(now, p.keepAlive) {
		requests += unansweredPenalty * p.pressure.PeerInfluence()
	}
	return requests * steps / (w.Weight * p.slowStart.CapacityFraction(now, w.Started))
}

// hasCapacity reports whether a worker accepts this request and is below its concurrency limit.
func (p *picker) hasCapacity(now time.Duration, rng *rand.Rand, req *request, w *worker) bool {
	return w.limit.HasCapacity(now, w.countedInFlight()) && p.accepts(now, rng, req, w)
}

// accepts reports whether a worker may be sent this request.
func (p *picker) accepts(now time.Duration, rng *rand.Rand, req *request, w *worker) bool {
	return p.endpoints.eligible(now, w) && p.mayAttempt(now, rng, req, w) && !req.lastFailedAt(w) &&
		!p.avoids(now, req, w) && req.function.pool.Has(w.ID)
}

// mayAttempt reports whether the retry policy and the slow-start budget allow sending this request to this
// worker now.
func (p *picker) mayAttempt(now time.Duration, rng *rand.Rand, req *request, w *worker) bool {
	return p.retries.mayAttempt(now, req, w) && p.withinSlowStartBudget(now, rng, w)
}

// withinSlowStartBudget reports whether the slow-start budget allows another request to a worker that is
// warming up. There is no budget if the deployment defines no overload limit.
func (p *picker) withinSlowStartBudget(now time.Duration, rng *rand.Rand, warming *worker) bool {
	if !p.slowStart.QuotaApplies(now, warming.Started) {
		return true
	}
	if p.slowStart.QuotaExpired(&warming.slowStart, now) {
		demand := slowstart.Demand{
			Requests: p.placements.totalRequests(now),
			Seconds:  p.placements.window.Seconds(),
		}
		p.slowStart.DrawQuota(&warming.slowStart, now, warming.slowStartCapacity(), demand, rng)
	}
	return p.slowStart.HasQuota(&warming.slowStart, now)
}

// avoids reports whether a worker must not get this request: the worker looks unhealthy, and a failed attempt
// could not be retried. Requests that can be retried are still sent there, so that a recovery is detected.
func (p *picker) avoids(now time.Duration, req *request, w *worker) bool {
	return req.class.Idempotency == NonIdempotent && p.fleet.healthy > 0 &&
		p.outliers.IsUnhealthy(&w.health, now)
}

// preferredWorkers returns the workers that a function is spread over: the first ones of its rendezvous
// order, in proportion to the function's fraction of all requests. All schedulers choose nearly the same
// workers. A worker under pressure is replaced by the next in the order: all schedulers see the pressure.
func (p *picker) preferredWorkers(now time.Duration, fn *function) []*worker {
	order := p.endpoints.rendezvousOrder(fn)
	// One standard deviation is subtracted, so that a few requests by chance do not spread the function.
	requests := p.placements.requestsFor(now, fn)
	fraction := max(0, requests-math.Sqrt(requests)) / max(p.placements.totalRequests(now), 1)
	wanted := max(1, int(math.Ceil(fraction*spreadFactor*float64(len(order)))))
	var preferred []*worker
	for i, w := range p.endpoints.leasedOrder(now, fn) {
		if i >= wanted+maxCandidates || len(preferred) >= wanted {
			break
		}
		if !p.isDisplaced(now, fn.placementAt(w)) {
			preferred = append(preferred, w)
		}
	}
	return preferred
}

// isDisplaced reports whether pressure moves a function from a worker to the next one in its order.
func (p *picker) isDisplaced(now time.Duration, place *placement) bool {
	return p.pressure.Displaces(&place.worker.pressure, now, place.stickiness)
}
