package routing

import (
	"maps"
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/demand"
	"calicohill/routing/latency"
)

// functionKeepAlives is how many keep-alives a function without requests is remembered.
const functionKeepAlives = 5

// function is what is known of a function.
type function struct {
	name        string
	class       int   // index in Settings.Classes, of its latest request
	concurrency int   // requests that an instance runs at a time
	pool        *Pool // workers that may have it; nil means all
	served      bool  // some worker answered it
	demand      demand.Count
	latency     latency.Function
	placements  []*placement
	order       workerOrder
}

// placement is what is known of a function at a worker.
type placement struct {
	worker      *worker
	incarnation int           // of the worker, that warm, loading and instances hold for
	warm        bool          // the function was found loaded
	warmAt      time.Duration // when that was last so
	instances   int           // loaded instances, at least 1
	inFlight    int           // attempts of ours
	loading     bool          // a load that a request began is under way
	loadOrdered bool          // a load that was ordered is under way
	stickiness  float64       // 0 to 1: the placements with the least are the first to leave under pressure
}

// placementTable holds the functions that are called, how much, and at which workers they are loaded. It
// forgets a function that was not called for functionKeepAlives.
type placementTable struct {
	classes   []Class
	keepAlive time.Duration // shortest time that an idle instance stays loaded
	window    demand.Window
	functions map[string]*function // by name
	demand    demand.Count         // of requests for all functions
}

func newPlacementTable(s *Settings) *placementTable {
	return &placementTable{
		classes:   s.Classes,
		keepAlive: s.InstanceKeepAlive,
		window:    demand.NewWindow(s.InstanceKeepAlive),
		functions: map[string]*function{},
	}
}

// functionFor returns the record of a request's function, which it makes if needed, and counts the request.
func (t *placementTable) functionFor(now time.Duration, arrival Request) *function {
	called := t.functions[arrival.Function]
	if called == nil {
		called = &function{name: arrival.Function, demand: demand.NewCount(now, 0)}
		t.functions[arrival.Function] = called
	}
	called.class = arrival.Class
	called.concurrency = max(arrival.Concurrency, 1)
	called.pool = arrival.Pool
	called.latency.Declare(t.classes[arrival.Class].LatencyObjective, arrival.LoadTime)
	called.demand.Add(now, t.window)
	t.demand.Add(now, t.window)
	return called
}

// requestsFor is the decaying count of requests for a function.
func (t *placementTable) requestsFor(now time.Duration, fn *function) float64 {
	return fn.demand.At(now, t.window)
}

// totalRequests is the decaying count of requests for all functions.
func (t *placementTable) totalRequests(now time.Duration) float64 { return t.demand.At(now, t.window) }

// isWarm reports whether a function is believed to be loaded at a worker: it was found so within the
// shortest keep-alive, in this incarnation of the worker.
func (t *placementTable) isWarm(now time.Duration, p *placement) bool {
	return p.warm && p.incarnation == p.worker.incarnation && p.worker.State == Ready &&
		now-p.warmAt < t.keepAlive
}

// isWarmAnywhere reports whether a function is believed to be loaded at some worker.
func (t *placementTable) isWarmAnywhere(now time.Duration, fn *function) bool {
	return slices.ContainsFunc(fn.placements, func(p *placement) bool { return t.isWarm(now, p) })
}

// isLoadBegun reports whether a function is loaded, or a request began its load, at some worker.
func (t *placementTable) isLoadBegun(now time.Duration, fn *function) bool {
	return slices.ContainsFunc(fn.placements, func(p *placement) bool {
		return t.isWarm(now, p) || p.loading
	})
}

// loadEnded learns from the answer to an order to load; the worker is nil if it is not known.
func (t *placementTable) loadEnded(now time.Duration, target *worker, end LoadEnded) {
	fn := t.functions[end.Function]
	if target == nil || fn == nil {
		return
	}
	p := fn.placementAt(target)
	p.loadOrdered = false
	if end.Outcome == Served && end.Instances > 0 {
		p.setWarm(now)
		p.instances = end.Instances
	}
}

// evictIdle forgets functions that nobody calls any more, and placements at workers that are forgotten.
func (t *placementTable) evictIdle(now time.Duration, endpoints *endpointTable, queue *requestQueue) {
	maps.DeleteFunc(t.functions, func(_ string, fn *function) bool {
		fn.placements = slices.DeleteFunc(fn.placements, func(p *placement) bool {
			return p.inFlight == 0 && endpoints.isForgotten(now, p.worker)
		})
		return now-fn.demand.LastAt() >= functionKeepAlives*t.keepAlive && !fn.isInUse() && !queue.holds(fn)
	})
}

// placementAt returns the record of a function at a worker, which it makes if needed.
func (f *function) placementAt(w *worker) *placement {
	i := slices.IndexFunc(f.placements, func(p *placement) bool { return p.worker == w })
	if i >= 0 {
		return f.placements[i]
	}
	p := &placement{worker: w, instances: 1, stickiness: rendezvous.Uniform(w.ID, f.name)}
	f.placements = append(f.placements, p)
	return p
}

// recordServed notes that some worker answered the function.
func (f *function) recordServed() { f.served = true }

// isInUse reports whether a function has an attempt in flight or an open order to load.
func (f *function) isInUse() bool {
	return slices.ContainsFunc(f.placements, func(p *placement) bool {
		return p.loadOrdered || p.inFlight > 0
	})
}

// setWarm notes that the function was found loaded, in the worker's present incarnation.
func (p *placement) setWarm(now time.Duration) {
	p.warm = true
	p.incarnation = p.worker.incarnation
	p.warmAt = now
}

// recordServed notes that an attempt found the function loaded, or loaded it.
func (p *placement) recordServed(now time.Duration) {
	if p.incarnation != p.worker.incarnation {
		p.instances = 1
	}
	p.setWarm(now)
	p.loading = false
}

// recordInFlight learns how many instances there are: enough for the requests that the worker had, and one
// more, where each runs so many at a time.
func (p *placement) recordInFlight(requests, concurrency int) {
	p.instances = max(1, (requests+concurrency)/concurrency)
}

// recordNotLoaded notes that the function is not loaded, and no load is under way.
func (p *placement) recordNotLoaded() {
	p.warm = false
	p.loading = false
}

// beginAttempt counts an attempt. One that finds nothing loaded begins a load.
func (p *placement) beginAttempt(mayNeedLoad bool) {
	p.inFlight++
	if mayNeedLoad && (p.incarnation != p.worker.incarnation || !p.loading) {
		p.incarnation = p.worker.incarnation
		p.warm = false
		p.instances = 1
		p.loading = true
	}
}

// endAttempt removes an attempt from the count.
func (p *placement) endAttempt(mayNeedLoad bool) {
	p.inFlight--
	if mayNeedLoad && p.inFlight == 0 {
		p.loading = false
	}
}

// recordLoadOrdered notes that a load was ordered.
func (p *placement) recordLoadOrdered() { p.loadOrdered = true }

// restorePlacement notes that so many instances were loaded at a worker at an earlier time.
func (f *function) restorePlacement(w *worker, warmAt time.Duration, instances int) {
	p := f.placementAt(w)
	p.setWarm(warmAt)
	p.instances = max(instances, 1)
}

// restore takes up a function that an earlier process knew.
func (t *placementTable) restore(fn *function) { t.functions[fn.name] = fn }

// restoreDemand takes up the count of requests for all functions as of an earlier time.
func (t *placementTable) restoreDemand(countedAt time.Duration, requests float64) {
	t.demand = demand.NewCount(countedAt, requests)
}
