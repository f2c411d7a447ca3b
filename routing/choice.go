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
	f := q.fn
	var best, turn *pair // a copy with a free lane; one with the shortest queue of ours
	stands := false
	home := r.homes(f)
	// What others call often too is taken to stand at its homes, though no answer told this scheduler so.
	known := len(home) > 1 && float64(r.set.Schedulers-1)*f.calls/widthTau >= presumedFrom*float64(len(home))
	good := func(p *pair) bool { return r.isWarm(p) || known && slices.Contains(home, p.w) }
	for _, p := range f.pairs {
		if !p.loading && !good(p) || r.left(p) || !r.fits(q, p.w) {
			continue
		}
		stands = true
		if !r.room(q, p.w) {
			continue
		}
		if p.out >= p.copies*f.lanes {
			if turn == nil || p.out*turn.copies < turn.out*p.copies {
				turn = p
			}
			continue
		}
		if best == nil || good(p) && !good(best) ||
			good(p) == good(best) && r.busier(best.w, p.w) {
			best = p
		}
	}
	if best != nil {
		return best.w, r.isWarm(best)
	}
	// A departure: a turn at the copy that stands is waited for where that takes less than a load elsewhere,
	// or loads push out copies, whose calls load again. Harm: where told loads are slower than real ones.
	if turn != nil {
		lanes := float64(turn.copies * f.lanes)
		if !r.isWarm(turn) {
			return nil, false // its load is under way: what waits here clogs no worker if the load is slow
		}
		if (float64(turn.out)-lanes+1)/lanes*r.service(f) < r.loadTime(f) {
			return turn.w, true
		}
	}
	// A departure: with most lanes taken, what stands somewhere waits for room there, against load storms in
	// overload. Harm: one much called function in a fleet busy with long calls spreads late.
	if stands && r.busy > spillMost {
		return nil, false
	}
	// The first copy of all goes to the first with room, so that the store is asked once.
	var first, spare *worker
	for i, w := range r.hashOrder(f) {
		if i >= walkDepth && len(q.attempts) == 0 || first != nil && !stands {
			break
		}
		p := f.pair(w)
		if r.room(q, w) && r.left(p) && (spare == nil || r.busier(spare, w)) {
			spare = w
		}
		if r.room(q, w) && !r.left(p) && r.now >= w.noLoads && w.loads < loadLanes && p.out < f.lanes {
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
	return first, first != nil && r.isWarm(f.pair(first))
}

// busier reports whether a is busier than b; a tie is broken at random.
func (r *Router) busier(a, b *worker) bool {
	x, y := r.load(a), r.load(b)
	return x > y || x == y && r.rng.IntN(2) == 0
}

// load is how busy a worker is for its size, and pace how its latencies compare with those of all workers.
// What presses it counts in quarters: less is noise, and all would go by it.
func (r *Router) load(w *worker) float64 {
	press := max(math.Round(4*r.pressOf(w)), 1)
	calls := 1 + float64(len(w.outs)) + w.others
	// Where many share a worker, to be met by one more costs it, and shows in none of its reports.
	if w.met == 0 || r.now-w.met > r.set.InstanceKeepAlive {
		calls += unmetCalls * math.Pow(r.theirs, 4)
	}
	return calls * press / (w.Weight * r.ripeness(w))
}

func (r *Router) paceOf(w *worker) float64 {
	return 1 + w.pace.At(r.now, r.set.InstanceKeepAlive)
}

// room reports whether a worker may be sent this request and has room for it.
func (r *Router) room(q *request, w *worker) bool {
	return float64(len(w.outs)-w.loads) < w.limit && r.now >= w.full && r.fits(q, w)
}

// fits reports whether a worker may be sent this request.
func (r *Router) fits(q *request, w *worker) bool {
	return r.usable(w) && r.maySend(q, w) && !q.failedAt(w) && !r.shuns(q, w) && q.fn.pool.Has(w.ID)
}

// shuns reports whether a worker is not to have this request: it seems ill, and nothing could be tried after.
// Others go there still, show when it is well again, and are tried elsewhere.
func (r *Router) shuns(q *request, w *worker) bool {
	return q.class.Idempotency == NonIdempotent && r.well > 0 && r.ill(w)
}

// ill reports whether a worker answers errors, or seems ill to others and has not answered here lately.
func (r *Router) ill(w *worker) bool {
	return r.errsOf(w) > errsMost || w.word > NotReported && r.now-w.lastAnswer > wordOwn
}

// hashOrder is the order of the workers for a function, the same at every scheduler (rendezvous hashing). A
// worker comes first for as many functions as its size warrants.
func (r *Router) hashOrder(f *function) []*worker {
	if f.version != r.version {
		ready := slices.DeleteFunc(slices.Clone(r.list), func(w *worker) bool {
			return w.State != Ready || !f.pool.Has(w.ID)
		})
		of := func(w *worker) (string, float64) { return w.ID, w.Weight }
		f.order = rendezvous.Order(f.name, ready, of)
		f.version = r.version
	}
	return f.order
}

// homes are the workers that a function is spread over: the first of its hash order, as many as its part of
// the calls warrants, so that all schedulers choose much the same. Where a worker is pressed, the next in the
// order takes its place: it looks pressed to all.
func (r *Router) homes(f *function) []*worker {
	order, home := r.hashOrder(f), []*worker(nil)
	// Few calls prove little: what chance alone could have brought is left out.
	n := f.calls * r.fade(f.lastCall)
	part := max(0, n-math.Sqrt(n)) / max(r.allCalls*r.fade(r.lastCall), 1)
	k := max(1, int(math.Ceil(part*widthMore*float64(len(order)))))
	for _, w := range order[:min(len(order), k+walkDepth)] {
		if len(home) < k && !r.left(f.pair(w)) {
			home = append(home, w)
		}
	}
	return home
}

// left reports whether a function leaves a worker for the next in its order, at every scheduler the same ones
// first: each sees little of a worker, and would hold on to one that all press. Few know by their own counts.
func (r *Router) left(p *pair) bool {
	return (r.pressOf(p.w)-leaveFrom)/(leaveAll-leaveFrom)*math.Pow(r.theirs, 4) > p.stays
}

// pressOf is how pressed a worker is believed to be: as last seen, fading to what others are, yet to no more
// than what it keeps its functions with. One that sees few workers, all pressed, would refuse the rest.
func (r *Router) pressOf(w *worker) float64 {
	return min(r.press, leaveFrom) + w.press.At(r.now, r.set.InstanceKeepAlive)
}

func (r *Router) fade(at time.Duration) float64 {
	return math.Exp(-(r.now - at).Seconds() / (widthTau * r.set.InstanceKeepAlive.Seconds()))
}

func (r *Router) function(e Request) *function {
	f := r.funcs[e.Function]
	if f == nil {
		f = &function{name: e.Function, lastCall: r.now}
		r.funcs[e.Function] = f
	}
	f.class, f.lanes, f.pool = e.Class, max(e.Concurrency, 1), e.Pool
	f.told = cmp.Or(max(0, e.LoadTime), f.told)
	f.calls, f.lastCall = f.calls*r.fade(f.lastCall)+1, r.now
	r.allCalls, r.lastCall = r.allCalls*r.fade(r.lastCall)+1, r.now
	return f
}

func (f *function) pair(w *worker) *pair {
	if i := slices.IndexFunc(f.pairs, func(p *pair) bool { return p.w == w }); i >= 0 {
		return f.pairs[i]
	}
	f.pairs = append(f.pairs, &pair{w: w, copies: 1, stays: rendezvous.Uniform(w.ID, f.name)})
	return f.pairs[len(f.pairs)-1]
}

// isWarm reports whether a copy is believed to stand: it was found within the least keep-alive, in this
// life of the worker.
func (r *Router) isWarm(p *pair) bool {
	return p.warm && p.life == p.w.life && p.w.State == Ready && r.now-p.at < r.set.InstanceKeepAlive
}

// service is the running mean of a function's served latencies, in seconds. It starts at the class aim and
// decays back to it while none come.
func (r *Router) service(f *function) float64 {
	return r.set.Classes[f.class].LatencyObjective.Seconds() + f.mean.At(r.now, r.set.InstanceKeepAlive)
}

// loadTime stands in for the time of a load, in seconds: as told, else the function's slowest recent
// latency, else the class aim.
func (r *Router) loadTime(f *function) float64 {
	if slow := f.slowest.Within(r.now, 2*r.set.InstanceKeepAlive); f.told == 0 && slow > 0 {
		return slow
	}
	return cmp.Or(f.told, r.set.Classes[f.class].LatencyObjective).Seconds()
}
