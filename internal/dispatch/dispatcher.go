// Package dispatch connects the routing decisions with the network. A Dispatcher collects the events of one pass of the
// event loop into one step of the Router, and carries out the Router's actions. Its components own the state: the
// requests (requestTable), the attempts in flight (attemptTable), the listed workers (endpointTable) and the routes
// (routeTable). All of it belongs to the event loop, so that nothing takes a lock.
//
// The Router decides at the end of a pass only, and while its actions are carried out the state may change already: a
// front end may cancel one request while it is given the answer to another. This is why an attempt is checked once more
// with MaySend before it is sent, and again before it is written.
//
// The package knows no protocol. A front end submits Calls and is a Responder, the transport to the workers implements
// Workers, and whatever discovers workers passes on EndpointLists.
package dispatch

import (
	"time"

	"calicohill/internal/rules/pools"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// Loop is what a Dispatcher needs of the event loop.
type Loop interface {
	// Now is the current time, the same clock as the deadlines'.
	Now() time.Duration
	// Post has a function called on the loop after the current pass.
	Post(fn func())
	// SetDeadline has timer.Fire called on the loop at a time; a timer that is set already is moved.
	SetDeadline(timer *deadline.Timer, at time.Duration)
	// ClearDeadline stops a timer. One that is not set is ignored.
	ClearDeadline(timer *deadline.Timer)
}

// Dispatcher drives the Router of a scheduler: it decides when the Router steps and in which order its components, the
// transport and the front ends learn of what happened. All methods must be called on the event loop.
type Dispatcher struct {
	loop    Loop
	router  *routing.Router
	workers Workers

	requests  *requestTable
	attempts  *attemptTable
	endpoints *endpointTable
	routes    routeTable

	events     []routing.Event // for the next step
	stepPosted bool

	observeFault func(routing.ReportFault) // nil if nobody observes faults
	log          *decisionLog
}

// New returns a Dispatcher that has at most maxOpenRequests requests open at once; 0 means no limit. Buffers of requests
// are returned to the pool. SetWorkers must be called before any other method.
func New(loop Loop, router *routing.Router, pool *bufferpool.Pool, maxOpenRequests int) *Dispatcher {
	dispatcher := &Dispatcher{
		loop:      loop,
		router:    router,
		requests:  newRequestTable(maxOpenRequests, pool),
		endpoints: newEndpointTable(),
		log:       &decisionLog{},
	}
	dispatcher.attempts = &attemptTable{
		log:       dispatcher.log,
		loop:      loop,
		requests:  dispatcher.requests,
		endpoints: dispatcher.endpoints,
		enqueue:   dispatcher.enqueue,
	}
	return dispatcher
}

// SetWorkers sets the transport to the workers.
func (d *Dispatcher) SetWorkers(workers Workers) {
	d.workers = workers
	d.attempts.setWorkers(workers)
}

// SetFaultObserver sets the function that is called with each fault that the Router finds in a worker. It must not block.
func (d *Dispatcher) SetFaultObserver(observe func(routing.ReportFault)) { d.observeFault = observe }

// SetLog sets the log of what became of requests, attempts and workers; without it nothing is written.
func (d *Dispatcher) SetLog(log *logrus.Entry) { d.log.log = log }

// enqueue adds an event to the Router step at the end of this pass of the loop.
func (d *Dispatcher) enqueue(event routing.Event) {
	d.events = append(d.events, event)
	if !d.stepPosted {
		d.stepPosted = true
		d.loop.Post(d.step)
	}
}

// step passes the enqueued events to the Router, performs its actions, and releases the requests that are done. What the
// actions enqueue is for another step. Requests are released last, because actions name them by ID.
func (d *Dispatcher) step() {
	d.stepPosted = false
	events := d.events
	d.events = nil
	for _, action := range d.router.Step(d.loop.Now(), events) {
		d.perform(action)
	}
	for _, event := range events {
		switch event := event.(type) {
		case routing.AttemptEnded:
			d.requests.releaseByID(event.ID)
		case routing.ClientCanceled:
			d.requests.releaseByID(event.ID)
		}
	}
}

// perform carries out an action of the Router.
func (d *Dispatcher) perform(action routing.Action) {
	switch action := action.(type) {
	case routing.Send:
		d.attempts.start(action)
	case routing.Cancel:
		d.attempts.cancelByNumber(action.ID, action.Attempt)
	case routing.Reject:
		d.log.notServed(action.ID, Rejected, action.Reason)
		d.requests.answerByID(action.ID, Answer{Status: Rejected, RetryAfter: action.RetryAfter})
	case routing.Fail:
		d.log.notServed(action.ID, Failed, action.Reason)
		d.requests.answerByID(action.ID, Answer{Status: Failed})
	case routing.SetTimer:
		// The Router never stops a timer, so that nothing has to keep it.
		timer := &deadline.Timer{Fire: func() { d.enqueue(routing.TimerFired{Token: action.Token}) }}
		d.loop.SetDeadline(timer, d.loop.Now()+action.After)
	case routing.ReportFault:
		d.stepRoutes(pools.FaultObserved{Worker: action.Worker, Fault: action.Fault})
		if d.observeFault != nil {
			d.observeFault(action)
		}
	case routing.WorkerSuspended, routing.EndpointListStatus:
		d.log.noted(action)
	case routing.Probe:
		d.workers.Probe(action.Worker)
	case routing.Load:
		// The transport has no message for it, so the Router learns that this one was never sent.
		d.enqueue(routing.LoadEnded{Worker: action.Worker, Function: action.Function, Outcome: routing.NotSent})
	case routing.Unload, routing.Subscribe, routing.FetchList:
		// Nothing to do: endpoint lists come unasked, and the transport has no message to unload an instance.
	}
}

// stepRoutes passes an event to the routes, and notifies the Router if it changed the workers of a pool.
func (d *Dispatcher) stepRoutes(event pools.Event) {
	if d.routes.step(d.loop.Now(), event) {
		d.enqueue(routing.PoolsChanged{})
	}
}
