package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
)

// pick chooses the worker for a request: one where its function was last found warm, while fewer of ours
// are out there than its lanes; else the less busy of the first two with room in the function's hash order.
func (r *Router) pick(q *request) (w *worker, warm bool) {
	f := q.function
	var best, turn *placement // a copy with a free lane; one with the shortest queue of ours
	stands := false
	home := r.preferredWorkers(f)
	// What others call often too is taken to stand at its homes, though no answer told this scheduler so.
	known := len(home) > 1 &&
		float64(r.settings.Schedulers-1)*f.requestWeight/spreadKeepAlives >=
			presumedWarmRequests*float64(len(home))
	good := func(p *placement) bool { return r.isWarm(p) || known && slices.Contains(home, p.worker) }
	for _, p := range f.placements {
		if !p.loading && !good(p) || r.isDisplaced(p) || !r.accepts(q, p.worker) {
			continue
		}
		stands = true
		if !r.hasCapacity(q, p.worker) {
			continue
		}
		if p.inFlight >= p.instances*f.concurrency {
			if turn == nil || p.inFlight*turn.instances < turn.inFlight*p.instances {
				turn = p
			}
			continue
		}
		if best == nil || good(p) && !good(best) ||
			good(p) == good(best) && r.busier(best.worker, p.worker) {
			best = p
		}
	}
	if best != nil {
		return best.worker, r.isWarm(best)
	}
	// A departure: a turn at the copy that stands is waited for where that takes less than a load elsewhere,
	// or loads push out copies, whose calls load again. Harm: where told loads are slower than real ones.
	if turn != nil {
		lanes := float64(turn.instances * f.concurrency)
		if !r.isWarm(turn) {
			return nil, false // its load is under way: what waits here clogs no worker if the load is slow
		}
		if (float64(turn.inFlight)-lanes+1)/lanes*r.serviceTime(f) < r.loadTime(f) {
			return turn.worker, true
		}
	}
	// A departure: with most lanes taken, what stands somewhere waits for room there, against load storms in
	// overload. Harm: one much called function in a fleet busy with long calls spreads late.
	if stands && r.utilization > maxSpillUtilization {
		return nil, false
	}
	// The first copy of all goes to the first with room, so that the store is asked once.
	var first, spare *worker
	for i, w := range r.rendezvousOrder(f) {
		if i >= maxCandidates && len(q.attempts) == 0 || first != nil && !stands {
			break
		}
		p := f.placementAt(w)
		if r.hasCapacity(q, w) && r.isDisplaced(p) && (spare == nil || r.busier(spare, w)) {
			spare = w
		}
		if r.hasCapacity(q, w) && !r.isDisplaced(p) && r.now >= w.loadBackoffUntil &&
			w.loadsWaiting < maxWaitingForLoads && p.inFlight < f.concurrency {
			if first == nil || r.busier(first, w) {
				first, w = w, first
			}
			if w != nil {
				break
			}
		}
	}
	if first == nil {
		first = spare
	}
	return first, first != nil && r.isWarm(f.placementAt(first))
}

// busier reports whether a is busier than b; a tie is broken at random.
func (r *Router) busier(a, b *worker) bool {
	x, y := r.relativeLoad(a), r.relativeLoad(b)
	return x > y || x == y && r.rng.IntN(2) == 0
}

// load is how busy a worker is for its size, and pace how its latencies compare with those of all workers.
// What presses it counts in quarters: less is noise, and all would go by it.
func (r *Router) relativeLoad(w *worker) float64 {
	press := max(math.Round(4*r.pressure(w)), 1)
	calls := 1 + float64(len(w.inFlight)) + w.peerInFlight
	// Where many share a worker, to be met by one more costs it, and shows in none of its reports.
	if w.answeredAt == 0 || r.now-w.answeredAt > r.settings.InstanceKeepAlive {
		calls += unansweredPenalty * math.Pow(r.peerShare, 4)
	}
	return calls * press / (w.Weight * r.slowStartFactor(w))
}

func (r *Router) latencyRatio(w *worker) float64 {
	return 1 + w.latencyExcess.At(r.now, r.settings.InstanceKeepAlive)
}

// room reports whether a worker may be sent this request and has room for it.
func (r *Router) hasCapacity(q *request, w *worker) bool {
	return float64(len(w.inFlight)-w.loadsWaiting) < w.concurrencyLimit && r.now >= w.backoffUntil &&
		r.accepts(q, w)
}

// fits reports whether a worker may be sent this request.
func (r *Router) accepts(q *request, w *worker) bool {
	return r.eligible(w) && r.mayAttempt(q, w) && !q.lastFailedAt(w) && !r.avoids(q, w) &&
		q.function.pool.Has(w.ID)
}

// shuns reports whether a worker is not to have this request: it seems ill, and nothing could be tried after.
// Others go there still, show when it is well again, and are tried elsewhere.
func (r *Router) avoids(q *request, w *worker) bool {
	return q.class.Idempotency == NonIdempotent && r.healthyWorkers > 0 && r.isUnhealthy(w)
}

// hashOrder is the order of the workers for a function, the same at every scheduler (rendezvous hashing). A
// worker comes first for as many functions as its size warrants.
func (r *Router) rendezvousOrder(f *function) []*worker {
	if f.orderVersion != r.membershipVersion {
		ready := slices.DeleteFunc(slices.Clone(r.workerList), func(w *worker) bool {
			return w.State != Ready || !f.pool.Has(w.ID)
		})
		of := func(w *worker) (string, float64) { return w.ID, w.Weight }
		f.workerOrder = rendezvous.Order(f.name, ready, of)
		f.orderVersion = r.membershipVersion
	}
	return f.workerOrder
}

// homes are the workers that a function is spread over: the first of its hash order, as many as its part of
// the calls warrants, so that all schedulers choose much the same. Where a worker is pressed, the next in the
// order takes its place: it looks pressed to all.
func (r *Router) preferredWorkers(f *function) []*worker {
	order, home := r.rendezvousOrder(f), []*worker(nil)
	// Few calls prove little: what chance alone could have brought is left out.
	n := f.requestWeight * r.decayFactor(f.lastRequestAt)
	part := max(0, n-math.Sqrt(n)) / max(r.requestWeight*r.decayFactor(r.lastRequestAt), 1)
	k := max(1, int(math.Ceil(part*spreadFactor*float64(len(order)))))
	for _, w := range order[:min(len(order), k+maxCandidates)] {
		if len(home) < k && !r.isDisplaced(f.placementAt(w)) {
			home = append(home, w)
		}
	}
	return home
}

// left reports whether a function leaves a worker for the next in its order, at every scheduler the same ones
// first: each sees little of a worker, and would hold on to one that all press. Few know by their own counts.
func (r *Router) isDisplaced(p *placement) bool {
	return (r.pressure(p.worker)-leavePressureStart)/(leavePressureFull-leavePressureStart)*
		math.Pow(r.peerShare, 4) > p.stickiness
}

// pressOf is how pressed a worker is believed to be: as last seen, fading to what others are, yet to no more
// than what it keeps its functions with. One that sees few workers, all pressed, would refuse the rest.
func (r *Router) pressure(w *worker) float64 {
	return min(r.meanPressure, leavePressureStart) + w.pressureExcess.At(r.now, r.settings.InstanceKeepAlive)
}

func (r *Router) decayFactor(at time.Duration) float64 {
	return math.Exp(-(r.now - at).Seconds() / (spreadKeepAlives * r.settings.InstanceKeepAlive.Seconds()))
}

// isWarm reports whether a copy is believed to stand: it was found within the least keep-alive, in this
// life of the worker.
func (r *Router) isWarm(p *placement) bool {
	return p.warm && p.incarnation == p.worker.incarnation && p.worker.State == Ready &&
		r.now-p.warmAt < r.settings.InstanceKeepAlive
}

// service is the running mean of a function's served latencies, in seconds. It starts at the class aim and
// decays back to it while none come.
func (r *Router) serviceTime(f *function) float64 {
	return r.settings.Classes[f.class].LatencyObjective.Seconds() + f.serviceTimeExcess.At(r.now,
		r.settings.InstanceKeepAlive)
}

// loadTime stands in for the time of a load, in seconds: as told, else the function's slowest recent
// latency, else the class aim.
func (r *Router) loadTime(f *function) float64 {
	if slow := f.slowestLatency.Within(r.now, 2*r.settings.InstanceKeepAlive); f.declaredLoadTime == 0 &&
		slow > 0 {
		return slow
	}
	return cmp.Or(f.declaredLoadTime, r.settings.Classes[f.class].LatencyObjective).Seconds()
}
