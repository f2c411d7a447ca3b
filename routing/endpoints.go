package routing

import (
	"slices"
	"time"

	"calicohill/routing/concurrency"
	"calicohill/routing/latency"
	"calicohill/routing/lease"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
	"calicohill/routing/slowstart"
)

// maxListingDelay is the longest time from the start of a worker to its appearance in the endpoint list.
const maxListingDelay = 2 * time.Second

// resubscribeDelay is the delay from a failed list call to the next subscription.
const resubscribeDelay = time.Second

// worker is the record of a worker: its entry in the endpoint list, the attempts of this scheduler at it, and
// the per-worker state of each mechanism, which only that mechanism writes.
type worker struct {
	Worker
	listedStart time.Duration // its latest start as listed
	// plausibleStart is listedStart, corrected to a plausible value. Started is plausibleStart, or a later
	// start that this scheduler detected itself.
	plausibleStart time.Duration
	removedAt      time.Duration // when it was last removed from the list
	incarnation    int           // counts restarts; instances of earlier incarnations are lost

	inFlight     []*attempt // attempts in flight, oldest first
	awaitingLoad int        // attempts that may wait for a load; not counted against the limit

	pressure  pressure.Worker
	limit     concurrency.Worker
	latency   latency.Worker
	health    outlier.Worker
	slowStart slowstart.Worker
	lease     lease.Worker
}

// endpointTable holds the workers of the endpoint list and tracks whether the list may be stale. It keeps a
// removed worker for another InstanceKeepAlive.
type endpointTable struct {
	leases          *lease.Table
	schedulers      int
	weightsReported bool
	keepAlive       time.Duration
	byID            map[string]*worker
	list            []*worker // the workers of byID, sorted by ID
	version         int       // incremented on changes of workers and pools, see workerOrder
	orders          *workerOrders
	resubscribeAt   time.Duration // next subscription after a failed list call; 0 if none is due
	staleUntil      time.Duration // the list may be stale and nothing is sent until then
}

func newEndpointTable(s *Settings) *endpointTable {
	return &endpointTable{
		leases:          lease.NewTable(s.DrainGrace, s.Schedulers),
		schedulers:      s.Schedulers,
		weightsReported: s.WeightsReported,
		keepAlive:       s.InstanceKeepAlive,
		byID:            map[string]*worker{},
		version:         1,
		orders:          newWorkerOrders(s),
	}
}

// apply updates the table from an endpoint list. After a failed list call the table stays as it is, and the
// subscription is renewed after resubscribeDelay.
func (t *endpointTable) apply(now time.Duration, list WorkerList) {
	if list.Kind == ListFailed {
		t.resubscribeAt = now + resubscribeDelay
		return
	}
	t.version++
	listed := map[string]bool{}
	for _, entry := range list.Workers {
		listed[entry.ID] = true
		if !t.weightsReported || entry.Weight <= 0 {
			entry.Weight = 1
		}
		t.applyEntry(now, entry)
	}
	if list.Kind == ListChanges {
		return
	}
	for _, w := range t.list {
		if !listed[w.ID] && w.State != Gone {
			w.remove(now)
		}
	}
}

// plausibleStart corrects a newly listed start time of a worker. The time comes from another clock, which may
// have been stepped. A start cannot be in the future. If it was not listed at the last confirmation, it
// cannot be more than maxListingDelay older than that.
func (t *endpointTable) plausibleStart(now, started time.Duration) time.Duration {
	if started <= 0 || !t.leases.Limited() {
		return started
	}
	return min(max(started, t.leases.ConfirmedAt()-maxListingDelay), now)
}

// correctStarts sets start times in the future to now. They can occur in the first list, which arrives before
// any confirmation.
func (t *endpointTable) correctStarts(now time.Duration) {
	for _, w := range t.list {
		if w.Started > now {
			w.Started = now
			w.plausibleStart = now
		}
	}
}

// applyEntry updates the table from one entry of an endpoint list.
func (t *endpointTable) applyEntry(now time.Duration, entry Worker) {
	known := t.byID[entry.ID]
	if known == nil {
		known = &worker{
			Worker:         entry,
			listedStart:    entry.Started,
			plausibleStart: t.plausibleStart(now, entry.Started),
			limit:          concurrency.NewWorker(t.schedulers),
			health:         outlier.NewWorker(now),
		}
		known.Started = known.plausibleStart
		t.byID[entry.ID] = known
		t.list = insertSorted(t.list, known, func(w *worker) string { return w.ID })
		return
	}
	if entry.Started != known.listedStart && entry.Started > 0 {
		known.restart(t.schedulers)
		known.lease.Restart()
		known.listedStart = entry.Started
		known.plausibleStart = t.plausibleStart(now, entry.Started)
	}
	if entry.Started > 0 {
		entry.Started = known.plausibleStart
	}
	if entry.State == Gone {
		// A Gone entry may leave its other fields unset, so the previous ones are kept.
		known.remove(now)
		return
	}
	known.Worker = entry
}

// poolsChanged invalidates the rendezvous orders after a Pool's workers have changed.
func (t *endpointTable) poolsChanged() { t.version++ }

// markStale blocks all sends until the given time.
func (t *endpointTable) markStale(until time.Duration) { t.staleUntil = until }

// isStale reports whether the endpoint list may be stale.
func (t *endpointTable) isStale(now time.Duration) bool { return now < t.staleUntil }

// resubscriptionDue reports whether a new subscription is due, and clears it.
func (t *endpointTable) resubscriptionDue(now time.Duration) bool {
	due := t.resubscribeAt > 0 && now >= t.resubscribeAt
	if due {
		t.resubscribeAt = 0
	}
	return due
}

// evictGone deletes workers that have been gone for long, since new workers keep being added.
func (t *endpointTable) evictGone(now time.Duration) {
	t.list = slices.DeleteFunc(t.list, func(w *worker) bool {
		evict := t.isEvictable(now, w)
		if evict {
			delete(t.byID, w.ID)
		}
		return evict
	})
}

// isEvictable reports whether a worker has been gone for so long that its record can be deleted.
func (t *endpointTable) isEvictable(now time.Duration, w *worker) bool {
	return w.State == Gone && len(w.inFlight) == 0 && now-w.removedAt >= t.keepAlive
}

// remove marks a worker as Gone, since it was listed as such or is missing from a full list.
func (w *worker) remove(now time.Duration) {
	w.State = Gone
	w.removedAt = now
}

// restart resets the state that a restart of the worker invalidates: it has no instances and is warming up.
func (w *worker) restart(schedulers int) {
	w.discardInstances()
	w.limit = concurrency.NewWorker(schedulers)
	w.health.Restart()
	w.pressure.Restart()
	w.slowStart.Restart()
}

// discardInstances starts a new incarnation of the worker, in which no function is loaded.
func (w *worker) discardInstances() { w.incarnation++ }

// eligible reports whether a worker may get requests: it is ready, this scheduler holds a valid lease on it,
// and outlier detection allows it. An ejected worker gets one probing request at a time.
func (t *endpointTable) eligible(now time.Duration, w *worker) bool {
	return w.State == Ready && w.health.Eligible(now, len(w.inFlight)) && t.leases.Valid(&w.lease, now)
}

// countedInFlight returns the number of attempts at a worker that count against its limit.
func (w *worker) countedInFlight() int { return len(w.inFlight) - w.awaitingLoad }

// slowStartCapacity returns the worker's data for the slow-start budget.
func (w *worker) slowStartCapacity() slowstart.Capacity {
	return slowstart.Capacity{Started: w.Started, Weight: w.Weight}
}

// overdueAttempts returns the number of overdue attempts after which the worker has answered nothing, and the
// time when the newest of them was sent.
func (w *worker) overdueAttempts(now time.Duration) (overdue int, newest time.Duration) {
	for _, a := range w.inFlight {
		if now >= a.overdueAt && w.health.SilentSince(a.sentAt) {
			overdue++
			newest = a.sentAt
		}
	}
	return overdue, newest
}

// beginAttempt adds an attempt that is sent to the worker.
func (w *worker) beginAttempt(started *attempt) {
	w.inFlight = append(w.inFlight, started)
	if started.mayNeedLoad {
		w.awaitingLoad++
	}
}

// endAttempt removes an attempt that has ended.
func (w *worker) endAttempt(ended *attempt) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(other *attempt) bool { return other == ended })
	if ended.mayNeedLoad {
		w.awaitingLoad--
	}
}

// eligibleFleet is the total capacity of the eligible workers.
type eligibleFleet struct {
	capacity concurrency.Capacity
	healthy  int // number of eligible workers that are not unhealthy
}

// refresh recomputes the totals over the currently eligible workers.
func (f *eligibleFleet) refresh(now time.Duration, endpoints *endpointTable, outliers *outlier.Detector) {
	f.capacity = concurrency.Capacity{}
	f.healthy = 0
	for _, w := range endpoints.list {
		if !endpoints.eligible(now, w) {
			continue
		}
		if !outliers.IsUnhealthy(&w.health, now) {
			f.healthy++
		}
		f.capacity.Add(&w.limit, w.countedInFlight())
	}
}
