package routing

import "calicohill/routing/slowstart"

// withinSlowStartBudget reports whether a worker that is warming up may be sent one more request, where the
// deployment says what overloads it.
func (r *Router) withinSlowStartBudget(warming *worker) bool {
	if !r.slowStart.Limits(r.now, warming.Started) {
		return true
	}
	if r.slowStart.NeedsQuota(&warming.slowStart, r.now) {
		demand := slowstart.Demand{
			Requests: r.demand.At(r.now, r.demandWindow),
			Seconds:  r.demandWindow.Seconds(),
		}
		r.slowStart.DrawQuota(&warming.slowStart, r.now, warming.capacity(), demand, r.rng)
	}
	return r.slowStart.HasQuota(&warming.slowStart, r.now)
}

// capacity is what slow start has to know of a worker.
func (w *worker) capacity() slowstart.Capacity {
	return slowstart.Capacity{Started: w.Started, Weight: w.Weight}
}
