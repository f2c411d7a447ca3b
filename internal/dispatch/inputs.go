package dispatch

import (
	"time"

	"calicohill/internal/rules/pools"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// Submit accepts a request. The responder receives exactly one final answer with the tag, unless the request is
// canceled first. If Submit returns an error, ErrDuplicateID or ErrTooManyRequests, no answer follows and the caller
// keeps ownership of the body.
func (d *Dispatcher) Submit(call Call, responder Responder, tag slotmap.Ref) (slotmap.Ref, error) {
	now := d.loop.Now()
	req, err := d.requests.add(now, &call, responder, tag)
	if err != nil {
		return 0, err
	}
	function, pool := d.routes.placement(&call)
	req.arrival = d.enqueueAt(routing.Request{
		ID:          call.ID,
		Class:       call.Class,
		Function:    function,
		Pool:        pool,
		TimeLeft:    max(req.deadline-now, 0),
		MemoryMB:    call.MemoryMB,
		Concurrency: call.Concurrency,
		LoadTime:    call.LoadTime,
	})
	return req.ref, nil
}

// Cancel cancels a request whose client has disconnected. The request gets no answer, and none of its attempts is
// written after this call. The Router cancels an attempt in flight at the end of the pass, if the settings allow
// cancellation. Until that attempt ends, the request keeps its ID and its body. A request that was submitted in the same
// pass is released at once, and the Router does not see it.
func (d *Dispatcher) Cancel(ref slotmap.Ref) {
	req, ok := d.requests.cancel(ref)
	if !ok {
		return
	}
	d.log.canceled(req.ID)
	if d.events.withdraw(req.arrival) {
		d.requests.releaseIfComplete(req)
		return
	}
	d.enqueue(routing.ClientCanceled{ID: req.ID})
}

// OpenRequests returns the number of requests without a final answer.
func (d *Dispatcher) OpenRequests() int { return d.requests.openCount() }

// Usage is the number of records that a Dispatcher and its Router hold.
type Usage struct {
	Requests int // requests that are open or have an attempt in flight
	Attempts int // attempts in flight
	Routing  routing.Usage
}

// Usage returns the current number of records.
func (d *Dispatcher) Usage() Usage {
	return Usage{
		Requests: d.requests.requests.Len(),
		Attempts: d.attempts.attempts.Len(),
		Routing:  d.router.Usage(),
	}
}

// MaySend reports whether an attempt may still be written. Several things can rule it out after the Router's last step:
// the client disconnected, the deadline passed during a stall of the process, the worker started draining, or the
// deduplication window of the idempotency key ended while the attempt waited for a connection.
func (d *Dispatcher) MaySend(ref slotmap.Ref) bool { return d.attempts.maySend(ref) }

// AttemptEnded reports the result of an attempt. It ignores an attempt that has already ended or was canceled.
func (d *Dispatcher) AttemptEnded(ref slotmap.Ref, result AttemptResult) {
	att, ok := d.attempts.find(ref)
	if !ok {
		return
	}
	// Answer the client before the Router's step, because the body is valid only during this call. RequestAnswered in
	// the event tells the Router that the client has its answer.
	if result.Outcome == routing.Served {
		d.requests.answer(att.request, Answer{Status: Served, Body: result.Body})
	}
	d.attempts.finish(att, result)
}

// ProbeEnded reports the result of a health check.
func (d *Dispatcher) ProbeEnded(worker string, latency time.Duration, result AttemptResult) {
	// Compute the send time here, because the process may be stopped before the step. The result describes the worker
	// as of the time when the check was sent.
	sentAt := d.loop.Now() - latency
	d.enqueue(routing.ProbeEnded{
		Worker: worker, SentAt: sentAt, Outcome: result.Outcome, Latency: latency, Report: result.Report,
	})
}

// HasEndpoints reports whether an endpoint list has been applied.
func (d *Dispatcher) HasEndpoints() bool { return d.endpoints.hasList() }

// WorkerIDs returns the IDs of the listed workers in ascending order. Workers that are gone are not listed.
func (d *Dispatcher) WorkerIDs() []string { return d.endpoints.ids() }

// UpdateEndpoints applies an endpoint list to the routes, the Router and the transport, in this order.
func (d *Dispatcher) UpdateEndpoints(list EndpointList) {
	event := d.endpoints.apply(list)
	d.stepRoutes(d.endpoints.changeEvent())
	// The Router must see the list before the ends of the attempts that the transport aborts because of it.
	d.enqueue(event)
	d.workers.UpdateEndpoints(list)
}

// MarkStale reports that the endpoint list may be out of date for a duration from now. A duration of 0 means that the
// list is current.
func (d *Dispatcher) MarkStale(duration time.Duration) {
	d.enqueue(routing.EndpointsStale{Duration: duration})
}

// ConfirmEndpoints reports the latest time at which the endpoint list, as updated so far, was known to be complete. 0
// means that the age of the list is unknown.
func (d *Dispatcher) ConfirmEndpoints(asOf time.Duration) {
	d.enqueue(routing.EndpointsConfirmed{AsOf: asOf})
}

// ApplyPeerReports passes other schedulers' verdicts on workers to the Router.
func (d *Dispatcher) ApplyPeerReports(reports routing.PeerReports) { d.enqueue(reports) }

// SetRoutes sets the routes for requests that are submitted from now on; nil means none. Open requests keep the worker
// pools that their routes had before the call.
func (d *Dispatcher) SetRoutes(routes *pools.Core) {
	d.routes.set(routes)
	d.stepRoutes(d.endpoints.changeEvent())
}

// Shutdown makes the Router reject or fail every open request at the end of the pass, because the process is about to
// exit.
func (d *Dispatcher) Shutdown() { d.enqueue(routing.Shutdown{}) }

// LearnedState returns the Router's learned state.
func (d *Dispatcher) LearnedState() routing.LearnedState { return d.router.LearnedState() }

// RestoreState passes the learned state of an earlier process to the Router. It must be called after the first endpoint
// list has been applied.
func (d *Dispatcher) RestoreState(state routing.LearnedState) {
	d.enqueue(routing.StateRestored{State: state})
}
