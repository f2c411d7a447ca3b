package routing

import (
	"maps"
	"slices"

	"calicohill/routing/concurrency"
	"calicohill/routing/outlier"
)

// applyEndpoints takes in an endpoint list. After a failed list call what was known still holds, and the subscription is
// renewed a little later.
func (r *Router) applyEndpoints(list WorkerList) {
	if list.Kind == ListFailed {
		r.resubscribeAt = r.now + resubscribeDelay
		return
	}
	r.membershipVersion++
	listed := map[string]bool{}
	for _, entry := range list.Workers {
		listed[entry.ID] = true
		if !r.settings.WeightsReported || entry.Weight <= 0 {
			entry.Weight = 1
		}
		r.applyEndpoint(entry)
	}
	if list.Kind == ListChanges {
		return
	}
	for _, w := range r.workerList {
		if !listed[w.ID] && w.State != Gone {
			w.State = Gone
			w.removedAt = r.now
		}
	}
}

// applyEndpoint takes in one entry of an endpoint list.
func (r *Router) applyEndpoint(entry Worker) {
	known := r.workers[entry.ID]
	if known == nil {
		known = &worker{Worker: entry, limit: concurrency.NewWorker(r.settings.Schedulers), health: outlier.NewWorker(r.now)}
		r.workers[entry.ID] = known
		r.workerList = insertSorted(r.workerList, known, func(w *worker) string { return w.ID })
		return
	}
	if entry.Started != known.Started && entry.Started > 0 {
		known.restarted(r.settings.Schedulers)
	}
	if entry.State == Gone {
		// An entry that says Gone need not say anything else: what was known of the worker stays.
		known.State = Gone
		known.removedAt = r.now
		return
	}
	known.Worker = entry
}

// restarted forgets what a restart makes void: the worker has no instances and is warming up.
func (w *worker) restarted(schedulers int) {
	w.incarnation++
	w.limit = concurrency.NewWorker(schedulers)
	w.health.Restart()
	w.pressure.Restart()
	w.slowStart.Restart()
}

// functionKeepAlives is how many keep-alives a function without requests is remembered.
const functionKeepAlives = 5

// evictIdle forgets functions that nobody calls any more and workers that are gone, since new ones come all day.
func (r *Router) evictIdle() {
	r.workerList = slices.DeleteFunc(r.workerList, func(w *worker) bool {
		forgotten := r.isForgotten(w)
		if forgotten {
			delete(r.workers, w.ID)
		}
		return forgotten
	})
	maps.DeleteFunc(r.functions, func(_ string, fn *function) bool {
		fn.placements = slices.DeleteFunc(fn.placements, func(p *placement) bool {
			return p.inFlight == 0 && r.isForgotten(p.worker)
		})
		return r.now-fn.demand.LastAt() >= functionKeepAlives*r.settings.InstanceKeepAlive && !r.inUse(fn)
	})
}

// isForgotten reports whether a worker has been gone for so long that nothing of it is needed any more.
func (r *Router) isForgotten(w *worker) bool {
	return w.State == Gone && len(w.inFlight) == 0 && r.now-w.removedAt >= r.settings.InstanceKeepAlive
}

// inUse reports whether a function has an attempt in flight, an open order to load or a queued request.
func (r *Router) inUse(fn *function) bool {
	return slices.ContainsFunc(fn.placements, func(p *placement) bool { return p.loadOrdered || p.inFlight > 0 }) ||
		slices.ContainsFunc(r.queue, func(q *request) bool { return q.function == fn })
}
