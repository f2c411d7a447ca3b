// Package dispatch stands between the decisions and the peers. It owns the Router, the table of requests and
// their deadlines, gathers what peers report into one Step for each pass of the event loop, and turns the
// Router's actions into calls of the peers. It knows no protocol: whatever speaks one to clients hands in Calls
// and is a Caller, whatever reaches workers is Workers, and whatever holds a list of workers hands in Rosters.
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
	ID       string // new with every request
	Class    int
	Function string
	Affinity string // what the Router takes for the function where rules say otherwise; "" if they don't
	Route    string // that rules gave; "" if none
	Key      string // idempotency key; "" if none
	Budget   time.Duration
	Memory   float64 // of a loaded copy, in MB; 0 if not told
	Lanes    int     // 0 if not told
	LoadTime time.Duration
	Body     *bufferpool.Buffer // nil if empty; the dispatcher gives it back to the pool
}

// Verdict is what a final answer says.
type Verdict int

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
)

// Answer is the final answer to a Call.
type Answer struct {
	Verdict    Verdict
	Body       []byte        // of a served one; good only during the call
	RetryAfter time.Duration // advice with a refusal; 0 means none
}

// Caller is whoever handed in a Call. It is given the one final answer, under the tag that it named.
type Caller interface {
	Answer(tag slotmap.Ref, a Answer)
}

// Attempt is a request on its way to a worker.
type Attempt struct {
	Ref      slotmap.Ref // names it in Halt and Ended
	Worker   string
	ID       string
	Class    int
	Function string
	Key      string
	Patience time.Duration
	Body     []byte // good until Ended or Halt
}

// Workers reaches the workers. Each attempt that is sent and not halted is reported with Ended, once, and
// each probe with Probed.
type Workers interface {
	Follow(Roster)
	Send(Attempt)
	Halt(ref slotmap.Ref) (written bool)
	Probe(worker string)
}

// End is how an attempt or a probe ended.
type End struct {
	Outcome routing.Outcome
	Body    []byte // of a served one; good only during the call
	Company int    // requests for the function that the worker held; -1 if not told
	Report  *routing.Report
}

// Roster is a list of workers, or what changed in it.
type Roster struct {
	Full    bool // who is missing has gone
	Entries []Entry
}

// Entry is a worker and where to reach it.
type Entry struct {
	routing.Worker
	Addr            string
	Model, ZoneName string
}

// Loop is what the dispatcher needs of the event loop.
type Loop interface {
	Now() time.Duration
	Post(func())
	At(*deadline.Entry, time.Duration)
	Drop(*deadline.Entry)
}

// reserve is kept of each client's time: the request has been on its way, and the answer will be.
const reserve = 3 * time.Millisecond

// Errors of Take.
var (
	ErrKnownID = errors.New("a request of this id is open")
	ErrFull    = errors.New("too many requests are open")
)

// Dispatcher is the engine of a scheduler. All its methods must be called on the loop.
type Dispatcher struct {
	loop    Loop
	router  *routing.Router
	workers Workers
	pool    *bufferpool.Pool
	maxOpen int

	requests slotmap.Table[*request]
	byID     map[string]slotmap.Ref
	attempts slotmap.Table[*attempt]
	states   map[string]routing.WorkerState
	entries  map[string]pools.Attributes
	listed   bool
	open     int // requests without a final answer

	events []routing.Event
	posted bool

	observe func(routing.Observe) // nil where nobody is told
	routes  *pools.Core           // nil where there are none
}

type request struct {
	Call
	ref      slotmap.Ref
	caller   Caller
	tag      slotmap.Ref
	end      time.Duration // when the client gives up, less the reserve
	done     bool
	attempts []slotmap.Ref
	out      int
}

type attempt struct {
	ref    slotmap.Ref
	q      *request
	n      int
	worker string
	sent   time.Duration
	until  time.Duration // its time is over then
	begin  time.Duration // it is not begun later
	late   deadline.Entry
}

// New returns a Dispatcher. Use must be called before anything else.
func New(l Loop, r *routing.Router, pool *bufferpool.Pool, maxOpen int) *Dispatcher {
	return &Dispatcher{
		loop: l, router: r, pool: pool, maxOpen: maxOpen,
		byID: map[string]slotmap.Ref{}, states: map[string]routing.WorkerState{}, entries: map[string]pools.Attributes{},
	}
}

// Use names what reaches the workers.
func (d *Dispatcher) Use(w Workers) { d.workers = w }

// Tell names who is told what the Router finds of workers. It must not wait.
func (d *Dispatcher) Tell(observe func(routing.Observe)) { d.observe = observe }

// PeersHold takes in what other schedulers hold of workers.
func (d *Dispatcher) PeersHold(h routing.PeersHold) { d.tell(h) }

// Route has requests that come from now on go by these routes; nil is none. Those that are taken keep the workers
// that theirs had last.
func (d *Dispatcher) Route(routes *pools.Core) {
	d.routes = routes
	d.reroute(d.attributes())
}

// reroute tells the routes what happened, and the Router if some have other workers for it.
func (d *Dispatcher) reroute(e pools.Event) {
	if d.routes != nil && d.routes.Step(d.loop.Now(), []pools.Event{e}) {
		d.tell(routing.PoolsChanged{})
	}
}

// attributes is the list as conditions on workers see it.
func (d *Dispatcher) attributes() pools.Listed {
	var l pools.Listed
	for _, id := range d.Listed() {
		l.Workers = append(l.Workers, d.entries[id])
	}
	return l
}

// Listed is the workers that the list names, gone ones left out.
func (d *Dispatcher) Listed() []string { return slices.Sorted(maps.Keys(d.states)) }

// Ready reports whether a list of workers is held.
func (d *Dispatcher) Ready() bool { return d.listed }

// Open is the number of requests that are owed a final answer.
func (d *Dispatcher) Open() int { return d.open }

// ---- clients ----

// Take takes a request in and owes its caller one final answer. With an error nothing is owed, and the body
// stays the caller's.
func (d *Dispatcher) Take(c Call, from Caller, tag slotmap.Ref) (slotmap.Ref, error) {
	// The Router passes over an id that it still holds, and would never answer it.
	if _, ok := d.byID[c.ID]; ok {
		return 0, ErrKnownID
	}
	if d.maxOpen > 0 && d.open >= d.maxOpen {
		return 0, ErrFull
	}
	now := d.loop.Now()
	q := &request{Call: c, caller: from, tag: tag, end: now + c.Budget - reserve}
	q.ref = d.requests.Put(q)
	d.byID[c.ID] = q.ref
	d.open++
	function, pool := cmp.Or(c.Affinity, c.Function), (*routing.Pool)(nil)
	if d.routes != nil && c.Route != "" {
		if pool = d.routes.Route(c.Route); pool != nil {
			function += "\x00" + c.Route // what is warm in one pool is not in another
		}
	}
	d.tell(routing.Request{
		ID: c.ID, Class: c.Class, Function: function, Pool: pool, TimeLeft: max(q.end-now, 0),
		Memory: c.Memory, Lanes: c.Lanes, LoadTime: c.LoadTime,
	})
	return q.ref, nil
}

// Abandon says that the client has left. Nothing more is owed.
func (d *Dispatcher) Abandon(ref slotmap.Ref) {
	if q, ok := d.requests.Get(ref); ok && !q.done {
		d.finish(q)
		d.tell(routing.Abandoned{ID: q.ID})
	}
}

// answer gives the final answer, unless there was one.
func (d *Dispatcher) answer(q *request, a Answer) {
	if q.done {
		return
	}
	d.finish(q)
	q.caller.Answer(q.tag, a)
}

func (d *Dispatcher) finish(q *request) {
	q.done = true
	d.open--
}

// forget frees a request that is answered and has no attempt out.
func (d *Dispatcher) forget(q *request) {
	if !q.done || q.out > 0 {
		return
	}
	if _, ok := d.requests.Get(q.ref); !ok {
		return
	}
	d.requests.Free(q.ref)
	delete(d.byID, q.ID)
	d.pool.Put(q.Body)
	q.Body = nil
}

// ---- workers ----

// Ended reports how an attempt ended.
func (d *Dispatcher) Ended(ref slotmap.Ref, e End) {
	a, ok := d.attempts.Get(ref)
	if !ok {
		return
	}
	if e.Outcome == routing.Served {
		d.answer(a.q, Answer{Verdict: Served, Body: e.Body})
	}
	d.end(a, e)
}

// end closes an attempt and tells the Router.
func (d *Dispatcher) end(a *attempt, e End) {
	d.loop.Drop(&a.late)
	d.attempts.Free(a.ref)
	a.q.out--
	d.tell(routing.AttemptEnd{
		ID: a.q.ID, Attempt: a.n, Worker: a.worker, Outcome: e.Outcome,
		Closed: a.q.done, Latency: d.loop.Now() - a.sent, Company: e.Company, Report: e.Report,
	})
}

// halt gives an attempt up. One of which nothing was written has not run, whatever the reason.
func (d *Dispatcher) halt(a *attempt, written routing.Outcome, unwritten routing.Outcome) {
	e := End{Outcome: written, Company: -1}
	if !d.workers.Halt(a.ref) {
		e.Outcome = unwritten
	}
	d.end(a, e)
}

// Probed reports how a probe ended.
func (d *Dispatcher) Probed(worker string, took time.Duration, e End) {
	d.tell(routing.ProbeEnd{Worker: worker, Outcome: e.Outcome, Latency: took, Report: e.Report})
}

// May reports whether an attempt may still be written. The client may have left, its time be over after a stall, or
// the worker have begun to drain, since the Router was told last; and workers may have forgotten an earlier attempt
// while this one waited for a connection.
func (d *Dispatcher) May(ref slotmap.Ref) bool {
	a, ok := d.attempts.Get(ref)
	return ok && !a.q.done && d.loop.Now() < min(a.until, a.begin) && d.states[a.worker] == routing.Ready
}

// ---- the list ----

// List takes in a list of workers.
func (d *Dispatcher) List(r Roster) {
	d.listed = true
	l := routing.WorkerList{Kind: routing.ListChanges}
	if r.Full {
		l.Kind = routing.ListFull
		clear(d.states)
		clear(d.entries)
	}
	for _, e := range r.Entries {
		l.Workers = append(l.Workers, e.Worker)
		d.states[e.ID] = e.State
		if e.State == routing.Gone {
			delete(d.states, e.ID)
			delete(d.entries, e.ID)
			continue
		}
		d.entries[e.ID] = pools.Attributes{ID: e.ID, Model: e.Model, Zone: e.ZoneName, Group: e.Cell, State: pools.State(e.State)}
	}
	d.reroute(d.attributes())
	// The Router hears of it before the attempts that end with it.
	d.tell(l)
	d.workers.Follow(r)
}

// Blind says for how long the list may be old, from now; 0 that it is not.
func (d *Dispatcher) Blind(lasts time.Duration) { d.tell(routing.ListOld{For: lasts}) }

// Close has every request that is open get its final answer now, unserved: the program is about to be ended.
func (d *Dispatcher) Close() { d.tell(routing.Closing{}) }

// Memory is what the Router has learned.
func (d *Dispatcher) Memory() routing.Memory { return d.router.Memory() }

// Recall has the Router take up what an earlier process learned. It must follow the first list.
func (d *Dispatcher) Recall(m routing.Memory) { d.tell(routing.Recalled{Memory: m}) }

// ---- the Router ----

// tell keeps an event for the Step that ends this pass of the loop.
func (d *Dispatcher) tell(e routing.Event) {
	d.events = append(d.events, e)
	if !d.posted {
		d.posted = true
		d.loop.Post(d.step)
	}
}

func (d *Dispatcher) step() {
	d.posted = false
	events := d.events
	d.events = nil
	actions := d.router.Step(d.loop.Now(), events)
	for _, a := range actions {
		d.do(a)
	}
	for _, e := range events {
		switch e := e.(type) {
		case routing.AttemptEnd:
			d.forgetID(e.ID)
		case routing.Abandoned:
			d.forgetID(e.ID)
		}
	}
}

func (d *Dispatcher) forgetID(id string) {
	if q, ok := d.requests.Get(d.byID[id]); ok {
		d.forget(q)
	}
}

func (d *Dispatcher) do(a routing.Action) {
	switch a := a.(type) {
	case routing.Send:
		d.send(a)
	case routing.Cancel:
		if q, ok := d.requests.Get(d.byID[a.ID]); ok && a.Attempt < len(q.attempts) {
			if at, ok := d.attempts.Get(q.attempts[a.Attempt]); ok {
				d.halt(at, routing.Cancelled, routing.Unsent)
			}
		}
	case routing.Refuse:
		d.final(a.ID, Answer{Verdict: Refused, RetryAfter: a.RetryAfter})
	case routing.Fail:
		d.final(a.ID, Answer{Verdict: Failed})
	case routing.SetTimer:
		d.loop.At(&deadline.Entry{Fire: func() { d.tell(routing.TimerFired{Token: a.Token}) }},
			d.loop.Now()+a.After)
	case routing.Observe:
		d.reroute(pools.Saw{Worker: a.Worker, Trouble: a.Trouble})
		if d.observe != nil {
			d.observe(a)
		}
	case routing.Probe:
		d.workers.Probe(a.Worker)
	case routing.Load:
		// No peer takes orders to load: the Router hears that this one never left.
		d.tell(routing.LoadEnd{Worker: a.Worker, Function: a.Function, Outcome: routing.Unsent})
	case routing.Unload, routing.Subscribe, routing.FetchList:
		// Nothing to do: the list comes unasked, and no peer takes orders to unload.
	}
}

func (d *Dispatcher) final(id string, a Answer) {
	if q, ok := d.requests.Get(d.byID[id]); ok {
		d.answer(q, a)
		d.forget(q)
	}
}

func (d *Dispatcher) send(s routing.Send) {
	q, ok := d.requests.Get(d.byID[s.ID])
	if !ok {
		return
	}
	now := d.loop.Now()
	a := &attempt{q: q, n: len(q.attempts), worker: s.Worker, sent: now}
	a.ref = d.attempts.Put(a)
	q.attempts = append(q.attempts, a.ref)
	q.out++
	until := q.end
	if s.Timeout > 0 {
		until = min(until, now+s.Timeout)
	}
	a.until, a.begin = until, until
	if s.Within > 0 {
		a.begin = now + s.Within
	}
	if !d.May(a.ref) {
		d.end(a, End{Outcome: routing.Unsent, Company: -1})
		return
	}
	a.late.Fire = func() { d.halt(a, routing.TimedOut, routing.Unreached) }
	d.loop.At(&a.late, until)
	at := Attempt{
		Ref: a.ref, Worker: s.Worker, ID: q.ID, Class: q.Class, Function: q.Function, Key: q.Key,
		Patience: until - now,
	}
	if q.Body != nil {
		at.Body = q.Body.B
	}
	d.workers.Send(at)
}
