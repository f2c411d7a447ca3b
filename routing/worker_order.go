package routing

import (
	"iter"
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/retention"
)

// Memory of a cached order, and of each worker in it, in bytes.
const (
	workerOrderBytes        = 128
	workerOrderElementBytes = 8
)

// workerOrder is the rendezvous order of the workers for a function at one version of the endpoint table. The
// zero workerOrder is not cached.
type workerOrder struct {
	workers []*worker
	version int
	cached  *retention.Entry[*function] // nil if it is not cached
}

// workerOrders bounds the memory of the cached orders, which have a length of up to the number of workers. An
// order that is dropped is computed again when it is needed.
type workerOrders struct{ cache *retention.Cache[*function] }

func newWorkerOrders(s *Settings) *workerOrders {
	limit := s.FunctionMemory / functionMemoryParts
	return &workerOrders{retention.NewCache[*function](limit, rankServedRepeatedly)}
}

// store caches the order of the workers for a function.
func (o *workerOrders) store(fn *function, workers []*worker, version int) {
	entry := fn.order.cached
	if entry == nil {
		entry = o.cache.Add(fn, 0)
	}
	fn.order = workerOrder{workers, version, entry}
	o.cache.Promote(entry, fn.retained.Rank())
	o.cache.Resize(entry, workerOrderBytes+workerOrderElementBytes*len(workers))
	isStored := func(other *function) bool { return other == fn }
	o.cache.Evict(isStored, func(evicted *function) { evicted.order = workerOrder{} })
}

// use marks the order of a function as recently used.
func (o *workerOrders) use(fn *function) { o.cache.Use(fn.order.cached) }

// rankChanged gives the order of a function, if it is cached, the rank of the function.
func (o *workerOrders) rankChanged(fn *function) {
	if fn.order.cached != nil {
		o.cache.Promote(fn.order.cached, fn.retained.Rank())
	}
}

// drop removes the order of a function, if it is cached.
func (o *workerOrders) drop(fn *function) {
	if fn.order.cached != nil {
		o.cache.Remove(fn.order.cached)
		fn.order = workerOrder{}
	}
}

// rendezvousOrder returns the workers for a function in rendezvous hashing order, which is the same at every
// scheduler. The number of functions for which a worker comes first is proportional to its weight.
func (t *endpointTable) rendezvousOrder(fn *function) []*worker {
	if fn.order.version == t.version {
		t.orders.use(fn)
		return fn.order.workers
	}
	ready := slices.DeleteFunc(slices.Clone(t.list), func(w *worker) bool {
		return w.State != Ready || !fn.pool.Has(w.ID)
	})
	identity := func(w *worker) (string, float64) { return w.ID, w.Weight }
	workers := rendezvous.Order(fn.name, ready, identity)
	t.orders.store(fn, workers, t.version)
	return workers
}

// leasedOrder returns the rendezvous order of the workers for a function, without the workers on which this
// scheduler has no valid lease. The remaining workers are numbered from 0 without gaps.
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
