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
const connectIn = 250 * time.Millisecond

// Feed is the answer to a poll.
type Feed struct {
	No    int     `json:"no"`
	Items []event `json:"items"`
}

type event struct {
	No     int     `json:"no"`
	Roster *roster `json:"roster"`
}

type roster struct {
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID      string   `json:"uid"`
	Endpoint string   `json:"endpoint"`
	AZ       string   `json:"az"`
	Model    string   `json:"model"`
	PodGroup int      `json:"pod_group"`
	State    string   `json:"state"`
	Capacity *float64 `json:"capacity_hint"`
	BootMs   float64  `json:"boot_ms"`
}

var states = map[string]routing.WorkerState{
	"SERVING": routing.Ready, "DRAINING": routing.Draining, "DELETED": routing.Gone,
}

// read reads an event's list. A target that makes no sense is an error; with lenient it is read as far as it
// goes, and gets no new work.
func (e *event) read(zones, kinds []string, lenient bool) (dispatch.EndpointList, error) {
	r := dispatch.EndpointList{Full: e.Roster.All}
	for _, t := range e.Roster.Targets {
		state, ok := states[t.State]
		_, _, err := net.SplitHostPort(t.Endpoint)
		if t.UID == "" || !ok || err != nil && state != routing.Gone {
			if !lenient {
				return r, fmt.Errorf("target %.40q: state %.20q, endpoint %.40q", t.UID, t.State, t.Endpoint)
			}
			state = routing.Draining
		}
		w := routing.Worker{
			ID: t.UID, State: state, Weight: 1, Cell: t.PodGroup,
			Zone: max(slices.Index(zones, t.AZ), 0), Kind: max(slices.Index(kinds, t.Model), 0),
			Started: time.Duration(t.BootMs * float64(time.Millisecond)),
		}
		if t.Capacity != nil {
			w.Weight = *t.Capacity
		}
		r.Endpoints = append(r.Endpoints, dispatch.Endpoint{Worker: w, Addr: t.Endpoint, Model: t.Model, ZoneName: t.AZ})
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

	known Feed
	old   bool              // the list is from an earlier life, and the bulletin has not spoken yet
	list  map[string]target // kept for OnChange
	last  int               // number of the last event
	bad   int               // number of an event that made no sense
	gap   int               // up to this number what is left out is not to be had
	core  *pollplan.Core
	conns map[int]*conn // by the core's number
	down  bool          // the last poll failed, and that was logged
	next  deadline.Timer
}

// conn is a connection to the bulletin. It is its loop.Peer.
type conn struct {
	w *Watcher
	n int
	c gnet.Conn // nil until it is up and once it is gone
}

// New returns a Watcher that does nothing until Start. The events known already come in the form of a poll's
// answer.
func New(l Loop, addr string, known []byte, zones, kinds []string, core *pollplan.Core, sink func(dispatch.EndpointList),
	log logrus.FieldLogger,
) (*Watcher, error) {
	w := &Watcher{loop: l, addr: addr, zones: zones, kinds: kinds, sink: sink, log: log, core: core, conns: map[int]*conn{}}
	w.next.Fire = func() { w.step() }
	var err error
	w.known, err = readKnown(known, zones, kinds)
	return w, err
}

// ValidateKnown reports what makes no sense in the events known already.
func ValidateKnown(known []byte, zones, kinds []string) error {
	_, err := readKnown(known, zones, kinds)
	return err
}

func readKnown(known []byte, zones, kinds []string) (f Feed, err error) {
	if len(known) == 0 {
		return f, nil
	}
	if err := json.Unmarshal(known, &f); err != nil {
		return f, fmt.Errorf("known events: %w", err)
	}
	for _, e := range f.Items {
		if e.Roster == nil {
			continue
		}
		if _, err := e.read(zones, kinds, false); err != nil {
			return f, fmt.Errorf("known event %d: %w", e.No, err)
		}
	}
	return f, nil
}

// Start hands on the events known already and begins to poll.
func (w *Watcher) Start() {
	if n := len(w.known.Items); n > 0 { // if some are left out of these, nobody has them
		w.gap = w.known.Items[n-1].No
	}
	if err := w.apply(&w.known); err != nil {
		w.log.WithError(err).Error("known events") // New has read them once
	}
	w.known = Feed{}
	w.step(pollplan.Started{HasEndpoints: w.last > 0, Restored: w.old})
}

// Restore has the list of an earlier life taken for what is known, where it is newer. It must be called before Start.
func (w *Watcher) Restore(feed []byte) (newer bool, err error) {
	var f Feed
	if err := json.Unmarshal(feed, &f); err != nil {
		return false, fmt.Errorf("list: %w", err)
	}
	if f.No <= w.known.No {
		return false, nil
	}
	for _, e := range f.Items {
		if e.Roster == nil {
			return false, fmt.Errorf("list: event %d without workers", e.No)
		}
		if _, err := e.read(w.zones, w.kinds, false); err != nil {
			return false, fmt.Errorf("list: %w", err)
		}
	}
	w.known, w.old = f, true
	return true, nil
}

// Snapshot is the number of the last event and the whole list, in the form of a poll's answer. feed may be called
// elsewhere, later.
func (w *Watcher) Snapshot() (no int, feed func() ([]byte, error)) {
	no, all := w.last, slices.SortedFunc(maps.Values(w.list), func(a, b target) int { return strings.Compare(a.UID, b.UID) })
	return no, func() ([]byte, error) {
		return json.Marshal(Feed{No: no, Items: []event{{No: no, Roster: &roster{All: true, Targets: all}}}})
	}
}

// keep keeps an event's list for OnChange.
func (w *Watcher) keep(r *roster) {
	if w.list == nil || r.All {
		w.list = map[string]target{}
	}
	for _, t := range r.Targets {
		if w.list[t.UID] = t; states[t.State] == routing.Gone {
			delete(w.list, t.UID)
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
	for _, a := range slices.Clone(w.core.Step(w.loop.Now(), events...)) {
		switch a := a.(type) {
		case pollplan.Dial:
			c := &conn{w: w, n: a.Conn}
			w.conns[a.Conn] = c
			w.loop.Dial(w.addr, connectIn, c, func(err error) { c.fail(err, 0) })
		case pollplan.Poll:
			// A failed write closes the connection and is seen by Closed.
			_, _ = w.conns[a.Conn].c.Write(fmt.Appendf(nil, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
				w.last, a.Timeout.Milliseconds(), w.addr))
		case pollplan.Close:
			c := w.conns[a.Conn]
			delete(w.conns, a.Conn)
			if c.c != nil {
				_ = c.c.EventLoop().Close(c.c)
			}
		case pollplan.MarkStale:
			if w.OnStale != nil {
				w.OnStale(a.Duration)
			}
		case pollplan.PollOverdue:
			w.log.Warn("bulletin slow: polled once more")
		}
	}
	if at, ok := w.core.Next(); ok {
		w.loop.SetDeadline(&w.next, at)
	} else {
		w.loop.ClearDeadline(&w.next)
	}
}

// take reads an answer and hands on its events.
func (w *Watcher) take(text []byte) error {
	var f Feed
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	// A bulletin that was set up anew since counts from 1 again, and has to tell all.
	if w.old && f.No < w.last {
		w.log.WithFields(logrus.Fields{"event": f.No, "known": w.last}).Warn("bulletin counts anew: the list is read from its beginning")
		w.last = 0
		w.old = false
		return nil
	}
	w.old = false
	return w.apply(&f)
}

// apply hands on events, in order and each once. One that makes no sense is asked for again, and read as far as
// it goes if it comes the same: later ones may say who drains. Where some are left out, who drains may be in those: the
// list is read from its beginning, once.
func (w *Watcher) apply(f *Feed) error {
	before := w.last
	defer func() {
		if w.OnChange != nil && w.last > before { // not between two events: what is kept never gets older
			w.OnChange()
		}
	}()
	for _, e := range f.Items {
		if e.No <= w.last {
			continue
		}
		if w.last > 0 && e.No > w.last+1 && e.No > w.gap && (e.Roster == nil || !e.Roster.All) {
			w.log.WithFields(logrus.Fields{"event": e.No, "known": w.last}).Warn("events left out: the list is read from its beginning")
			w.gap, w.last = e.No, 0
			return nil
		}
		if e.Roster != nil {
			r, err := e.read(w.zones, w.kinds, w.bad == e.No)
			if err != nil {
				w.bad = e.No
				return fmt.Errorf("event %d: %w", e.No, err)
			}
			w.sink(r)
			if w.OnChange != nil {
				w.keep(e.Roster)
			}
			w.log.WithFields(logrus.Fields{"event": e.No, "targets": len(r.Endpoints), "all": r.Full}).
				Info("worker list changed")
		}
		w.last = e.No
	}
	if len(f.Items) == 0 { // else what the answer does not bring is asked for next
		w.last = max(w.last, f.No)
	}
	return nil
}

// open reports whether a connection has not been given up.
func (c *conn) open() bool { return c.w.conns[c.n] == c }

// fail gives up a connection. after is how long the bulletin asked to be left alone.
func (c *conn) fail(err error, after time.Duration) {
	w := c.w
	if !c.open() {
		return
	}
	if !w.down {
		w.down = true
		w.log.WithError(err).Warn("bulletin not heard")
	}
	w.step(pollplan.Failed{Conn: c.n, RetryAfter: after})
}

// Opened reports a connection that is up.
func (c *conn) Opened(gc gnet.Conn) {
	c.c = gc
	if !c.open() { // given up before it was up
		_ = gc.EventLoop().Close(gc)
		return
	}
	c.w.step(pollplan.Connected{Conn: c.n})
}

// Readable reads the answer to a poll.
func (c *conn) Readable(gc gnet.Conn) error {
	w := c.w
	b, err := gc.Peek(-1)
	if err != nil || len(b) == 0 {
		return nil
	}
	body, n, last, err := parse(b)
	if err == nil && n == 0 {
		return nil
	}
	before := w.last
	if err == nil {
		err = w.take(body)
	}
	if err != nil {
		var sent away
		errors.As(err, &sent)
		c.fail(err, sent.after)
		return nil
	}
	if _, err := gc.Discard(n); err != nil {
		return fmt.Errorf("reading on: %w", err)
	}
	if w.down {
		w.down = false
		w.log.Info("bulletin heard again")
	}
	w.step(pollplan.Answered{Conn: c.n, HasUpdates: w.last > before, ConnectionClosing: last})
	if w.last < before { // it is read from its beginning
		w.step(pollplan.Stalled{})
	}
	return nil
}

// Closed has the poll made again.
func (c *conn) Closed(_ gnet.Conn, err error) {
	c.c = nil
	if err == nil {
		err = errors.New("closed")
	}
	c.fail(err, 0)
}
