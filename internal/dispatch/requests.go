package dispatch

import (
	"cmp"
	"time"

	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// responseReserve is subtracted from each client's time: the request has been on its way, and the answer will be.
const responseReserve = 3 * time.Millisecond

// poolSeparator stands between a function and its route in the name by which the Router knows the function.
const poolSeparator = "\x00"

// request is a client's request from Submit until it is answered or canceled and none of its attempts is in flight.
type request struct {
	Call
	ref              slotmap.Ref
	responder        Responder
	tag              slotmap.Ref   // the responder's name for the request
	deadline         time.Duration // when the client gives up, less responseReserve
	answered         bool          // no answer is owed any more
	attempts         []slotmap.Ref // by attempt number
	attemptsInFlight int
}

// OpenRequests is the number of requests that are owed a final answer.
func (d *Dispatcher) OpenRequests() int { return d.openRequests }

// Submit accepts a request; the responder gets exactly one final answer under the tag, unless Cancel comes first. If
// Submit returns an error, ErrDuplicateID or ErrTooManyRequests, there will be no answer and the body remains the
// caller's.
func (d *Dispatcher) Submit(call Call, responder Responder, tag slotmap.Ref) (slotmap.Ref, error) {
	// The Router ignores a request whose ID it still knows, and would never answer it.
	if _, ok := d.byID[call.ID]; ok {
		return 0, ErrDuplicateID
	}
	if d.maxOpenRequests > 0 && d.openRequests >= d.maxOpenRequests {
		return 0, ErrTooManyRequests
	}
	now := d.loop.Now()
	req := &request{Call: call, responder: responder, tag: tag, deadline: now + call.TimeLeft - responseReserve}
	req.ref = d.requests.Insert(req)
	d.byID[call.ID] = req.ref
	d.openRequests++
	function, pool := d.route(&call)
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

// route returns the function by which the Router places a call, and the pool of workers that may serve it; a nil pool
// means all workers.
func (d *Dispatcher) route(call *Call) (function string, pool *routing.Pool) {
	function = cmp.Or(call.Affinity, call.Function)
	if d.routes == nil || call.Route == "" {
		return function, nil
	}
	pool = d.routes.Route(call.Route)
	if pool == nil {
		return function, nil
	}
	// An instance that is warm in one pool is not in another.
	return function + poolSeparator + call.Route, pool
}

// Cancel withdraws a request whose client has left. It gets no answer, and no attempt is written for it from now on. An
// attempt in flight is canceled by the Router at the end of the pass, if the settings allow that; until it has ended, the
// request keeps its ID and its body.
func (d *Dispatcher) Cancel(ref slotmap.Ref) {
	req, ok := d.requests.Get(ref)
	if !ok || req.answered {
		return
	}
	d.markAnswered(req)
	d.enqueue(routing.ClientCanceled{ID: req.ID})
}

// respond gives the final answer, unless the request was answered or canceled before.
func (d *Dispatcher) respond(req *request, answer Answer) {
	if req.answered {
		return
	}
	d.markAnswered(req)
	req.responder.Respond(req.tag, answer)
}

// respondByID gives the final answer that the Router decided on.
func (d *Dispatcher) respondByID(id string, answer Answer) {
	if req, ok := d.requestByID(id); ok {
		d.respond(req, answer)
		d.releaseIfDone(req)
	}
}

func (d *Dispatcher) markAnswered(req *request) {
	req.answered = true
	d.openRequests--
}

// requestByID returns the request with an ID. One that is not in byID has the zero Ref, which refers to nothing.
func (d *Dispatcher) requestByID(id string) (*request, bool) { return d.requests.Get(d.byID[id]) }

func (d *Dispatcher) releaseByID(id string) {
	if req, ok := d.requestByID(id); ok {
		d.releaseIfDone(req)
	}
}

// releaseIfDone frees a request that is answered and has no attempt in flight. It is the only place that returns a body to
// the pool: attempts in flight have the body lent, also those that nobody waits for any more.
func (d *Dispatcher) releaseIfDone(req *request) {
	if !req.answered || req.attemptsInFlight > 0 {
		return
	}
	if _, ok := d.requests.Get(req.ref); !ok {
		return // released before
	}
	d.requests.Remove(req.ref)
	delete(d.byID, req.ID)
	d.pool.Put(req.Body)
	req.Body = nil
}
