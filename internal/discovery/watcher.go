// Package discovery watches the endpoint list: it long-polls the list service (the bulletin, on the operators' pages) for
// numbered events and hands the node agents that they name to a sink.
//
// When to poll is decided by package pollplan; this package has the connections, the HTTP responses and the order of the
// events. All of it runs on the goroutine of the event loop.
package discovery

import (
	"fmt"
	"slices"
	"time"

	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"

	"github.com/sirupsen/logrus"
)

// connectTimeout bounds how long a connection to the list service may take to come up.
const connectTimeout = 250 * time.Millisecond

// Loop is what a Watcher needs of the event loop.
type Loop interface {
	dispatch.Loop
	// Dial opens a connection and passes its events to the handler, or calls failed if that does not succeed in time.
	Dial(addr string, timeout time.Duration, handler eventloop.ConnHandler, failed func(error))
}

// Watcher polls the list service when its Planner decides so, and passes each change of the endpoint list to a sink. It owns
// the connections, at most two, and the timer of the next poll; the list is its eventLog's. All methods must be called on
// the event loop.
type Watcher struct {
	loop    Loop
	addr    string
	log     logrus.FieldLogger
	planner *pollplan.Planner
	events  eventLog

	// OnChange, if set before Start, is called after a response whose events changed the list, never between two of them.
	OnChange func()
	// OnConfirmed, if set, is called with the time at which the list is known to have been complete, when that advances.
	OnConfirmed func(asOf time.Duration)
	// OnStale, if set, is called with how long the list may be outdated after a stall, and with 0 once it is current again.
	OnStale func(time.Duration)

	connections map[int]*connection // open or being opened, by the planner's number
	unreachable bool                // the last poll failed, and that was logged
	pollTimer   deadline.Timer
}

// Options are the settings of a Watcher and what it works with.
type Options struct {
	Address        string   // of the list service, host:port
	KnownEndpoints []byte   // configured events in the form of a poll's response
	Zones          []string // the platform's names, by number
	WorkerKinds    []string // the platform's names, by number
	Planner        *pollplan.Planner
	Sink           func(dispatch.EndpointList) // is called with each change of the list
	Log            logrus.FieldLogger
}

// New returns a Watcher that does nothing until Start. The error names the first of the known events that is invalid.
func New(loop Loop, options Options) (*Watcher, error) {
	watcher := &Watcher{
		loop:    loop,
		addr:    options.Address,
		log:     options.Log,
		planner: options.Planner,
		events: eventLog{
			zones: options.Zones,
			kinds: options.WorkerKinds,
			sink:  options.Sink,
			log:   options.Log,
		},
		connections: map[int]*connection{},
	}
	watcher.pollTimer.Fire = func() { watcher.step() }
	var err error
	watcher.events.initial, err = parseKnown(options.KnownEndpoints, options.Zones, options.WorkerKinds)
	return watcher, err
}

// Restore makes the list of an earlier process the initial one if it is newer than the configured events, and returns
// whether it is. It must be called before Start.
func (w *Watcher) Restore(snapshot []byte) (newer bool, err error) { return w.events.restore(snapshot) }

// Snapshot returns the number of the last event and an encoder of the complete list, in the form of a poll's response and
// ordered by UID. The encoder owns its data: it may be called on another goroutine, later.
func (w *Watcher) Snapshot() (number int, encode func() ([]byte, error)) { return w.events.snapshot() }

// Start applies the events known already and begins to poll.
func (w *Watcher) Start() {
	if err := w.events.applyInitial(w.OnChange); err != nil {
		w.log.WithError(err).Error("initial endpoint list rejected") // New has parsed it once
	}
	w.step(pollplan.Started{HasEndpoints: w.events.last() > 0, Restored: w.events.isRestored()})
}

// SetAddress polls the list service at another address from now on; the numbers of its events continue. Polls at the old
// address end at once: one that still waited there would delay the first poll at the new address.
func (w *Watcher) SetAddress(addr string) {
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.step(pollplan.AddressChanged{})
}

// Stalled reports that the process did not run for a while.
func (w *Watcher) Stalled() { w.step(pollplan.Stalled{}) }

// step passes events to the planner, carries out its actions and sets the timer for the next.
func (w *Watcher) step(events ...pollplan.Event) {
	// An action may lead to another step, which reuses the planner's slice.
	for _, action := range slices.Clone(w.planner.Step(w.loop.Now(), events...)) {
		w.perform(action)
	}
	if at, ok := w.planner.Next(); ok {
		w.loop.SetDeadline(&w.pollTimer, at)
	} else {
		w.loop.ClearDeadline(&w.pollTimer)
	}
}

// perform carries out an action of the planner.
func (w *Watcher) perform(action pollplan.Action) {
	switch action := action.(type) {
	case pollplan.Dial:
		w.dial(action.Conn)
	case pollplan.Poll:
		w.connections[action.Conn].poll(action.Timeout)
	case pollplan.Close:
		conn := w.connections[action.Conn]
		delete(w.connections, action.Conn)
		conn.close()
	case pollplan.MarkStale:
		if w.OnStale != nil {
			w.OnStale(action.Duration)
		}
	case pollplan.Confirm:
		if w.OnConfirmed != nil {
			w.OnConfirmed(action.AsOf)
		}
	case pollplan.PollOverdue:
		w.log.Warn("poll overdue: polled once more")
	}
}

// dial opens a connection under the planner's number.
func (w *Watcher) dial(number int) {
	conn := &connection{watcher: w, number: number}
	w.connections[number] = conn
	w.loop.Dial(w.addr, connectTimeout, conn, func(err error) { conn.fail(err, 0) })
}

// pollRequest returns the HTTP request for the events after the last one.
func (w *Watcher) pollRequest(timeout time.Duration) []byte {
	return fmt.Appendf(nil, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		w.events.last(), timeout.Milliseconds(), w.addr)
}

// answered reports to the planner that a poll was answered, and what the response did to the list.
func (w *Watcher) answered(number int, result progress, connectionClosing bool) {
	if w.unreachable {
		w.unreachable = false
		w.log.Info("list service reachable again")
	}
	w.step(pollplan.Answered{
		Conn:              number,
		HasUpdates:        result == advanced,
		Incomplete:        !w.events.isComplete(),
		ConnectionClosing: connectionClosing,
	})
	if result == rewound {
		w.step(pollplan.Stalled{})
	}
}

// failed reports to the planner that a connection failed. retryAfter is how long the service asked not to be polled; 0 if
// it did not.
func (w *Watcher) failed(number int, err error, retryAfter time.Duration) {
	if !w.unreachable {
		w.unreachable = true
		w.log.WithError(err).Warn("list service unreachable")
	}
	w.step(pollplan.Failed{Conn: number, RetryAfter: retryAfter})
}
