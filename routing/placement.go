package routing

import (
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/demand"
	"calicohill/routing/latency"
	"calicohill/routing/retention"
)

const (
	// functionRetentionKeepAlives is the retention time of a function without requests, in keep-alives.
	functionRetentionKeepAlives = 5

	// Memory of a function's record with its map entry, and of each of its placements, in bytes.
	functionBytes  = 512
	placementBytes = 96
)

// Ranks in which functions are retained if the memory for them is exhausted.
const (
	rankUnserved retention.Rank = iota // no worker has served it: naming it has cost a client nothing
	rankServed                         // a worker has served it once, or before a restart
	rankServedRepeatedly
)

// function is the record of a function. A client creates one by naming the function in a request, whether a
// worker ever gets that request or not.
type function struct {
	name         string
	class        int   // index in Settings.Classes of its latest request
	concurrency  int   // requests that one instance runs in parallel
	pool         *Pool // workers allowed to serve it; nil means all
	served       bool  // some worker has served it
	openRequests int   // requests in the request table
	demand       demand.Count
	latency      latency.Function
	placements   []*placement
	order        workerOrder
	retained     *retention.Entry[*function] // owned by the placement table
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
// deletes a function that was not requested for functionRetentionKeepAlives, or earlier if the records exceed
// their limit on memory. Then it deletes those of the lowest rank first.
type placementTable struct {
	classes   []Class
	keepAlive time.Duration // shortest time that an idle instance stays loaded
	window    demand.Window
	functions map[string]*function        // by name
	retained  *retention.Cache[*function] // the same functions, by rank
	orders    *workerOrders               // caches the worker order of each function
	demand    demand.Count                // requests for all functions
}

func newPlacementTable(s *Settings, orders *workerOrders) *placementTable {
	return &placementTable{
		retained:  retention.NewCache[*function](s.FunctionMemory/functionMemoryParts, rankServedRepeatedly),
		orders:    orders,
		classes:   s.Classes,
		keepAlive: s.InstanceKeepAlive,
		window:    demand.NewWindow(s.InstanceKeepAlive),
		functions: map[string]*function{},
	}
}

// functionFor counts a request and returns the record of its function, creating it if necessary.
func (t *placementTable) functionFor(now time.Duration, arrival Request) *function {
	requested := t.functions[arrival.Function]
	if requested == nil {
		requested = &function{name: arrival.Function, demand: demand.NewCount(now, 0)}
		t.add(requested)
	}
	if requested.retained.Rank() == rankUnserved {
		t.retained.Use(requested.retained)
	}
	requested.class = arrival.Class
	requested.concurrency = max(arrival.Concurrency, 1)
	requested.pool = arrival.Pool
	requested.latency.Declare(t.classes[arrival.Class].LatencyObjective, arrival.LoadTime)
	requested.demand.Add(now, t.window)
	t.demand.Add(now, t.window)
	return requested
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
func (t *placementTable) evictIdle(now time.Duration, endpoints *endpointTable) {
	for _, fn := range t.functions {
		fn.placements = slices.DeleteFunc(fn.placements, func(p *placement) bool {
			return p.inFlight == 0 && endpoints.isEvictable(now, p.worker)
		})
		t.retained.Resize(fn.retained, fn.bytes())
		if now-fn.demand.LastAt() >= functionRetentionKeepAlives*t.keepAlive && !fn.isInUse() {
			t.remove(fn)
		}
	}
	t.evictExcess()
}

// evictExcess deletes functions that are not in use until the records keep their limit on memory.
func (t *placementTable) evictExcess() { t.retained.Evict((*function).isInUse, t.forget) }

// add adds the record of a function.
func (t *placementTable) add(fn *function) {
	t.functions[fn.name] = fn
	fn.retained = t.retained.Add(fn, fn.bytes())
}

// remove deletes the record of a function.
func (t *placementTable) remove(fn *function) {
	t.retained.Remove(fn.retained)
	t.forget(fn)
}

// forget deletes the record of a function that is no longer retained.
func (t *placementTable) forget(fn *function) {
	delete(t.functions, fn.name)
	t.orders.drop(fn)
}

// requestEnded records that a request for a function has left the request table.
func (t *placementTable) requestEnded(fn *function) {
	fn.openRequests--
	t.retained.Resize(fn.retained, fn.bytes())
	t.evictExcess()
}

// recordServed records that some worker has served a function.
func (t *placementTable) recordServed(fn *function) {
	rank := rankServed
	if fn.served {
		rank = rankServedRepeatedly
	}
	fn.served = true
	t.promote(fn, rank)
}

// promote retains a function in preference to those of lower ranks.
func (t *placementTable) promote(fn *function, rank retention.Rank) {
	t.retained.Promote(fn.retained, rank)
	t.orders.rankChanged(fn)
}

// bytes returns the memory of the record, without its worker order.
func (f *function) bytes() int { return functionBytes + len(f.name) + placementBytes*len(f.placements) }

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

// requestBegun records that a request for the function was added to the request table.
func (f *function) requestBegun() { f.openRequests++ }

// isInUse reports whether a function has a request in the request table or a Load in progress.
func (f *function) isInUse() bool {
	return f.openRequests > 0 ||
		slices.ContainsFunc(f.placements, func(p *placement) bool { return p.loadRequested })
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
func (t *placementTable) restore(fn *function) {
	if duplicate := t.functions[fn.name]; duplicate != nil {
		t.remove(duplicate)
	}
	t.add(fn)
	t.promote(fn, rankServed)
}

// restoreDemand restores the decaying count of requests for all functions as of countedAt.
func (t *placementTable) restoreDemand(countedAt time.Duration, requests float64) {
	t.demand = demand.NewCount(countedAt, requests)
}
