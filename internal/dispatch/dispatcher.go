// Package dispatch connects the routing decisions with the network. A Dispatcher collects the events of one pass of the
// event loop into one step of the Router, and performs the Router's actions. Its components own the state: the
// requests (requestTable), the attempts in flight (attemptTable), the listed workers (endpointTable) and the routes
// (routeTable). All state is confined to the event loop and needs no locks.
//
// The Router runs only at the end of a pass, and the state may change while its actions are performed: for example, a
// front end may cancel one request while it receives the answer to another. An attempt is therefore checked again with
// MaySend before it is sent, and once more before it is written.
//
// The package is independent of protocols. A front end submits Calls and implements Responder, the transport to the
// workers implements Workers, and service discovery supplies EndpointLists.
package dispatch

import (
	"time"

	"calicohill/internal/rules/pools"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// Loop is the part of the event loop that a Dispatcher uses.
type Loop interface {
	// Now returns the current time, on the same clock as the deadlines.
	Now() time.Duration
	// Post schedules a function to run on the loop after the current pass.
	Post(fn func())
	// SetDeadline schedules timer.Fire to run on the loop at a time. It reschedules a timer that is already set.
	SetDeadline(timer *deadline.Timer, at time.Duration)
	// ClearDeadline stops a timer. It does nothing if the timer is not set.
	ClearDeadline(timer *deadline.Timer)
}

// Dispatcher drives the Router of a scheduler: it runs the Router's steps and determines the order in which its
// components, the transport and the front ends are notified of events. All methods must be called on the event loop.
type Dispatcher struct {
	loop    Loop
	router  *routing.Router
	workers Workers

	requests  *requestTable
	attempts  *attemptTable
	endpoints *endpointTable
	routes    routeTable

	events     eventQueue // for the next step
	stepPosted bool

	observeFault func(routing.ReportFault) // nil if there is no observer
	log          *decisionLog
}

// New returns a Dispatcher that allows at most maxOpenRequests open requests; 0 means no limit. It reserves memory for
// them in the pool and returns their bodies to it. SetWorkers must be called before any other method.
func New(loop Loop, router *routing.Router, pool *bufferpool.Pool, maxOpenRequests int) *Dispatcher {
	dispatcher := &Dispatcher{
		loop:      loop,
		router:    router,
		requests:  newRequestTable(maxOpenRequests, pool),
		endpoints: newEndpointTable(),
		events:    newEventQueue(),
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

// SetFaultObserver sets the function that is called with each worker fault that the Router detects. It must not block.
func (d *Dispatcher) SetFaultObserver(observe func(routing.ReportFault)) { d.observeFault = observe }

// SetLog sets the log for the outcomes of requests and attempts and for state changes of workers. Without it, nothing
// is logged.
func (d *Dispatcher) SetLog(log *logrus.Entry) { d.log.log = log }

// enqueue adds an event to the Router's step at the end of the current pass of the loop.
func (d *Dispatcher) enqueue(event routing.Event) { d.enqueueAt(event) }

// enqueueAt is enqueue, and returns the position of the event.
func (d *Dispatcher) enqueueAt(event routing.Event) eventPosition {
	if !d.stepPosted {
		d.stepPosted = true
		d.loop.Post(d.step)
	}
	return d.events.add(event)
}

// step passes the enqueued events to the Router, performs its actions, and releases the requests that are complete.
// Events that the actions enqueue are left for the next step. Requests are released last, because actions refer to them
// by ID.
func (d *Dispatcher) step() {
	d.stepPosted = false
	events := d.events.take()
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

// perform performs an action of the Router.
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
		// No reference to the timer is kept, because the Router never stops one.
		timer := &deadline.Timer{Fire: func() { d.enqueue(routing.TimerFired{Token: action.Token}) }}
		d.loop.SetDeadline(timer, d.loop.Now()+action.After)
	case routing.ReportFault:
		d.stepRoutes(pools.FaultObserved{Worker: action.Worker, Fault: action.Fault})
		if d.observeFault != nil {
			d.observeFault(action)
		}
	case routing.WorkerSuspended, routing.EndpointListStatus:
		d.log.stateChanged(action)
	case routing.Probe:
		d.workers.Probe(action.Worker)
	case routing.Load:
		// The transport has no message to load an instance, so the action is reported to the Router as not sent.
		d.enqueue(routing.LoadEnded{Worker: action.Worker, Function: action.Function, Outcome: routing.NotSent})
	case routing.Unload, routing.Subscribe, routing.FetchList:
		// Nothing to do: endpoint lists arrive without a request, and the transport has no message to unload an
		// instance.
	}
}

// stepRoutes passes an event to the routes, and notifies the Router if the event changed the workers of a pool.
func (d *Dispatcher) stepRoutes(event pools.Event) {
	if d.routes.step(d.loop.Now(), event) {
		d.enqueue(routing.PoolsChanged{})
	}
}
