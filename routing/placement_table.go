package routing

import (
	"slices"
	"time"

	"calicohill/routing/demand"
	"calicohill/routing/retention"
)

// functionRetentionKeepAlives is the retention time of a function without requests, in keep-alives.
const functionRetentionKeepAlives = 5

// Ranks in which functions are retained if the memory for them is exhausted.
const (
	rankUnserved retention.Rank = iota // no worker has served it: naming it has cost a client nothing
	rankServed                         // a worker has served it once, or before a restart
	rankServedRepeatedly
)

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
