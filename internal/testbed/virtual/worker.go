package virtual

import (
	"slices"
	"time"

	"calicohill/internal/testbed/standin"
	"calicohill/routing"
)

// idleConnectionLifetime is how long a scheduler keeps an idle connection, with the settings of the testbed.
const idleConnectionLifetime = 12750 * time.Millisecond

// worker is a worker in virtual time.
type worker struct {
	startedAt   time.Duration // 0 for one that is warm
	crashed     bool
	loadedAt    map[string]time.Duration   // when each function is loaded
	slotFreeAt  []time.Duration            // when each slot, of as many requests at a time, is free
	doneAt      map[string][]time.Duration // by function, when its requests are done
	received    []time.Duration            // requests of the last CrashWindow
	lastUsed    map[int]time.Duration      // by scheduler, when its connection was last used
	connectedAt []time.Duration
}

// newWorker returns a warm worker without functions loaded.
func newWorker(profile standin.WorkerProfile) *worker {
	return &worker{
		loadedAt:   map[string]time.Duration{},
		slotFreeAt: make([]time.Duration, profile.Concurrency),
		doneAt:     map[string][]time.Duration{},
		lastUsed:   map[int]time.Duration{},
	}
}

// report returns the load report, with the fraction of the slots that are busy.
func (w *worker) report(now time.Duration) *routing.LoadReport {
	busy := 0.0
	for _, freeAt := range w.slotFreeAt {
		if freeAt > now {
			busy++
		}
	}
	return &routing.LoadReport{
		Utilization:                 busy / float64(len(w.slotFreeAt)),
		InFlight:                    -1,
		QueueLength:                 -1,
		UnreclaimableMemoryFraction: -1,
		LoadsInProgress:             -1,
	}
}

// serve runs a function for a scheduler. It returns how long the response takes and how many requests for the function
// were in flight before; false if the worker has crashed.
func (w *worker) serve(scheduler *scheduler, function string) (latency time.Duration, inFlight int, ok bool) {
	now := scheduler.now
	w.connect(scheduler.index, now)
	age := w.age(now)
	w.received = append(w.received, now)
	for now-w.received[0] > standin.CrashWindow {
		w.received = w.received[1:]
	}
	w.crashed = w.crashed || float64(len(w.received)) > scheduler.profile.MaxRequests(age)
	loadedAt, loaded := w.loadedAt[function]
	if !loaded {
		scheduler.metrics.Loads++
		loadedAt = now + scheduler.profile.LoadTime
		w.loadedAt[function] = loadedAt
	}
	slot := w.nextSlot()
	serviceTime := time.Duration(float64(scheduler.profile.ServiceTime) / standin.CapacityFraction(age))
	done := max(now, loadedAt, w.slotFreeAt[slot]) + serviceTime
	w.slotFreeAt[slot] = done
	unfinished := slices.DeleteFunc(w.doneAt[function], func(at time.Duration) bool { return at <= now })
	w.doneAt[function] = append(unfinished, done)
	return done - now + 2*networkDelay, len(unfinished), !w.crashed
}

// connect records that a scheduler uses its connection, or a new one if the last was idle for too long.
func (w *worker) connect(scheduler int, now time.Duration) {
	last, ok := w.lastUsed[scheduler]
	if !ok || now-last > idleConnectionLifetime {
		w.connectedAt = append(w.connectedAt, now)
	}
	w.lastUsed[scheduler] = now
}

// age returns how long ago the worker started; the full warm-up time for one that is warm.
func (w *worker) age(now time.Duration) time.Duration {
	if w.startedAt == 0 {
		return standin.WarmUpTime
	}
	return now - w.startedAt
}

// nextSlot returns the index of the slot that is free first.
func (w *worker) nextSlot() int {
	first := 0
	for i, freeAt := range w.slotFreeAt {
		if freeAt < w.slotFreeAt[first] {
			first = i
		}
	}
	return first
}
