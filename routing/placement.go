package routing

import (
	"maps"
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/demand"
	"calicohill/routing/latency"
)

// functionRetentionKeepAlives is the retention time of a function without requests, in keep-alives.
const functionRetentionKeepAlives = 5

// function is the record of a function.
type function struct {
	name        string
	class       int   // index in Settings.Classes of its latest request
	concurrency int   // requests that one instance runs in parallel
	pool        *Pool // workers allowed to serve it; nil means all
	served      bool  // some worker has served it
	demand      demand.Count
	latency     latency.Function
	placements  []*placement
	order       workerOrder
}

// placement is the record of a function at one worker.
type placement struct {
	worker        *worker
	incarnation   int           // incarnation of the worker to which warm, loading and instances apply
	warm          bool          // the function was loaded at warmAt
	warmAt        time.Duration // when the function was last known to be loaded
	instances     int           // estimated number of loaded instances, at least 1
	inFlight      int           // attempts of this scheduler
	loading       bool          // a load started by a request is in progress
	loadRequested bool          // a Load is in progress
	stickiness    float64       // 0 to 1; under pressure, placements with the lowest are displaced first
}

// placementTable holds the requested functions, their demand, and the workers where they are loaded. It
// deletes a function that was not requested for functionRetentionKeepAlives.
type placementTable struct {
	classes   []Class
	keepAlive time.Duration // shortest time that an idle instance stays loaded
	window    demand.Window
	functions map[string]*function // by name
	demand    demand.Count         // requests for all functions
}

func newPlacementTable(s *Settings) *placementTable {
	return &placementTable{
		classes:   s.Classes,
		keepAlive: s.InstanceKeepAlive,
		window:    demand.NewWindow(s.InstanceKeepAlive),
		functions: map[string]*function{},
	}
}

// functionFor counts a request and returns the record of its function, creating it if necessary.
func (t *placementTable) functionFor(now time.Duration, arrival Request) *function {
	fn := t.functions[arrival.Function]
	if fn == nil {
		fn = &function{name: arrival.Function, demand: demand.NewCount(now, 0)}
		t.functions[arrival.Function] = fn
	}
	fn.class = arrival.Class
	fn.concurrency = max(arrival.Concurrency, 1)
	fn.pool = arrival.Pool
	fn.latency.Declare(t.classes[arrival.Class].LatencyObjective, arrival.LoadTime)
	fn.demand.Add(now, t.window)
	t.demand.Add(now, t.window)
	return fn
}

// requestsFor returns the decaying count of requests for a function.
func (t *placementTable) requestsFor(now time.Duration, fn *function) float64 {
	return fn.demand.At(now, t.window)
}

// totalRequests returns the decaying count of requests for all functions.
func (t *placementTable) totalRequests(now time.Duration) float64 { return t.demand.At(now, t.window) }

// isWarm reports whether a function is believed to be loaded at a worker: it was known to be loaded within
// the last keep-alive, in the current incarnation of the worker.
func (t *placementTable) isWarm(now time.Duration, p *placement) bool {
	return p.warm && p.incarnation == p.worker.incarnation && p.worker.State == Ready &&
		now-p.warmAt < t.keepAlive
}

// isWarmAnywhere reports whether a function is believed to be loaded at any worker.
func (t *placementTable) isWarmAnywhere(now time.Duration, fn *function) bool {
	return slices.ContainsFunc(fn.placements, func(p *placement) bool { return t.isWarm(now, p) })
}

// isLoadedOrLoading reports whether a function is believed to be loaded, or is loading for a request, at any
// worker.
func (t *placementTable) isLoadedOrLoading(now time.Duration, fn *function) bool {
	return slices.ContainsFunc(fn.placements, func(p *placement) bool {
		return t.isWarm(now, p) || p.loading
	})
}

// loadEnded records the result of a Load; target is nil for an unknown worker.
func (t *placementTable) loadEnded(now time.Duration, target *worker, end LoadEnded) {
	fn := t.functions[end.Function]
	if target == nil || fn == nil {
		return
	}
	p := fn.placementAt(target)
	p.loadRequested = false
	if end.Outcome == Served && end.Instances > 0 {
		p.setWarm(now)
		p.instances = end.Instances
	}
}

// evictIdle deletes functions without recent requests and placements at deleted workers.
func (t *placementTable) evictIdle(now time.Duration, endpoints *endpointTable, queue *requestQueue) {
	maps.DeleteFunc(t.functions, func(_ string, fn *function) bool {
		fn.placements = slices.DeleteFunc(fn.placements, func(p *placement) bool {
			return p.inFlight == 0 && endpoints.isEvictable(now, p.worker)
		})
		return now-fn.demand.LastAt() >= functionRetentionKeepAlives*t.keepAlive &&
			!fn.isInUse() && !queue.hasRequestFor(fn)
	})
}

// placementAt returns the placement of a function at a worker, creating it if necessary.
func (f *function) placementAt(w *worker) *placement {
	i := slices.IndexFunc(f.placements, func(p *placement) bool { return p.worker == w })
	if i >= 0 {
		return f.placements[i]
	}
	p := &placement{worker: w, instances: 1, stickiness: rendezvous.Uniform(w.ID, f.name)}
	f.placements = append(f.placements, p)
	return p
}

// recordServed records that some worker has served the function.
func (f *function) recordServed() { f.served = true }

// isInUse reports whether a function has an attempt in flight or a Load in progress.
func (f *function) isInUse() bool {
	return slices.ContainsFunc(f.placements, func(p *placement) bool {
		return p.loadRequested || p.inFlight > 0
	})
}

// setWarm records that the function is loaded in the current incarnation of the worker.
func (p *placement) setWarm(now time.Duration) {
	p.warm = true
	p.incarnation = p.worker.incarnation
	p.warmAt = now
}

// recordServed records a served attempt, after which the function is loaded.
func (p *placement) recordServed(now time.Duration) {
	if p.incarnation != p.worker.incarnation {
		p.instances = 1
	}
	p.setWarm(now)
	p.loading = false
}

// recordInFlight estimates the number of instances: enough for the requests that the worker reported and one
// more, given the number that an instance runs in parallel.
func (p *placement) recordInFlight(requests, concurrency int) {
	p.instances = max(1, (requests+concurrency)/concurrency)
}

// recordNotLoaded records that the function is neither loaded nor loading.
func (p *placement) recordNotLoaded() {
	p.warm = false
	p.loading = false
}

// beginAttempt counts an attempt. An attempt that may need a load starts one, unless one is in progress.
func (p *placement) beginAttempt(mayNeedLoad bool) {
	p.inFlight++
	if mayNeedLoad && (p.incarnation != p.worker.incarnation || !p.loading) {
		p.incarnation = p.worker.incarnation
		p.warm = false
		p.instances = 1
		p.loading = true
	}
}

// endAttempt removes an ended attempt from the count.
func (p *placement) endAttempt(mayNeedLoad bool) {
	p.inFlight--
	if mayNeedLoad && p.inFlight == 0 {
		p.loading = false
	}
}

// recordLoadRequested records that a Load was sent.
func (p *placement) recordLoadRequested() { p.loadRequested = true }

// restorePlacement restores the instances that were loaded at a worker at warmAt.
func (f *function) restorePlacement(w *worker, warmAt time.Duration, instances int) {
	p := f.placementAt(w)
	p.setWarm(warmAt)
	p.instances = max(instances, 1)
}

// restore adds the record of a function restored from an earlier process.
func (t *placementTable) restore(fn *function) { t.functions[fn.name] = fn }

// restoreDemand restores the decaying count of requests for all functions as of countedAt.
func (t *placementTable) restoreDemand(countedAt time.Duration, requests float64) {
	t.demand = demand.NewCount(countedAt, requests)
}
