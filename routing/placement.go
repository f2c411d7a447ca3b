package routing

import (
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/demand"
	"calicohill/routing/latency"
	"calicohill/routing/retention"
)

// Memory of a function's record with its map entry, and of each of its placements, in bytes.
const (
	functionBytes  = 512
	placementBytes = 96
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

// bytes returns the memory of the record, without its worker order.
func (f *function) bytes() int { return functionBytes + len(f.name) + placementBytes*len(f.placements) }

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
