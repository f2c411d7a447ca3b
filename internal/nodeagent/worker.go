package nodeagent

import (
	"slices"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/routing"
)

// worker is a listed worker process. If its address changes, or if its ID is listed again after a removal, it is a new
// worker. It has at most maxConnsPerWorker connections and dials.
type worker struct {
	id        string
	addr      string
	state     routing.WorkerState
	startedAt time.Duration
	conns     []*conn
	pending   []*call     // calls that wait for a connection
	dials     workerDials // owned by the dialer
}

// update applies the endpoint's state and reports whether the process has restarted.
func (w *worker) update(endpoint *dispatch.Endpoint) (restarted bool) {
	w.state = endpoint.State
	restarted = endpoint.Started != w.startedAt
	w.startedAt = endpoint.Started
	return restarted
}

// markGone records that the worker is no longer listed.
func (w *worker) markGone() { w.state = routing.Gone }

// isReady reports whether the worker accepts calls.
func (w *worker) isReady() bool { return w.state == routing.Ready }

// isGone reports whether the worker is no longer listed.
func (w *worker) isGone() bool { return w.state == routing.Gone }

// enqueue queues a call until a connection is usable.
func (w *worker) enqueue(waiting *call) { w.pending = append(w.pending, waiting) }

// dequeue removes a call from the queue.
func (w *worker) dequeue(canceled *call) { w.pending = without(w.pending, canceled) }

// takePending empties the queue and returns its calls.
func (w *worker) takePending() []*call {
	pending := w.pending
	w.pending = nil
	return pending
}

// addConn adds an open connection.
func (w *worker) addConn(opened *conn) { w.conns = append(w.conns, opened) }

// removeConn removes a connection that has closed.
func (w *worker) removeConn(closed *conn) { w.conns = without(w.conns, closed) }

func (w *worker) atConnLimit() bool {
	return len(w.conns)+w.dials.inProgress >= maxConnsPerWorker
}

// pickConn returns the least loaded usable connection that may carry a call with this ID, or nil if there is none. It
// also returns the number of usable connections, including those that may not carry this call.
func (w *worker) pickConn(id string, now time.Duration) (best *conn, usable int) {
	for _, candidate := range w.conns {
		if !candidate.usable(now) {
			continue
		}
		usable++
		if candidate.calls.hasID(id, now) {
			continue
		}
		if best == nil || candidate.calls.len() < best.calls.len() {
			best = candidate
		}
	}
	return best, usable
}

// without returns a copy of list without the first occurrence of item. It does not modify list, because callers may be
// iterating over it.
func without[T comparable](list []T, item T) []T {
	i := slices.Index(list, item)
	if i < 0 {
		return list
	}
	return append(list[:i:i], list[i+1:]...)
}
