package nodeagent

import (
	"slices"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/routing"
)

// worker is a process at an address. A changed address is a new worker, and so is an id that is listed again after it
// was gone. It holds at most maxConnsPerWorker connections and dials.
type worker struct {
	id        string
	addr      string
	state     routing.WorkerState
	startedAt time.Duration
	conns     []*conn
	pending   []*call     // not written yet: they wait for a connection
	dials     workerDials // the dialer's
}

// update applies the endpoint's state and reports whether the process at the address was started anew.
func (w *worker) update(endpoint *dispatch.Endpoint) (restarted bool) {
	w.state = endpoint.State
	restarted = endpoint.Started != w.startedAt
	w.startedAt = endpoint.Started
	return restarted
}

// markGone notes that the worker is listed no more.
func (w *worker) markGone() { w.state = routing.Gone }

// isReady reports whether the worker accepts calls.
func (w *worker) isReady() bool { return w.state == routing.Ready }

// isGone reports whether the worker is listed no more.
func (w *worker) isGone() bool { return w.state == routing.Gone }

// enqueue has a call wait for a connection.
func (w *worker) enqueue(waiting *call) { w.pending = append(w.pending, waiting) }

// dequeue removes a call that waits for a connection.
func (w *worker) dequeue(canceled *call) { w.pending = without(w.pending, canceled) }

// takePending returns the calls that wait for a connection, and waits for none of them any more.
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

// pickConn picks the least loaded of the connections that may carry a call with this id, or nil. It also returns how many
// connections are usable, whether or not they may carry this call.
func (w *worker) pickConn(id string, now time.Duration) (best *conn, usable int) {
	for _, candidate := range w.conns {
		if !candidate.usable(now) {
			continue
		}
		usable++
		if candidate.calls.knowsID(id, now) {
			continue
		}
		if best == nil || candidate.calls.len() < best.calls.len() {
			best = candidate
		}
	}
	return best, usable
}

// without returns a copy of a list that lacks the first occurrence of an item. The original stays as it is, for those
// that iterate over it.
func without[T comparable](list []T, item T) []T {
	i := slices.Index(list, item)
	if i < 0 {
		return list
	}
	return append(list[:i:i], list[i+1:]...)
}
