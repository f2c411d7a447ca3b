package dispatch

import (
	"time"

	"calicohill/internal/rules/pools"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// Submit accepts a request; the responder gets exactly one final answer under the tag, unless Cancel comes first. If
// Submit returns an error, ErrDuplicateID or ErrTooManyRequests, there will be no answer and the body remains the
// caller's.
func (d *Dispatcher) Submit(call Call, responder Responder, tag slotmap.Ref) (slotmap.Ref, error) {
	now := d.loop.Now()
	req, err := d.requests.add(now, &call, responder, tag)
	if err != nil {
		return 0, err
	}
	function, pool := d.routes.placement(&call)
	d.enqueue(routing.Request{
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

// Cancel withdraws a request whose client has left. It gets no answer, and no attempt is written for it from now on. An
// attempt in flight is canceled by the Router at the end of the pass, if the settings allow that; until it has ended, the
// request keeps its ID and its body.
func (d *Dispatcher) Cancel(ref slotmap.Ref) {
	if req, ok := d.requests.withdraw(ref); ok {
		d.log.canceled(req.ID)
		d.enqueue(routing.ClientCanceled{ID: req.ID})
	}
}

// OpenRequests is the number of requests that are owed a final answer.
func (d *Dispatcher) OpenRequests() int { return d.requests.openCount() }

// MaySend reports whether an attempt may still be written. Since the Router's last step the client may have left, its
// time have run out during a stall, or the worker have begun to drain; and workers may have forgotten the idempotency
// key of an earlier attempt while this one waited for a connection.
func (d *Dispatcher) MaySend(ref slotmap.Ref) bool { return d.attempts.maySend(ref) }

// AttemptEnded reports the result of an attempt. One that has ended already, or was canceled, is ignored.
func (d *Dispatcher) AttemptEnded(ref slotmap.Ref, result AttemptResult) {
	att, ok := d.attempts.find(ref)
	if !ok {
		return
	}
	// The client gets its answer now, not after the Router's step, since the body is valid only during this call. The
	// Router learns of it by RequestAnswered.
	if result.Outcome == routing.Served {
		d.requests.answer(att.request, Answer{Status: Served, Body: result.Body})
	}
	d.attempts.finish(att, result)
}

// ProbeEnded reports the result of a health check.
func (d *Dispatcher) ProbeEnded(worker string, latency time.Duration, result AttemptResult) {
	// The process may be stopped between this and the step: what the answer proves is of the time when it was asked for.
	sentAt := d.loop.Now() - latency
	d.enqueue(routing.ProbeEnded{
		Worker: worker, SentAt: sentAt, Outcome: result.Outcome, Latency: latency, Report: result.Report,
	})
}

// HasEndpoints reports whether an endpoint list has been applied.
func (d *Dispatcher) HasEndpoints() bool { return d.endpoints.isKnown() }

// WorkerIDs returns the IDs of the listed workers in ascending order, without those that are gone.
func (d *Dispatcher) WorkerIDs() []string { return d.endpoints.ids() }

// UpdateEndpoints applies an endpoint list to the routes, the Router and the transport, in this order.
func (d *Dispatcher) UpdateEndpoints(list EndpointList) {
	event := d.endpoints.apply(list)
	d.stepRoutes(d.endpoints.changed())
	// The Router's event goes before those of the attempts that the transport ends because of the list.
	d.enqueue(event)
	d.workers.UpdateEndpoints(list)
}

// MarkStale says that the endpoint list may be out of date for a duration from now; 0 that it is current.
func (d *Dispatcher) MarkStale(duration time.Duration) {
	d.enqueue(routing.EndpointsStale{Duration: duration})
}

// ConfirmEndpoints says that the endpoint list, as updated so far, is known to have been complete at a time; 0 stands for a
// list of unknown age.
func (d *Dispatcher) ConfirmEndpoints(asOf time.Duration) {
	d.enqueue(routing.EndpointsConfirmed{AsOf: asOf})
}

// ApplyPeerReports passes on what other schedulers report of workers.
func (d *Dispatcher) ApplyPeerReports(reports routing.PeerReports) { d.enqueue(reports) }

// SetRoutes sets the routes for requests that are submitted from now on; nil means none. Requests that are open keep
// the pools of their routes as they were last.
func (d *Dispatcher) SetRoutes(routes *pools.Core) {
	d.routes.set(routes)
	d.stepRoutes(d.endpoints.changed())
}

// Shutdown has every open request get its final answer now, unserved, because the program is about to end.
func (d *Dispatcher) Shutdown() { d.enqueue(routing.Shutdown{}) }

// LearnedState returns what the Router has learned.
func (d *Dispatcher) LearnedState() routing.LearnedState { return d.router.LearnedState() }

// RestoreState gives the Router what an earlier process learned. It must follow the first endpoint list.
func (d *Dispatcher) RestoreState(state routing.LearnedState) {
	d.enqueue(routing.StateRestored{State: state})
}
