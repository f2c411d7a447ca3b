package routing

import (
	"iter"
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/concurrency"
	"calicohill/routing/latency"
	"calicohill/routing/lease"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
	"calicohill/routing/slowstart"
)

// maxListingDelay is how long after its start a worker is listed at the latest.
const maxListingDelay = 2 * time.Second

// resubscribeDelay is the time from a failed list call to the next subscription.
const resubscribeDelay = time.Second

// worker is what is known of a worker: its entry in the endpoint list, the attempts of this scheduler there,
// and for each mechanism the state that it alone writes.
type worker struct {
	Worker
	listedStart time.Duration // its latest start that was listed
	// plausibleStart is the same as far as it is plausible. Started is that, or a later one that was found
	// here.
	plausibleStart time.Duration
	removedAt      time.Duration // when it was listed as Gone last
	incarnation    int           // counts restarts; what was believed of an earlier incarnation is void

	inFlight     []*attempt // attempts without an end, oldest first
	loadsWaiting int        // those that wait for a load; they don't count against the limit

	pressure  pressure.Worker
	limit     concurrency.Worker
	latency   latency.Worker
	health    outlier.Worker
	slowStart slowstart.Worker
	lease     lease.Worker
}

// endpointTable holds the workers of the endpoint list, and says whether that may be stale. It forgets a
// worker an InstanceKeepAlive after it was removed.
type endpointTable struct {
	leases          *lease.Table
	schedulers      int
	weightsReported bool
	keepAlive       time.Duration
	byID            map[string]*worker
	list            []*worker     // the same, in the order of their ids
	version         int           // counts changes of workers and pools, for workerOrder
	resubscribeAt   time.Duration // when to subscribe again after a failed list call; 0 means never
	staleUntil      time.Duration // nothing is sent until then: the list may be stale
}

// workerOrder is the rendezvous order of the workers for a function, as of a version of the endpoint table.
type workerOrder struct {
	workers []*worker
	version int
}

func newEndpointTable(s *Settings) *endpointTable {
	return &endpointTable{
		leases:          lease.NewTable(s.DrainGrace, s.Schedulers),
		schedulers:      s.Schedulers,
		weightsReported: s.WeightsReported,
		keepAlive:       s.InstanceKeepAlive,
		byID:            map[string]*worker{},
		version:         1,
	}
}

// apply takes in an endpoint list. After a failed list call what was known still holds, and the subscription
// is renewed a little later.
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

// plausibleStart corrects the start time of a worker that a change of the list has told. It comes from
// another clock, which may have been stepped since: a start is not in the future, and one that the list did
// not have when it was confirmed last was not long before that.
func (t *endpointTable) plausibleStart(now, started time.Duration) time.Duration {
	if started <= 0 || !t.leases.Limited() {
		return started
	}
	return min(max(started, t.leases.ConfirmedAt()-maxListingDelay), now)
}

// correctStarts corrects start times in the future of the first list, which came before any confirmation.
func (t *endpointTable) correctStarts(now time.Duration) {
	for _, w := range t.list {
		if w.Started > now {
			w.Started = now
			w.plausibleStart = now
		}
	}
}

// applyEntry takes in one entry of an endpoint list.
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
		// An entry that says Gone need not say anything else: what was known of the worker stays.
		known.remove(now)
		return
	}
	known.Worker = entry
}

// poolsChanged notes that some Pool has other workers than before.
func (t *endpointTable) poolsChanged() { t.version++ }

// markStale has nothing sent until a time.
func (t *endpointTable) markStale(until time.Duration) { t.staleUntil = until }

// isStale reports whether the endpoint list may be stale.
func (t *endpointTable) isStale(now time.Duration) bool { return now < t.staleUntil }

// resubscriptionDue reports, once, that it is time to subscribe again.
func (t *endpointTable) resubscriptionDue(now time.Duration) bool {
	due := t.resubscribeAt > 0 && now >= t.resubscribeAt
	if due {
		t.resubscribeAt = 0
	}
	return due
}

// evictGone forgets workers that are gone, since new ones come all day.
func (t *endpointTable) evictGone(now time.Duration) {
	t.list = slices.DeleteFunc(t.list, func(w *worker) bool {
		forgotten := t.isForgotten(now, w)
		if forgotten {
			delete(t.byID, w.ID)
		}
		return forgotten
	})
}

// isForgotten reports whether a worker has been gone for so long that nothing of it is needed any more.
func (t *endpointTable) isForgotten(now time.Duration, w *worker) bool {
	return w.State == Gone && len(w.inFlight) == 0 && now-w.removedAt >= t.keepAlive
}

// rendezvousOrder is the order of the workers for a function, the same at every scheduler (rendezvous
// hashing). A worker comes first for as many functions as its weight warrants.
func (t *endpointTable) rendezvousOrder(fn *function) []*worker {
	if fn.order.version != t.version {
		ready := slices.DeleteFunc(slices.Clone(t.list), func(w *worker) bool {
			return w.State != Ready || !fn.pool.Has(w.ID)
		})
		identity := func(w *worker) (string, float64) { return w.ID, w.Weight }
		fn.order = workerOrder{rendezvous.Order(fn.name, ready, identity), t.version}
	}
	return fn.order.workers
}

// leasedOrder is the rendezvous order of the workers for a function, numbered without those that this
// scheduler has no lease on: the next ones stand in for them, as if they were not listed.
func (t *endpointTable) leasedOrder(now time.Duration, fn *function) iter.Seq2[int, *worker] {
	return func(yield func(int, *worker) bool) {
		number := 0
		for _, w := range t.rendezvousOrder(fn) {
			if !t.leases.Valid(&w.lease, now) {
				continue
			}
			if !yield(number, w) {
				return
			}
			number++
		}
	}
}

// remove notes that a worker was listed as Gone, or left out of a full list.
func (w *worker) remove(now time.Duration) {
	w.State = Gone
	w.removedAt = now
}

// restart forgets what a restart makes void: the worker has no instances and is warming up.
func (w *worker) restart(schedulers int) {
	w.voidInstances()
	w.limit = concurrency.NewWorker(schedulers)
	w.health.Restart()
	w.pressure.Restart()
	w.slowStart.Restart()
}

// voidInstances begins a new incarnation: what was believed loaded is gone.
func (w *worker) voidInstances() { w.incarnation++ }

// eligible reports whether a worker may get requests: this scheduler has a lease on it, and an ejected one
// gets only one probe at a time.
func (t *endpointTable) eligible(now time.Duration, w *worker) bool {
	return w.State == Ready && w.health.Eligible(now, len(w.inFlight)) && t.leases.Valid(&w.lease, now)
}

// requestsInSlots is the number of attempts at a worker that count against its limit.
func (w *worker) requestsInSlots() int { return len(w.inFlight) - w.loadsWaiting }

// slowStartCapacity is what slow start has to know of a worker.
func (w *worker) slowStartCapacity() slowstart.Capacity {
	return slowstart.Capacity{Started: w.Started, Weight: w.Weight}
}

// overdueAttempts counts the attempts at a worker that are overdue with no answer since they were sent, and
// returns when the newest was sent.
func (w *worker) overdueAttempts(now time.Duration) (overdue int, newest time.Duration) {
	for _, a := range w.inFlight {
		if now >= a.overdueAt && w.health.SilentSince(a.sentAt) {
			overdue++
			newest = a.sentAt
		}
	}
	return overdue, newest
}

// beginAttempt enters an attempt that is sent to a worker.
func (w *worker) beginAttempt(started *attempt) {
	w.inFlight = append(w.inFlight, started)
	if started.mayNeedLoad {
		w.loadsWaiting++
	}
}

// endAttempt removes an attempt that has ended.
func (w *worker) endAttempt(ended *attempt) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(other *attempt) bool { return other == ended })
	if ended.mayNeedLoad {
		w.loadsWaiting--
	}
}

// eligibleFleet is what the eligible workers can do together.
type eligibleFleet struct {
	capacity concurrency.Capacity
	healthy  int // eligible workers that are not unhealthy
}

// refresh sums up the workers that are eligible now.
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
		f.capacity.Add(&w.limit, w.requestsInSlots())
	}
}
