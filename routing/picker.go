package routing

import (
	"cmp"
	"math"
	"slices"

	"calicohill/internal/stats/rendezvous"
)

// pick chooses the worker for a request, and reports whether the function is believed to be loaded there:
// one where it is, while fewer of our requests are in flight there than it runs at a time, else the less
// busy of the first two with capacity in the function's rendezvous order. It returns nil if the request has
// to wait.
func (r *Router) pick(req *request) (target *worker, warm bool) {
	loaded := r.findLoaded(req)
	if loaded.free != nil {
		return loaded.free.worker, r.isWarm(loaded.free)
	}
	// A departure from the SCORPIO design: a loaded instance is waited for where that takes less time than a
	// load elsewhere, or loads evict instances, which then load again. Harm: where declared load times are
	// longer than real ones.
	if next := loaded.shortest; next != nil {
		if !r.isWarm(next) {
			return nil, false // its load is under way: what waits here blocks no worker if the load is slow
		}
		if r.waitForSlot(next, req.function) < r.latency.LoadTime(&req.function.latency, r.now) {
			return next.worker, true
		}
	}
	// A departure from the SCORPIO design: with most capacity in use, a function that is loaded somewhere
	// waits for capacity there, against load storms in overload. Harm: one much called function in a fleet
	// that is busy with long requests spreads late.
	if loaded.exists && !r.capacity.MaySpread() {
		return nil, false
	}
	target = r.pickForLoad(req, loaded.exists)
	return target, target != nil && r.isWarm(req.function.placementAt(target))
}

// findLoaded looks through the workers where a function is loaded or loading.
func (r *Router) findLoaded(req *request) loadedPlacements {
	var found loadedPlacements
	presumed := r.presumedWarm(req.function)
	loaded := func(p *placement) bool { return r.isWarm(p) || slices.Contains(presumed, p.worker) }
	for _, place := range req.function.placements {
		if !place.loading && !loaded(place) || r.isDisplaced(place) || !r.accepts(req, place.worker) {
			continue
		}
		found.exists = true
		if !r.hasCapacity(req, place.worker) {
			continue
		}
		if place.inFlight >= place.instances*req.function.concurrency {
			found.shortest = shorterQueue(found.shortest, place)
		} else if best := found.free; best == nil || loaded(place) && !loaded(best) ||
			loaded(place) == loaded(best) && r.busier(best.worker, place.worker) {
			found.free = place
		}
	}
	return found
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
func (r *Router) presumedWarm(fn *function) []*worker {
	preferred := r.preferredWorkers(fn)
	peerRequests := float64(r.settings.Schedulers-1) * fn.demand.PerKeepAlive()
	if len(preferred) > 1 && peerRequests >= presumedWarmRequests*float64(len(preferred)) {
		return preferred
	}
	return nil
}

// waitForSlot estimates the wait for a slot of a placement whose slots are all taken, in seconds.
func (r *Router) waitForSlot(p *placement, fn *function) float64 {
	slots := float64(p.instances * fn.concurrency)
	return (float64(p.inFlight) - slots + 1) / slots * r.latency.ServiceTime(&fn.latency, r.now)
}

// pickForLoad chooses the worker that loads a function: the less busy of the first two with capacity in its
// rendezvous order. The very first instance goes to the first with capacity, so that the store is asked
// once. If there is none, a worker that the function has left stands in.
func (r *Router) pickForLoad(req *request, exists bool) *worker {
	var first, spare *worker
	for i, candidate := range r.rendezvousOrder(req.function) {
		if i >= maxCandidates && len(req.attempts) == 0 || first != nil && !exists {
			break
		}
		p := req.function.placementAt(candidate)
		if !r.hasCapacity(req, candidate) {
			continue
		}
		switch {
		case r.isDisplaced(p):
			if spare == nil || r.busier(spare, candidate) {
				spare = candidate
			}
		case candidate.limit.BacksOffLoads(r.now), candidate.loadsWaiting >= maxWaitingForLoads,
			p.inFlight >= req.function.concurrency:
			continue
		case first == nil:
			first = candidate
		case r.busier(first, candidate):
			return candidate
		default:
			return first
		}
	}
	return cmp.Or(first, spare)
}

// busier reports whether a is busier than b; a tie is broken at random.
func (r *Router) busier(a, b *worker) bool {
	loadA, loadB := r.relativeLoad(a), r.relativeLoad(b)
	return loadA > loadB || loadA == loadB && r.rng.IntN(2) == 0
}

// relativeLoad is how busy a worker is for its weight.
func (r *Router) relativeLoad(w *worker) float64 {
	pressure := max(math.Round(pressureSteps*r.pressure.Of(&w.pressure, r.now)), 1)
	requests := 1 + float64(len(w.inFlight)) + w.pressure.PeerInFlight()
	// Where many share a worker, meeting one more costs it and shows in none of its reports.
	if !w.health.AnsweredWithin(r.now, r.settings.InstanceKeepAlive) {
		requests += unansweredPenalty * r.pressure.PeerInfluence()
	}
	return requests * pressure / (w.Weight * r.slowStart.Factor(r.now, w.Started))
}

// hasCapacity reports whether a worker accepts this request and is below its concurrency limit.
func (r *Router) hasCapacity(req *request, w *worker) bool {
	return w.limit.HasCapacity(r.now, len(w.inFlight)-w.loadsWaiting) && r.accepts(req, w)
}

// accepts reports whether a worker may be sent this request.
func (r *Router) accepts(req *request, w *worker) bool {
	return r.eligible(w) && r.mayAttempt(req, w) && !req.lastFailedAt(w) && !r.avoids(req, w) &&
		req.function.pool.Has(w.ID)
}

// avoids reports whether a worker is not to have this request: it seems unhealthy, and nothing could be
// retried. Other requests still go there, show when it has recovered, and are retried elsewhere.
func (r *Router) avoids(req *request, w *worker) bool {
	return req.class.Idempotency == NonIdempotent && r.healthyWorkers > 0 &&
		r.outliers.IsUnhealthy(&w.health, r.now)
}

// lastFailedAt reports whether the last attempt went to this worker and may have run: the next goes
// elsewhere.
func (q *request) lastFailedAt(w *worker) bool {
	n := len(q.attempts)
	return n > 0 && q.attempts[n-1].worker == w && !q.attempts[n-1].neverRan
}

// preferredWorkers are the workers that a function is spread over: the first of its rendezvous order, as
// many as its part of the requests warrants, so that all schedulers choose much the same. Where one is under
// pressure, the next in the order takes its place: it looks so to all schedulers.
func (r *Router) preferredWorkers(fn *function) []*worker {
	order := r.rendezvousOrder(fn)
	// Few requests prove little: what chance alone could have brought is left out.
	requests := fn.demand.At(r.now, r.demandWindow)
	fraction := max(0, requests-math.Sqrt(requests)) / max(r.demand.At(r.now, r.demandWindow), 1)
	wanted := max(1, int(math.Ceil(fraction*spreadFactor*float64(len(order)))))
	var preferred []*worker
	for _, w := range order[:min(len(order), wanted+maxCandidates)] {
		if len(preferred) < wanted && !r.isDisplaced(fn.placementAt(w)) {
			preferred = append(preferred, w)
		}
	}
	return preferred
}

// rendezvousOrder is the order of the workers for a function, the same at every scheduler (rendezvous
// hashing). A worker comes first for as many functions as its weight warrants.
func (r *Router) rendezvousOrder(fn *function) []*worker {
	if fn.orderVersion != r.membershipVersion {
		ready := slices.DeleteFunc(slices.Clone(r.workerList), func(w *worker) bool {
			return w.State != Ready || !fn.pool.Has(w.ID)
		})
		identity := func(w *worker) (string, float64) { return w.ID, w.Weight }
		fn.workerOrder = rendezvous.Order(fn.name, ready, identity)
		fn.orderVersion = r.membershipVersion
	}
	return fn.workerOrder
}

// isDisplaced reports whether a function leaves a worker for the next in its order.
func (r *Router) isDisplaced(p *placement) bool {
	return r.pressure.Displaces(&p.worker.pressure, r.now, p.stickiness)
}
