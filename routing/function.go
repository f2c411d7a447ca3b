package routing

import (
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/demand"
	"calicohill/routing/latency"
)

// function is what is known of a function.
type function struct {
	name         string
	class        int   // index in Settings.Classes, of its latest request
	concurrency  int   // requests that an instance runs at a time
	pool         *Pool // workers that may have it; nil means all
	demand       demand.Count
	served       bool // some worker answered it
	latency      latency.Function
	placements   []*placement
	workerOrder  []*worker // rendezvous order
	orderVersion int       // Router.membershipVersion that workerOrder was made from
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
	stickiness  float64       // 0 to 1: the placements with the least are the first to leave a worker under pressure
}

// loadedPlacements is what there is of a function at the workers that a request may be sent to.
type loadedPlacements struct {
	free     *placement // the best one with a free slot
	shortest *placement // the one with the shortest queue of our requests, where all slots are taken
	exists   bool       // the function is loaded or loading at some worker
}

// functionFor returns the record of a request's function, which it makes if needed, and counts the request.
func (r *Router) functionFor(arrival Request) *function {
	called := r.functions[arrival.Function]
	if called == nil {
		called = &function{name: arrival.Function, demand: demand.NewCount(r.now, 0)}
		r.functions[arrival.Function] = called
	}
	called.class = arrival.Class
	called.concurrency = max(arrival.Concurrency, 1)
	called.pool = arrival.Pool
	called.latency.Declare(r.settings.Classes[arrival.Class].LatencyObjective, arrival.LoadTime)
	called.demand.Add(r.now, r.demandWindow)
	r.demand.Add(r.now, r.demandWindow)
	return called
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

// setWarm notes that the function was found loaded, in the worker's present incarnation.
func (p *placement) setWarm(now time.Duration) {
	p.warm = true
	p.incarnation = p.worker.incarnation
	p.warmAt = now
}

// loadEnded learns from the answer to an order to load.
func (r *Router) loadEnded(e LoadEnded) {
	w, fn := r.workers[e.Worker], r.functions[e.Function]
	if w == nil || fn == nil {
		return
	}
	p := fn.placementAt(w)
	p.loadOrdered = false
	if e.Outcome == Served && e.Instances > 0 {
		p.setWarm(r.now)
		p.instances = e.Instances
	}
}

// isWarm reports whether a function is believed to be loaded at a worker: it was found so within the
// shortest keep-alive, in this incarnation of the worker.
func (r *Router) isWarm(p *placement) bool {
	return p.warm && p.incarnation == p.worker.incarnation && p.worker.State == Ready &&
		r.now-p.warmAt < r.settings.InstanceKeepAlive
}
