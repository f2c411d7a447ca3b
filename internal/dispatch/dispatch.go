// Package dispatch stands between the decisions and the peers. It owns the Router, the table of requests and
// their deadlines, gathers what peers report into one Step for each pass of the event loop, and turns the
// Router's actions into calls of the peers. It knows no protocol: whatever speaks one to clients hands in Calls
// and is a Responder, whatever reaches workers is Workers, and whatever holds a list of workers hands in Rosters.
package dispatch

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"calicohill/internal/rules/pools"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// Call is a client's request.
type Call struct {
	ID             string // new with every request
	Class          int
	Function       string
	Affinity       string // what the Router takes for the function where rules say otherwise; "" if they don't
	Route          string // that rules gave; "" if none
	IdempotencyKey string // idempotency key; "" if none
	TimeLeft       time.Duration
	MemoryMB       float64 // of a loaded copy, in MB; 0 if not told
	Concurrency    int     // 0 if not told
	LoadTime       time.Duration
	Body           *bufferpool.Buffer // nil if empty; the dispatcher gives it back to the pool
}

// Status is what a final answer says.
type Status int

// The verdicts.
const (
	Served Status = iota
	Rejected
	Failed
)

// Answer is the final answer to a Call.
type Answer struct {
	Status     Status
	Body       []byte        // of a served one; good only during the call
	RetryAfter time.Duration // advice with a refusal; 0 means none
}

// Responder is whoever handed in a Call. It is given the one final answer, under the tag that it named.
type Responder interface {
	Respond(tag slotmap.Ref, a Answer)
}

// Attempt is a request on its way to a worker.
type Attempt struct {
	Ref            slotmap.Ref // names it in Cancel and AttemptEnded
	Worker         string
	ID             string
	Class          int
	Function       string
	IdempotencyKey string
	Timeout        time.Duration
	Body           []byte // good until AttemptEnded or Cancel
}

// Workers reaches the workers. Each attempt that is sent and not halted is reported with AttemptEnded, once, and
// each probe with ProbeEnded.
type Workers interface {
	UpdateEndpoints(EndpointList)
	Send(Attempt)
	Cancel(ref slotmap.Ref) (written bool)
	Probe(worker string)
}

// AttemptResult is how an attempt or a probe ended.
type AttemptResult struct {
	Outcome             routing.Outcome
	Body                []byte // of a served one; good only during the call
	InFlightForFunction int    // requests for the function that the worker held; -1 if not told
	Report              *routing.LoadReport
}

// EndpointList is a list of workers, or what changed in it.
type EndpointList struct {
	Full      bool // who is missing has gone
	Endpoints []Endpoint
}

// Endpoint is a worker and where to reach it.
type Endpoint struct {
	routing.Worker
	Addr            string
	Model, ZoneName string
}

// Loop is what the dispatcher needs of the event loop.
type Loop interface {
	Now() time.Duration
	Post(func())
	SetDeadline(*deadline.Timer, time.Duration)
	ClearDeadline(*deadline.Timer)
}

// reserve is kept of each client's time: the request has been on its way, and the answer will be.
const responseReserve = 3 * time.Millisecond

// Errors of Submit.
var (
	ErrDuplicateID     = errors.New("a request of this id is open")
	ErrTooManyRequests = errors.New("too many requests are open")
)

// Dispatcher is the engine of a scheduler. All its methods must be called on the loop.
type Dispatcher struct {
	loop            Loop
	router          *routing.Router
	workers         Workers
	pool            *bufferpool.Pool
	maxOpenRequests int

	requests         slotmap.Table[*request]
	byID             map[string]slotmap.Ref
	attempts         slotmap.Table[*attempt]
	workerStates     map[string]routing.WorkerState
	workerAttributes map[string]pools.Attributes
	endpointsKnown   bool
	openRequests     int // requests without a final answer

	events     []routing.Event
	stepPosted bool

	observeFault func(routing.ReportFault) // nil where nobody is told
	routes       *pools.Core               // nil where there are none
}

type request struct {
	Call
	ref              slotmap.Ref
	responder        Responder
	tag              slotmap.Ref
	deadline         time.Duration // when the client gives up, less the reserve
	answered         bool
	attempts         []slotmap.Ref
	attemptsInFlight int
}

type attempt struct {
	ref           slotmap.Ref
	request       *request
	number        int
	worker        string
	sentAt        time.Duration
	deadline      time.Duration // its time is over then
	startDeadline time.Duration // it is not begun later
	timer         deadline.Timer
}

// New returns a Dispatcher. Use must be called before anything else.
func New(l Loop, r *routing.Router, pool *bufferpool.Pool, maxOpen int) *Dispatcher {
	return &Dispatcher{
		loop: l, router: r, pool: pool, maxOpenRequests: maxOpen,
		byID: map[string]slotmap.Ref{}, workerStates: map[string]routing.WorkerState{}, workerAttributes: map[string]pools.Attributes{},
	}
}

// SetWorkers names what reaches the workers.
func (d *Dispatcher) SetWorkers(w Workers) { d.workers = w }

// SetFaultObserver names who is told what the Router finds of workers. It must not wait.
func (d *Dispatcher) SetFaultObserver(observe func(routing.ReportFault)) { d.observeFault = observe }

// ApplyPeerReports takes in what other schedulers hold of workers.
func (d *Dispatcher) ApplyPeerReports(h routing.PeerReports) { d.enqueue(h) }

// SetRoutes has requests that come from now on go by these routes; nil is none. Those that are taken keep the workers
// that theirs had last.
func (d *Dispatcher) SetRoutes(routes *pools.Core) {
	d.routes = routes
	d.notifyRoutes(d.endpointsChanged())
}

// reroute tells the routes what happened, and the Router if some have other workers for it.
func (d *Dispatcher) notifyRoutes(e pools.Event) {
	if d.routes != nil && d.routes.Step(d.loop.Now(), []pools.Event{e}) {
		d.enqueue(routing.PoolsChanged{})
	}
}

// attributes is the list as conditions on workers see it.
func (d *Dispatcher) endpointsChanged() pools.EndpointsChanged {
	var l pools.EndpointsChanged
	for _, id := range d.WorkerIDs() {
		l.Workers = append(l.Workers, d.workerAttributes[id])
	}
	return l
}

// WorkerIDs is the workers that the list names, gone ones left out.
func (d *Dispatcher) WorkerIDs() []string { return slices.Sorted(maps.Keys(d.workerStates)) }

// HasEndpoints reports whether a list of workers is held.
func (d *Dispatcher) HasEndpoints() bool { return d.endpointsKnown }

// OpenRequests is the number of requests that are owed a final answer.
func (d *Dispatcher) OpenRequests() int { return d.openRequests }

// ---- clients ----

// Submit takes a request in and owes its caller one final answer. With an error nothing is owed, and the body
// stays the caller's.
func (d *Dispatcher) Submit(c Call, from Responder, tag slotmap.Ref) (slotmap.Ref, error) {
	// The Router passes over an id that it still holds, and would never answer it.
	if _, ok := d.byID[c.ID]; ok {
		return 0, ErrDuplicateID
	}
	if d.maxOpenRequests > 0 && d.openRequests >= d.maxOpenRequests {
		return 0, ErrTooManyRequests
	}
	now := d.loop.Now()
	q := &request{Call: c, responder: from, tag: tag, deadline: now + c.TimeLeft - responseReserve}
	q.ref = d.requests.Insert(q)
	d.byID[c.ID] = q.ref
	d.openRequests++
	function, pool := cmp.Or(c.Affinity, c.Function), (*routing.Pool)(nil)
	if d.routes != nil && c.Route != "" {
		if pool = d.routes.Route(c.Route); pool != nil {
			function += "\x00" + c.Route // what is warm in one pool is not in another
		}
	}
	d.enqueue(routing.Request{
		ID: c.ID, Class: c.Class, Function: function, Pool: pool, TimeLeft: max(q.deadline-now, 0),
		MemoryMB: c.MemoryMB, Concurrency: c.Concurrency, LoadTime: c.LoadTime,
	})
	return q.ref, nil
}

// Cancel says that the client has left. Nothing more is owed.
func (d *Dispatcher) Cancel(ref slotmap.Ref) {
	if q, ok := d.requests.Get(ref); ok && !q.answered {
		d.markAnswered(q)
		d.enqueue(routing.ClientCanceled{ID: q.ID})
	}
}

// answer gives the final answer, unless there was one.
func (d *Dispatcher) respond(q *request, a Answer) {
	if q.answered {
		return
	}
	d.markAnswered(q)
	q.responder.Respond(q.tag, a)
}

func (d *Dispatcher) markAnswered(q *request) {
	q.answered = true
	d.openRequests--
}

// forget frees a request that is answered and has no attempt out.
func (d *Dispatcher) releaseIfDone(q *request) {
	if !q.answered || q.attemptsInFlight > 0 {
		return
	}
	if _, ok := d.requests.Get(q.ref); !ok {
		return
	}
	d.requests.Remove(q.ref)
	delete(d.byID, q.ID)
	d.pool.Put(q.Body)
	q.Body = nil
}

// ---- workers ----

// AttemptEnded reports how an attempt ended.
func (d *Dispatcher) AttemptEnded(ref slotmap.Ref, e AttemptResult) {
	a, ok := d.attempts.Get(ref)
	if !ok {
		return
	}
	if e.Outcome == routing.Served {
		d.respond(a.request, Answer{Status: Served, Body: e.Body})
	}
	d.finishAttempt(a, e)
}

// end closes an attempt and tells the Router.
func (d *Dispatcher) finishAttempt(a *attempt, e AttemptResult) {
	d.loop.ClearDeadline(&a.timer)
	d.attempts.Remove(a.ref)
	a.request.attemptsInFlight--
	d.enqueue(routing.AttemptEnded{
		ID: a.request.ID, Attempt: a.number, Worker: a.worker, Outcome: e.Outcome,
		RequestAnswered: a.request.answered, Latency: d.loop.Now() - a.sentAt, InFlightForFunction: e.InFlightForFunction, Report: e.Report,
	})
}

// halt gives an attempt up. One of which nothing was written has not run, whatever the reason.
func (d *Dispatcher) cancelAttempt(a *attempt, written routing.Outcome, unwritten routing.Outcome) {
	e := AttemptResult{Outcome: written, InFlightForFunction: -1}
	if !d.workers.Cancel(a.ref) {
		e.Outcome = unwritten
	}
	d.finishAttempt(a, e)
}

// ProbeEnded reports how a probe ended.
func (d *Dispatcher) ProbeEnded(worker string, took time.Duration, e AttemptResult) {
	d.enqueue(routing.ProbeEnded{Worker: worker, Outcome: e.Outcome, Latency: took, Report: e.Report})
}

// MaySend reports whether an attempt may still be written. The client may have left, its time be over after a stall, or
// the worker have begun to drain, since the Router was told last; and workers may have forgotten an earlier attempt
// while this one waited for a connection.
func (d *Dispatcher) MaySend(ref slotmap.Ref) bool {
	a, ok := d.attempts.Get(ref)
	return ok && !a.request.answered && d.loop.Now() < min(a.deadline, a.startDeadline) && d.workerStates[a.worker] == routing.Ready
}

// ---- the list ----

// UpdateEndpoints takes in a list of workers.
func (d *Dispatcher) UpdateEndpoints(r EndpointList) {
	d.endpointsKnown = true
	l := routing.WorkerList{Kind: routing.ListChanges}
	if r.Full {
		l.Kind = routing.ListFull
		clear(d.workerStates)
		clear(d.workerAttributes)
	}
	for _, e := range r.Endpoints {
		l.Workers = append(l.Workers, e.Worker)
		d.workerStates[e.ID] = e.State
		if e.State == routing.Gone {
			delete(d.workerStates, e.ID)
			delete(d.workerAttributes, e.ID)
			continue
		}
		d.workerAttributes[e.ID] = pools.Attributes{ID: e.ID, Model: e.Model, Zone: e.ZoneName, Group: e.Cell, State: pools.StateName(e.State)}
	}
	d.notifyRoutes(d.endpointsChanged())
	// The Router hears of it before the attempts that end with it.
	d.enqueue(l)
	d.workers.UpdateEndpoints(r)
}

// MarkStale says for how long the list may be old, from now; 0 that it is not.
func (d *Dispatcher) MarkStale(lasts time.Duration) {
	d.enqueue(routing.EndpointsStale{Duration: lasts})
}

// Shutdown has every request that is open get its final answer now, unserved: the program is about to be ended.
func (d *Dispatcher) Shutdown() { d.enqueue(routing.Shutdown{}) }

// LearnedState is what the Router has learned.
func (d *Dispatcher) LearnedState() routing.LearnedState { return d.router.LearnedState() }

// RestoreState has the Router take up what an earlier process learned. It must follow the first list.
func (d *Dispatcher) RestoreState(m routing.LearnedState) { d.enqueue(routing.StateRestored{State: m}) }

// ---- the Router ----

// tell keeps an event for the Step that ends this pass of the loop.
func (d *Dispatcher) enqueue(e routing.Event) {
	d.events = append(d.events, e)
	if !d.stepPosted {
		d.stepPosted = true
		d.loop.Post(d.step)
	}
}

func (d *Dispatcher) step() {
	d.stepPosted = false
	events := d.events
	d.events = nil
	actions := d.router.Step(d.loop.Now(), events)
	for _, a := range actions {
		d.perform(a)
	}
	for _, e := range events {
		switch e := e.(type) {
		case routing.AttemptEnded:
			d.releaseByID(e.ID)
		case routing.ClientCanceled:
			d.releaseByID(e.ID)
		}
	}
}

func (d *Dispatcher) releaseByID(id string) {
	if q, ok := d.requests.Get(d.byID[id]); ok {
		d.releaseIfDone(q)
	}
}

func (d *Dispatcher) perform(a routing.Action) {
	switch a := a.(type) {
	case routing.Send:
		d.send(a)
	case routing.Cancel:
		if q, ok := d.requests.Get(d.byID[a.ID]); ok && a.Attempt < len(q.attempts) {
			if at, ok := d.attempts.Get(q.attempts[a.Attempt]); ok {
				d.cancelAttempt(at, routing.Canceled, routing.NotSent)
			}
		}
	case routing.Reject:
		d.respondByID(a.ID, Answer{Status: Rejected, RetryAfter: a.RetryAfter})
	case routing.Fail:
		d.respondByID(a.ID, Answer{Status: Failed})
	case routing.SetTimer:
		d.loop.SetDeadline(&deadline.Timer{Fire: func() { d.enqueue(routing.TimerFired{Token: a.Token}) }},
			d.loop.Now()+a.After)
	case routing.ReportFault:
		d.notifyRoutes(pools.FaultObserved{Worker: a.Worker, Fault: a.Fault})
		if d.observeFault != nil {
			d.observeFault(a)
		}
	case routing.Probe:
		d.workers.Probe(a.Worker)
	case routing.Load:
		// No peer takes orders to load: the Router hears that this one never left.
		d.enqueue(routing.LoadEnded{Worker: a.Worker, Function: a.Function, Outcome: routing.NotSent})
	case routing.Unload, routing.Subscribe, routing.FetchList:
		// Nothing to do: the list comes unasked, and no peer takes orders to unload.
	}
}

func (d *Dispatcher) respondByID(id string, a Answer) {
	if q, ok := d.requests.Get(d.byID[id]); ok {
		d.respond(q, a)
		d.releaseIfDone(q)
	}
}

func (d *Dispatcher) send(s routing.Send) {
	q, ok := d.requests.Get(d.byID[s.ID])
	if !ok {
		return
	}
	now := d.loop.Now()
	a := &attempt{request: q, number: len(q.attempts), worker: s.Worker, sentAt: now}
	a.ref = d.attempts.Insert(a)
	q.attempts = append(q.attempts, a.ref)
	q.attemptsInFlight++
	until := q.deadline
	if s.Timeout > 0 {
		until = min(until, now+s.Timeout)
	}
	a.deadline, a.startDeadline = until, until
	if s.StartWithin > 0 {
		a.startDeadline = now + s.StartWithin
	}
	if !d.MaySend(a.ref) {
		d.finishAttempt(a, AttemptResult{Outcome: routing.NotSent, InFlightForFunction: -1})
		return
	}
	a.timer.Fire = func() { d.cancelAttempt(a, routing.TimedOut, routing.ConnectFailed) }
	d.loop.SetDeadline(&a.timer, until)
	at := Attempt{
		Ref: a.ref, Worker: s.Worker, ID: q.ID, Class: q.Class, Function: q.Function, IdempotencyKey: q.IdempotencyKey,
		Timeout: until - now,
	}
	if q.Body != nil {
		at.Body = q.Body.B
	}
	d.workers.Send(at)
}
