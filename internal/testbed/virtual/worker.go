package virtual

import (
	"slices"
	"time"

	"calicohill/internal/testbed/standin"
	"calicohill/routing"
)

// idleConnectionLifetime is how long a scheduler keeps an idle connection with the testbed's settings.
const idleConnectionLifetime = 12750 * time.Millisecond

// worker is a simulated worker.
type worker struct {
	startedAt   time.Duration // 0 if the worker is warm
	crashed     bool
	loadedAt    map[string]time.Duration   // by function, when its loading completes
	slotFreeAt  []time.Duration            // by slot, when it becomes free; a slot runs one request at a time
	doneAt      map[string][]time.Duration // by function, when its requests complete
	received    []time.Duration            // arrival times of requests in the last CrashWindow
	lastUsed    map[int]time.Duration      // by scheduler, when its connection was last used
	connectedAt []time.Duration
}

// newWorker returns a warm worker without loaded functions.
func newWorker(profile standin.WorkerProfile) *worker {
	return &worker{
		loadedAt:   map[string]time.Duration{},
		slotFreeAt: make([]time.Duration, profile.Concurrency),
		doneAt:     map[string][]time.Duration{},
		lastUsed:   map[int]time.Duration{},
	}
}

// report returns a load report whose utilization is the fraction of busy slots.
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

// serve runs a function for a scheduler. It returns the response time and the number of other requests in flight for the
// function. ok is false if the worker has crashed.
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

// connect records the use of a scheduler's connection, and opens a new one if the last was idle for too long.
func (w *worker) connect(scheduler int, now time.Duration) {
	last, ok := w.lastUsed[scheduler]
	if !ok || now-last > idleConnectionLifetime {
		w.connectedAt = append(w.connectedAt, now)
	}
	w.lastUsed[scheduler] = now
}

// age returns the time since the worker's start, or the full warm-up time if it is warm.
func (w *worker) age(now time.Duration) time.Duration {
	if w.startedAt == 0 {
		return standin.WarmUpTime
	}
	return now - w.startedAt
}

// nextSlot returns the index of the slot that becomes free first.
func (w *worker) nextSlot() int {
	first := 0
	for i, freeAt := range w.slotFreeAt {
		if freeAt < w.slotFreeAt[first] {
			first = i
		}
	}
	return first
}
