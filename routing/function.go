package routing

import (
	"cmp"
	"slices"
	"time"

	"calicohill/internal/stats/decay"
	"calicohill/internal/stats/rendezvous"
)

type function struct {
	name                            string
	class, concurrency              int
	orderVersion                    int           // of the list that order was made from
	served                          bool          // some worker answered it
	pool                            *Pool         // of the workers that may have it
	requestWeight                   float64       // decaying
	serviceTimeExcess               decay.Value   // excess of the running mean of served latencies over the aim, in seconds
	slowestLatency                  decay.Peak    // slowest recent one
	declaredLoadTime, lastRequestAt time.Duration // told: usual time of a load
	placements                      []*placement
	workerOrder                     []*worker
}

// pair is what is known of a function at a worker.
type placement struct {
	worker                           *worker
	incarnation, instances, inFlight int
	warm                             bool
	warmAt                           time.Duration // when last found warm
	stickiness                       float64       // 0 to 1: the least pressed is the first to leave
	loading, loadOrdered             bool          // a load that a call began, or that was ordered, is under way
}

func (r *Router) functionFor(e Request) *function {
	f := r.functions[e.Function]
	if f == nil {
		f = &function{name: e.Function, lastRequestAt: r.now}
		r.functions[e.Function] = f
	}
	f.class, f.concurrency, f.pool = e.Class, max(e.Concurrency, 1), e.Pool
	f.declaredLoadTime = cmp.Or(max(0, e.LoadTime), f.declaredLoadTime)
	f.requestWeight, f.lastRequestAt = f.requestWeight*r.decayFactor(f.lastRequestAt)+1, r.now
	r.requestWeight, r.lastRequestAt = r.requestWeight*r.decayFactor(r.lastRequestAt)+1, r.now
	return f
}

func (f *function) placementAt(w *worker) *placement {
	if i := slices.IndexFunc(f.placements, func(p *placement) bool { return p.worker == w }); i >= 0 {
		return f.placements[i]
	}
	f.placements = append(f.placements, &placement{
		worker: w, instances: 1,
		stickiness: rendezvous.Uniform(w.ID, f.name),
	})
	return f.placements[len(f.placements)-1]
}
