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
	maxCandidates        = 4    // workers of the rendezvous order that a first attempt considers
	presumedWarmRequests = 4    // peers' requests within a keep-alive that keep an instance loaded
	maxWaitingForLoads   = 4    // requests of ours that may wait for loads at a worker that gets another
	spreadFactor         = 2.0  // preferred workers of a function, as a multiple of its part of all requests
	unansweredPenalty    = 0.25 // requests that a worker with no recent answer counts as busier by
	pressureSteps        = 4    // steps in which pressure counts; less is noise, and all would follow it
)

// picker chooses the worker for a request. It owns no state: it asks the components that do.
type picker struct {
	peers     int           // other schedulers that share the workers
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

// loadedPlacements is what there is of a function at the workers that a request may be sent to.
type loadedPlacements struct {
	free     *placement // the best one with a free slot
	shortest *placement // the one with the shortest queue of our requests, where all slots are taken
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

// pick chooses the worker for a request, and reports whether the function is believed to be loaded there:
// one where it is, while fewer of our requests are in flight there than it runs at a time, else the less
// busy of the first two with capacity in the function's rendezvous order. It returns nil if the request has
// to wait.
func (p *picker) pick(now time.Duration, rng *rand.Rand, req *request) (target *worker, warm bool) {
	loaded := p.findLoaded(now, rng, req)
	if loaded.free != nil {
		return loaded.free.worker, p.placements.isWarm(now, loaded.free)
	}
	// A departure from the SCORPIO design: a loaded instance is waited for where that takes less time than a
	// load elsewhere, or loads evict instances, which then load again. Harm: where declared load times are
	// longer than real ones.
	if next := loaded.shortest; next != nil {
		if !p.placements.isWarm(now, next) {
			return nil, false // its load is under way: what waits here blocks no worker if the load is slow
		}
		if p.waitForSlot(now, next, req.function) < p.latency.LoadTime(&req.function.latency, now) {
			return next.worker, true
		}
	}
	// A departure from the SCORPIO design: with most capacity in use, a function that is loaded somewhere
	// waits for capacity there, against load storms in overload. Harm: one much called function in a fleet
	// that is busy with long requests spreads late.
	if loaded.exists && !p.fleet.capacity.MaySpread() {
		return nil, false
	}
	target = p.pickForLoad(now, rng, req, loaded.exists)
	return target, target != nil && p.placements.isWarm(now, req.function.placementAt(target))
}

// findLoaded looks through the workers where a function is loaded or loading.
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

// isLoaded reports whether a function is believed to be loaded at a worker, or taken to be.
func (p *picker) isLoaded(now time.Duration, place *placement, presumed []*worker) bool {
	return p.placements.isWarm(now, place) || slices.Contains(presumed, place.worker)
}

// isBetter reports whether a placement with a free slot is to be preferred to the best so far: one that is
// loaded to one that still loads, else the one at the less busy worker.
func (p *picker) isBetter(
	now time.Duration, rng *rand.Rand, place, best *placement, presumed []*worker,
) bool {
	loaded, bestLoaded := p.isLoaded(now, place, presumed), p.isLoaded(now, best, presumed)
	if loaded != bestLoaded {
		return loaded
	}
	return p.busier(now, rng, best.worker, place.worker)
}

// shorterQueue returns the placement with fewer requests of ours for each instance; the first may be nil.
func shorterQueue(best, next *placement) *placement {
	if best == nil || next.inFlight*best.instances < best.inFlight*next.instances {
		return next
	}
	return best
}

// presumedWarm returns the workers where a function is taken to be loaded though no answer told this
// scheduler so: its preferred workers, if peers call it often.
func (p *picker) presumedWarm(now time.Duration, fn *function) []*worker {
	preferred := p.preferredWorkers(now, fn)
	peerRequests := float64(p.peers) * fn.demand.PerKeepAlive()
	if len(preferred) > 1 && peerRequests >= presumedWarmRequests*float64(len(preferred)) {
		return preferred
	}
	return nil
}

// waitForSlot estimates the wait for a slot of a placement whose slots are all taken, in seconds.
func (p *picker) waitForSlot(now time.Duration, place *placement, fn *function) float64 {
	slots := float64(place.instances * fn.concurrency)
	return (float64(place.inFlight) - slots + 1) / slots * p.latency.ServiceTime(&fn.latency, now)
}

// pickForLoad chooses the worker that loads a function: the less busy of the first two with capacity in its
// rendezvous order. The very first instance goes to the first with capacity, so that the store is asked
// once. If there is none, a worker that the function has left stands in.
func (p *picker) pickForLoad(now time.Duration, rng *rand.Rand, req *request, exists bool) *worker {
	var first, spare *worker
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
			spare = p.lessBusy(now, rng, spare, candidate)
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
	return cmp.Or(first, spare)
}

// acceptsLoad reports whether a worker may be given one more request that waits for a load there.
func acceptsLoad(now time.Duration, fn *function, place *placement) bool {
	return !place.worker.limit.BacksOffLoads(now) && place.worker.loadsWaiting < maxWaitingForLoads &&
		place.inFlight < fn.concurrency
}

// lessBusy returns the less busy of two workers; the first may be nil.
func (p *picker) lessBusy(now time.Duration, rng *rand.Rand, best, next *worker) *worker {
	if best == nil || p.busier(now, rng, best, next) {
		return next
	}
	return best
}

// busier reports whether a is busier than b; a tie is broken at random.
func (p *picker) busier(now time.Duration, rng *rand.Rand, a, b *worker) bool {
	loadA, loadB := p.relativeLoad(now, a), p.relativeLoad(now, b)
	return loadA > loadB || loadA == loadB && rng.IntN(2) == 0
}

// relativeLoad is how busy a worker is for its weight.
func (p *picker) relativeLoad(now time.Duration, w *worker) float64 {
	steps := max(math.Round(pressureSteps*p.pressure.Pressure(&w.pressure, now)), 1)
	requests := 1 + float64(len(w.inFlight)) + w.pressure.PeerInFlight()
	// Where many share a worker, meeting one more costs it and shows in none of its reports.
	if !w.health.AnsweredWithin(now, p.keepAlive) {
		requests += unansweredPenalty * p.pressure.PeerInfluence()
	}
	return requests * steps / (w.Weight * p.slowStart.CapacityFraction(now, w.Started))
}

// hasCapacity reports whether a worker accepts this request and is below its concurrency limit.
func (p *picker) hasCapacity(now time.Duration, rng *rand.Rand, req *request, w *worker) bool {
	return w.limit.HasCapacity(now, w.requestsInSlots()) && p.accepts(now, rng, req, w)
}

// accepts reports whether a worker may be sent this request.
func (p *picker) accepts(now time.Duration, rng *rand.Rand, req *request, w *worker) bool {
	return p.endpoints.eligible(now, w) && p.mayAttempt(now, rng, req, w) && !req.lastFailedAt(w) &&
		!p.avoids(now, req, w) && req.function.pool.Has(w.ID)
}

// mayAttempt reports whether the rules on attempts and the slow-start budget allow to send this request to
// this worker now.
func (p *picker) mayAttempt(now time.Duration, rng *rand.Rand, req *request, w *worker) bool {
	return p.retries.mayAttempt(now, req, w) && p.withinSlowStartBudget(now, rng, w)
}

// withinSlowStartBudget reports whether a worker that is warming up may be sent one more request, where the
// deployment says what overloads it.
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

// avoids reports whether a worker is not to have this request: it seems unhealthy, and nothing could be
// retried. Other requests still go there, show when it has recovered, and are retried elsewhere.
func (p *picker) avoids(now time.Duration, req *request, w *worker) bool {
	return req.class.Idempotency == NonIdempotent && p.fleet.healthy > 0 &&
		p.outliers.IsUnhealthy(&w.health, now)
}

// preferredWorkers are the workers that a function is spread over: the first of its rendezvous order, as
// many as its part of the requests warrants, so that all schedulers choose much the same. Where one is under
// pressure, the next in the order takes its place: it looks so to all schedulers.
func (p *picker) preferredWorkers(now time.Duration, called *function) []*worker {
	order := p.endpoints.rendezvousOrder(called)
	// Few requests prove little: what chance alone could have brought is left out.
	requests := p.placements.requestsFor(now, called)
	fraction := max(0, requests-math.Sqrt(requests)) / max(p.placements.totalRequests(now), 1)
	wanted := max(1, int(math.Ceil(fraction*spreadFactor*float64(len(order)))))
	var preferred []*worker
	for i, w := range p.endpoints.leasedOrder(now, called) {
		if i >= wanted+maxCandidates || len(preferred) >= wanted {
			break
		}
		if !p.isDisplaced(now, called.placementAt(w)) {
			preferred = append(preferred, w)
		}
	}
	return preferred
}

// isDisplaced reports whether a function leaves a worker for the next in its order.
func (p *picker) isDisplaced(now time.Duration, place *placement) bool {
	return p.pressure.Displaces(&place.worker.pressure, now, place.stickiness)
}
