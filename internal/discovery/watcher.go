// Package discovery follows the bulletin: the numbered events that tell which node agents there are.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

// connectIn is how long a connection may take to come up.
const connectTimeout = 250 * time.Millisecond

// Feed is the answer to a poll.
type Feed struct {
	Number int     `json:"no"`
	Events []event `json:"items"`
}

type event struct {
	Number int     `json:"no"`
	Roster *roster `json:"roster"`
}

type roster struct {
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID        string   `json:"uid"`
	Endpoint   string   `json:"endpoint"`
	Zone       string   `json:"az"`
	Model      string   `json:"model"`
	PodGroup   int      `json:"pod_group"`
	State      string   `json:"state"`
	Capacity   *float64 `json:"capacity_hint"`
	BootMillis float64  `json:"boot_ms"`
}

var workerStates = map[string]routing.WorkerState{
	"SERVING": routing.Ready, "DRAINING": routing.Draining, "DELETED": routing.Gone,
}

// read reads an event's list. A target that makes no sense is an error; with lenient it is read as far as it
// goes, and gets no new work.
func (e *event) endpointList(zones, kinds []string, lenient bool) (dispatch.EndpointList, error) {
	r := dispatch.EndpointList{Full: e.Roster.All}
	for _, t := range e.Roster.Targets {
		state, ok := workerStates[t.State]
		_, _, err := net.SplitHostPort(t.Endpoint)
		if t.UID == "" || !ok || err != nil && state != routing.Gone {
			if !lenient {
				return r, fmt.Errorf("target %.40q: state %.20q, endpoint %.40q", t.UID, t.State, t.Endpoint)
			}
			state = routing.Draining
		}
		w := routing.Worker{
			ID: t.UID, State: state, Weight: 1, Cell: t.PodGroup,
			Zone: max(slices.Index(zones, t.Zone), 0), Kind: max(slices.Index(kinds, t.Model), 0),
			Started: time.Duration(t.BootMillis * float64(time.Millisecond)),
		}
		if t.Capacity != nil {
			w.Weight = *t.Capacity
		}
		r.Endpoints = append(r.Endpoints, dispatch.Endpoint{Worker: w, Addr: t.Endpoint, Model: t.Model, ZoneName: t.Zone})
	}
	return r, nil
}

// Loop is what a Watcher needs of the event loop.
type Loop interface {
	dispatch.Loop
	Dial(addr string, timeout time.Duration, p eventloop.ConnHandler, failed func(error))
}

// Watcher asks the bulletin when its Core says so, and hands what it brings to a sink.
type Watcher struct {
	loop         Loop
	addr         string
	zones, kinds []string
	sink         func(dispatch.EndpointList)
	log          logrus.FieldLogger
	// Changed, if set, is called after events that changed the list.
	OnChange func()
	// Blind, if set, is told for how long the list may be old, after a stall; 0 says that it is not any more.
	OnStale func(time.Duration)

	initial        Feed
	restored       bool              // the list is from an earlier life, and the bulletin has not spoken yet
	targets        map[string]target // kept for OnChange
	lastEvent      int               // number of the last event
	malformedEvent int               // number of an event that made no sense
	acceptedGap    int               // up to this number what is left out is not to be had
	planner        *pollplan.Planner
	connections    map[int]*connection // by the core's number
	unreachable    bool                // the last poll failed, and that was logged
	pollTimer      deadline.Timer
}

// conn is a connection to the bulletin. It is its loop.Peer.
type connection struct {
	watcher *Watcher
	number  int
	socket  gnet.Conn // nil until it is up and once it is gone
}

// New returns a Watcher that does nothing until Start. The events known already come in the form of a poll's
// answer.
func New(l Loop, addr string, known []byte, zones, kinds []string, core *pollplan.Planner, sink func(dispatch.EndpointList),
	log logrus.FieldLogger,
) (*Watcher, error) {
	w := &Watcher{loop: l, addr: addr, zones: zones, kinds: kinds, sink: sink, log: log, planner: core, connections: map[int]*connection{}}
	w.pollTimer.Fire = func() { w.step() }
	var err error
	w.initial, err = parseKnown(known, zones, kinds)
	return w, err
}

// ValidateKnown reports what makes no sense in the events known already.
func ValidateKnown(known []byte, zones, kinds []string) error {
	_, err := parseKnown(known, zones, kinds)
	return err
}

func parseKnown(known []byte, zones, kinds []string) (f Feed, err error) {
	if len(known) == 0 {
		return f, nil
	}
	if err := json.Unmarshal(known, &f); err != nil {
		return f, fmt.Errorf("known events: %w", err)
	}
	for _, e := range f.Events {
		if e.Roster == nil {
			continue
		}
		if _, err := e.endpointList(zones, kinds, false); err != nil {
			return f, fmt.Errorf("known event %d: %w", e.Number, err)
		}
	}
	return f, nil
}

// Start hands on the events known already and begins to poll.
func (w *Watcher) Start() {
	if n := len(w.initial.Events); n > 0 { // if some are left out of these, nobody has them
		w.acceptedGap = w.initial.Events[n-1].Number
	}
	if err := w.applyEvents(&w.initial); err != nil {
		w.log.WithError(err).Error("known events") // New has read them once
	}
	w.initial = Feed{}
	w.step(pollplan.Started{HasEndpoints: w.lastEvent > 0, Restored: w.restored})
}

// Restore has the list of an earlier life taken for what is known, where it is newer. It must be called before Start.
func (w *Watcher) Restore(feed []byte) (newer bool, err error) {
	var f Feed
	if err := json.Unmarshal(feed, &f); err != nil {
		return false, fmt.Errorf("list: %w", err)
	}
	if f.Number <= w.initial.Number {
		return false, nil
	}
	for _, e := range f.Events {
		if e.Roster == nil {
			return false, fmt.Errorf("list: event %d without workers", e.Number)
		}
		if _, err := e.endpointList(w.zones, w.kinds, false); err != nil {
			return false, fmt.Errorf("list: %w", err)
		}
	}
	w.initial, w.restored = f, true
	return true, nil
}

// Snapshot is the number of the last event and the whole list, in the form of a poll's answer. feed may be called
// elsewhere, later.
func (w *Watcher) Snapshot() (no int, feed func() ([]byte, error)) {
	no, all := w.lastEvent, slices.SortedFunc(maps.Values(w.targets), func(a, b target) int { return strings.Compare(a.UID, b.UID) })
	return no, func() ([]byte, error) {
		return json.Marshal(Feed{Number: no, Events: []event{{Number: no, Roster: &roster{All: true, Targets: all}}}})
	}
}

// keep keeps an event's list for OnChange.
func (w *Watcher) recordTargets(r *roster) {
	if w.targets == nil || r.All {
		w.targets = map[string]target{}
	}
	for _, t := range r.Targets {
		if w.targets[t.UID] = t; workerStates[t.State] == routing.Gone {
			delete(w.targets, t.UID)
		}
	}
}

// SetAddress has the bulletin asked at another address from now on. The numbers of its events go on. Polls at the old
// address end at once: it tells nothing more, and one that was waited for would keep the new one from being asked.
func (w *Watcher) SetAddress(addr string) {
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.step(pollplan.AddressChanged{})
}

// Stalled says that the process did nothing for a while.
func (w *Watcher) Stalled() { w.step(pollplan.Stalled{}) }

// step tells the core what happened and does what it says.
func (w *Watcher) step(events ...pollplan.Event) {
	for _, a := range slices.Clone(w.planner.Step(w.loop.Now(), events...)) {
		switch a := a.(type) {
		case pollplan.Dial:
			c := &connection{watcher: w, number: a.Conn}
			w.connections[a.Conn] = c
			w.loop.Dial(w.addr, connectTimeout, c, func(err error) { c.fail(err, 0) })
		case pollplan.Poll:
			// A failed write closes the connection and is seen by Closed.
			_, _ = w.connections[a.Conn].socket.Write(fmt.Appendf(nil, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
				w.lastEvent, a.Timeout.Milliseconds(), w.addr))
		case pollplan.Close:
			c := w.connections[a.Conn]
			delete(w.connections, a.Conn)
			if c.socket != nil {
				_ = c.socket.EventLoop().Close(c.socket)
			}
		case pollplan.MarkStale:
			if w.OnStale != nil {
				w.OnStale(a.Duration)
			}
		case pollplan.PollOverdue:
			w.log.Warn("bulletin slow: polled once more")
		}
	}
	if at, ok := w.planner.Next(); ok {
		w.loop.SetDeadline(&w.pollTimer, at)
	} else {
		w.loop.ClearDeadline(&w.pollTimer)
	}
}

// take reads an answer and hands on its events.
func (w *Watcher) applyResponse(text []byte) error {
	var f Feed
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	// A bulletin that was set up anew since counts from 1 again, and has to tell all.
	if w.restored && f.Number < w.lastEvent {
		w.log.WithFields(logrus.Fields{"event": f.Number, "known": w.lastEvent}).Warn("bulletin counts anew: the list is read from its beginning")
		w.lastEvent = 0
		w.restored = false
		return nil
	}
	w.restored = false
	return w.applyEvents(&f)
}

// apply hands on events, in order and each once. One that makes no sense is asked for again, and read as far as
// it goes if it comes the same: later ones may say who drains. Where some are left out, who drains may be in those: the
// list is read from its beginning, once.
func (w *Watcher) applyEvents(f *Feed) error {
	before := w.lastEvent
	defer func() {
		if w.OnChange != nil && w.lastEvent > before { // not between two events: what is kept never gets older
			w.OnChange()
		}
	}()
	for _, e := range f.Events {
		if e.Number <= w.lastEvent {
			continue
		}
		if w.lastEvent > 0 && e.Number > w.lastEvent+1 && e.Number > w.acceptedGap && (e.Roster == nil || !e.Roster.All) {
			w.log.WithFields(logrus.Fields{"event": e.Number, "known": w.lastEvent}).Warn("events left out: the list is read from its beginning")
			w.acceptedGap, w.lastEvent = e.Number, 0
			return nil
		}
		if e.Roster != nil {
			r, err := e.endpointList(w.zones, w.kinds, w.malformedEvent == e.Number)
			if err != nil {
				w.malformedEvent = e.Number
				return fmt.Errorf("event %d: %w", e.Number, err)
			}
			w.sink(r)
			if w.OnChange != nil {
				w.recordTargets(e.Roster)
			}
			w.log.WithFields(logrus.Fields{"event": e.Number, "targets": len(r.Endpoints), "all": r.Full}).
				Info("worker list changed")
		}
		w.lastEvent = e.Number
	}
	if len(f.Events) == 0 { // else what the answer does not bring is asked for next
		w.lastEvent = max(w.lastEvent, f.Number)
	}
	return nil
}

// open reports whether a connection has not been given up.
func (c *connection) isOpen() bool { return c.watcher.connections[c.number] == c }

// fail gives up a connection. after is how long the bulletin asked to be left alone.
func (c *connection) fail(err error, after time.Duration) {
	w := c.watcher
	if !c.isOpen() {
		return
	}
	if !w.unreachable {
		w.unreachable = true
		w.log.WithError(err).Warn("bulletin not heard")
	}
	w.step(pollplan.Failed{Conn: c.number, RetryAfter: after})
}

// Opened reports a connection that is up.
func (c *connection) Opened(gc gnet.Conn) {
	c.socket = gc
	if !c.isOpen() { // given up before it was up
		_ = gc.EventLoop().Close(gc)
		return
	}
	c.watcher.step(pollplan.Connected{Conn: c.number})
}

// Readable reads the answer to a poll.
func (c *connection) Readable(gc gnet.Conn) error {
	w := c.watcher
	b, err := gc.Peek(-1)
	if err != nil || len(b) == 0 {
		return nil
	}
	body, n, last, err := parseResponse(b)
	if err == nil && n == 0 {
		return nil
	}
	before := w.lastEvent
	if err == nil {
		err = w.applyResponse(body)
	}
	if err != nil {
		var sent statusError
		errors.As(err, &sent)
		c.fail(err, sent.after)
		return nil
	}
	if _, err := gc.Discard(n); err != nil {
		return fmt.Errorf("reading on: %w", err)
	}
	if w.unreachable {
		w.unreachable = false
		w.log.Info("bulletin heard again")
	}
	w.step(pollplan.Answered{Conn: c.number, HasUpdates: w.lastEvent > before, ConnectionClosing: last})
	if w.lastEvent < before { // it is read from its beginning
		w.step(pollplan.Stalled{})
	}
	return nil
}

// Closed has the poll made again.
func (c *connection) Closed(_ gnet.Conn, err error) {
	c.socket = nil
	if err == nil {
		err = errors.New("closed")
	}
	c.fail(err, 0)
}
