// Package discovery watches the endpoint list. It long-polls the list service (called the bulletin in the operators'
// documentation) for numbered events, and passes the node agents in them to a sink.
//
// Package pollplan decides when to poll. This package manages the connections, parses the HTTP responses and applies
// the events in order. All code runs on the goroutine of the event loop.
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

// connectTimeout limits the time to establish a connection to the list service.
const connectTimeout = 250 * time.Millisecond

// Loop is the part of the event loop that a Watcher uses.
type Loop interface {
	dispatch.Loop
	// Dial opens a connection and passes its events to the handler. It calls failed if the connection is not
	// established within the timeout.
	Dial(addr string, timeout time.Duration, handler eventloop.ConnHandler, failed func(error))
}

// Watcher polls the list service at the times that its Planner determines, and passes each change of the endpoint list
// to a sink. It owns up to two connections and the timer of the next poll. Its eventLog owns the list. All methods must
// be called on the event loop.
type Watcher struct {
	loop    Loop
	addr    string
	log     logrus.FieldLogger
	planner *pollplan.Planner
	events  eventLog

	// OnChange, if set before Start, is called after all events of a response that changed the list have been applied.
	OnChange func()
	// OnConfirmed, if set, is called when the latest time at which the list was known to be complete advances.
	OnConfirmed func(asOf time.Duration)
	// OnStale, if set, is called after a stall with the duration for which the list may be outdated, and with 0 once it
	// is current again.
	OnStale func(time.Duration)

	connections map[int]*connection // open or dialing, by the planner's connection number
	responses   responseMemory
	unreachable bool // the last poll failed and the failure was logged
	pollTimer   deadline.Timer
}

// Options are the settings and dependencies of a Watcher.
type Options struct {
	Address        string   // of the list service, host:port
	KnownEndpoints []byte   // configured events, formatted as a poll response
	Zones          []string // zone names by number
	WorkerKinds    []string // names of machine kinds by number
	MaxListBytes   int      // limit on the body of a response
	Planner        *pollplan.Planner
	Sink           func(dispatch.EndpointList) // receives each change of the list
	Log            logrus.FieldLogger
}

// New returns a Watcher that is idle until Start. The error identifies the first invalid event in KnownEndpoints.
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
		responses:   responseMemory{maxBody: options.MaxListBytes},
	}
	watcher.pollTimer.Fire = func() { watcher.step() }
	var err error
	watcher.events.initial, err = parseKnown(options.KnownEndpoints, options.Zones, options.WorkerKinds)
	return watcher, err
}

// Restore replaces the configured events with the list from the snapshot of an earlier process if the snapshot is
// newer, and reports whether it is. It must be called before Start.
func (w *Watcher) Restore(snapshot []byte) (newer bool, err error) { return w.events.restore(snapshot) }

// Snapshot returns the number of the last event and a function that encodes the complete list as a poll response,
// ordered by UID. The function uses a copy of the list, so it may be called later on another goroutine.
func (w *Watcher) Snapshot() (number int, encode func() ([]byte, error)) { return w.events.snapshot() }

// Start applies the configured or restored events and starts polling.
func (w *Watcher) Start() {
	if err := w.events.applyInitial(w.OnChange); err != nil {
		w.log.WithError(err).Error("initial endpoint list rejected") // unexpected: New or Restore has validated it
	}
	w.step(pollplan.Started{HasEndpoints: w.events.lastEventNumber() > 0, Restored: w.events.isRestored()})
}

// SetAddress changes the address of the list service; the event numbers continue. It closes the connections to the old
// address, because a poll that waits there would delay the first poll at the new address.
func (w *Watcher) SetAddress(addr string) {
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.step(pollplan.AddressChanged{})
}

// Stalled reports that the process was stopped or did not get processor time for a while.
func (w *Watcher) Stalled() { w.step(pollplan.Stalled{}) }

// step passes events to the planner, performs its actions and sets the timer for the next step.
func (w *Watcher) step(events ...pollplan.Event) {
	// Clone the slice: an action may trigger a nested step, in which the planner reuses it.
	for _, action := range slices.Clone(w.planner.Step(w.loop.Now(), events...)) {
		w.perform(action)
	}
	if at, ok := w.planner.Next(); ok {
		w.loop.SetDeadline(&w.pollTimer, at)
	} else {
		w.loop.ClearDeadline(&w.pollTimer)
	}
}

// perform performs an action of the planner.
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
		w.log.Warn("poll overdue: sending another poll")
	}
}

// dial opens a connection with a number assigned by the planner.
func (w *Watcher) dial(number int) {
	conn := &connection{watcher: w, number: number, reader: responseReader{memory: &w.responses}}
	w.connections[number] = conn
	w.loop.Dial(w.addr, connectTimeout, conn, func(err error) { conn.fail(err, 0) })
}

// pollRequest returns the HTTP request for the events after the last one.
func (w *Watcher) pollRequest(timeout time.Duration) []byte {
	return fmt.Appendf(nil, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		w.events.lastEventNumber(), timeout.Milliseconds(), w.addr)
}

// answered reports the response to a poll, and its effect on the list, to the planner.
func (w *Watcher) answered(number int, result applyResult, connectionClosing bool) {
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

// failed reports a failed connection to the planner. retryAfter is the value of the service's Retry-After header; 0 if
// absent.
func (w *Watcher) failed(number int, err error, retryAfter time.Duration) {
	if !w.unreachable {
		w.unreachable = true
		w.log.WithError(err).Warn("list service unreachable")
	}
	w.step(pollplan.Failed{Conn: number, RetryAfter: retryAfter})
}
