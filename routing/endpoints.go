package routing

import (
	"maps"
	"slices"

	"calicohill/internal/stats/decay"
)

func (r *Router) applyEndpoints(e WorkerList) {
	if e.Kind == ListFailed {
		r.resubscribeAt = r.now + resubscribeDelay
		return
	}
	r.membershipVersion++
	seen := map[string]bool{}
	for _, in := range e.Workers {
		if seen[in.ID] = true; !r.settings.WeightsReported || in.Weight <= 0 {
			in.Weight = 1
		}
		w := r.workers[in.ID]
		if w == nil {
			w = &worker{Worker: in, concurrencyLimit: r.initialLimit(), lastAnswerAt: r.now}
			r.workers[in.ID] = w
			r.workerList = insertSorted(r.workerList, w, func(w *worker) string { return w.ID })
			continue
		}
		if in.Started != w.Started && in.Started > 0 {
			// A new start: it is empty and cold, whatever was known of it before.
			w.incarnation++
			w.concurrencyLimit, w.ejected, w.probes, w.peerInFlight = r.initialLimit(), false, 0, 0
			w.slowStartQuotaUntil, w.slowStartSends = 0, nil
			w.backoffUntil, w.loadBackoffUntil, w.consecutiveSheds, w.errorShare = 0, 0, 0, decay.Value{}
		}
		if in.State == Gone {
			in, w.removedAt = w.Worker, r.now
			in.State = Gone
		}
		w.Worker = in
	}
	for _, w := range r.workerList {
		if e.Kind != ListChanges && !seen[w.ID] && w.State != Gone {
			w.State, w.removedAt = Gone, r.now
		}
	}
}

// tidy forgets functions that nobody calls any more and workers that are gone: new ones come all day.
func (r *Router) evictIdle() {
	gone := func(w *worker) bool {
		return w.State == Gone && len(w.inFlight) == 0 && r.now-w.removedAt >= r.settings.InstanceKeepAlive
	}
	r.workerList = slices.DeleteFunc(r.workerList, func(w *worker) bool {
		if gone(w) {
			delete(r.workers, w.ID)
		}
		return gone(w)
	})
	maps.DeleteFunc(r.functions, func(_ string, f *function) bool {
		f.placements = slices.DeleteFunc(f.placements, func(p *placement) bool { return p.inFlight == 0 && gone(p.worker) })
		return r.now-f.lastRequestAt >= 5*r.settings.InstanceKeepAlive &&
			!slices.ContainsFunc(f.placements, func(p *placement) bool { return p.loadOrdered || p.inFlight > 0 }) &&
			!slices.ContainsFunc(r.queue, func(q *request) bool { return q.function == f })
	})
}

// initialLimit is the concurrency limit of a worker of which nothing is known.
func (r *Router) initialLimit() float64 {
	return max(minInitialLimit, initialFleetLimit/float64(r.settings.Schedulers))
}
