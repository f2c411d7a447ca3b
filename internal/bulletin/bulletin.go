// Package bulletin follows the bulletin: the numbered events that tell which node agents there are.
package bulletin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"calicohill"
	"calicohill/internal/deadline"
	"calicohill/internal/dispatch"
	"calicohill/internal/loop"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

const (
	// patience is how long a poll asks the bulletin to wait for news. Short, so that a bulletin which has
	// fallen silent is noticed well before what it has to tell counts as told.
	patience = 2 * time.Second
	// overdue is how long after that another poll is made beside one that is not answered. The first stays: a
	// slow bulletin may yet answer it, and might never answer one that is always given up in time.
	overdue = 500 * time.Millisecond
	// forsaken is how long after its making a poll is given up for good, and most how many there may be.
	forsaken = 10 * time.Second
	most     = 4
	// againMin and againMax are the pauses before the next poll where polls fail.
	againMin, againMax = 10 * time.Millisecond, 640 * time.Millisecond
	// connectIn is how long a connection may take to come up.
	connectIn = 250 * time.Millisecond
)

// Feed is the answer to a poll.
type Feed struct {
	No    int     `json:"no"`
	Items []event `json:"items"`
}

type event struct {
	No     int `json:"no"`
	Roster *struct {
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	} `json:"roster"`
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

var states = map[string]calicohill.WorkerState{
	"SERVING": calicohill.Ready, "DRAINING": calicohill.Draining, "DELETED": calicohill.Gone,
}

// roster reads an event's list. A target that makes no sense is an error; with lenient it is read as far as it
// goes, and gets no new work.
func (e *event) roster(zones, kinds []string, lenient bool) (dispatch.Roster, error) {
	r := dispatch.Roster{Full: e.Roster.All}
	for _, t := range e.Roster.Targets {
		state, ok := states[t.State]
		_, _, err := net.SplitHostPort(t.Endpoint)
		if t.UID == "" || !ok || err != nil && state != calicohill.Gone {
			if !lenient {
				return r, fmt.Errorf("target %.40q: state %.20q, endpoint %.40q", t.UID, t.State, t.Endpoint)
			}
			state = calicohill.Draining
		}
		w := calicohill.Worker{ID: t.UID, State: state, Weight: 1, Cell: t.PodGroup,
			Zone: max(slices.Index(zones, t.AZ), 0), Kind: max(slices.Index(kinds, t.Model), 0),
			Started: time.Duration(t.BootMs * float64(time.Millisecond))}
		if t.Capacity != nil {
			w.Weight = *t.Capacity
		}
		r.Entries = append(r.Entries, dispatch.Entry{Worker: w, Addr: t.Endpoint, Model: t.Model, ZoneName: t.AZ})
	}
	return r, nil
}

// Loop is what a Watch needs of the event loop.
type Loop interface {
	dispatch.Loop
	Dial(addr string, timeout time.Duration, p loop.Peer, failed func(error))
}

// Watch keeps a poll open at the bulletin and hands what it brings to a sink.
type Watch struct {
	loop         Loop
	addr         string
	zones, kinds []string
	sink         func(dispatch.Roster)
	log          logrus.FieldLogger

	known Feed
	last  int           // number of the last event
	bad   int           // number of an event that made no sense
	conns []*conn       // with a poll made or about to be, the newest last
	down  bool          // the last poll failed, and that was logged
	pause time.Duration // before the next poll if this one fails
	again deadline.Entry
}

// conn is a connection to the bulletin. It is its loop.Peer.
type conn struct {
	w      *Watch
	c      gnet.Conn // nil until it is up and once it is gone
	asked  time.Duration
	silent bool // its poll is overdue, and another was made
	late   deadline.Entry
}

// New returns a Watch that does nothing until Start. The events known already come in the form of a poll's
// answer.
func New(l Loop, addr string, known []byte, zones, kinds []string, sink func(dispatch.Roster),
	log logrus.FieldLogger) (*Watch, error) {
	w := &Watch{loop: l, addr: addr, zones: zones, kinds: kinds, sink: sink, log: log, pause: againMin}
	w.again.Fire = w.connect
	if len(known) == 0 {
		return w, nil
	}
	if err := json.Unmarshal(known, &w.known); err != nil {
		return nil, fmt.Errorf("known events: %w", err)
	}
	for _, e := range w.known.Items {
		if e.Roster == nil {
			continue
		}
		if _, err := e.roster(zones, kinds, false); err != nil {
			return nil, fmt.Errorf("known event %d: %w", e.No, err)
		}
	}
	return w, nil
}

// Start hands on the events known already and begins to poll.
func (w *Watch) Start() {
	if err := w.apply(&w.known); err != nil {
		w.log.WithError(err).Error("known events") // New has read them once
	}
	w.known = Feed{}
	w.connect()
}

// Move has the bulletin asked at another address from now on. The numbers of its events go on. Polls at the old
// address end at once: it tells nothing more, and one that was waited for would keep the new one from being asked.
func (w *Watch) Move(addr string) {
	if addr == w.addr {
		return
	}
	w.addr, w.pause = addr, againMin
	for len(w.conns) > 0 {
		w.conns[0].leave()
	}
	w.loop.Drop(&w.again)
	w.connect()
}

// take reads an answer and hands on its events.
func (w *Watch) take(text []byte) error {
	var f Feed
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	return w.apply(&f)
}

// apply hands on events, in order and each once. One that makes no sense is asked for again, and read as far as
// it goes if it comes the same: later ones may say who drains.
func (w *Watch) apply(f *Feed) error {
	for _, e := range f.Items {
		if e.No <= w.last {
			continue
		}
		if e.Roster != nil {
			r, err := e.roster(w.zones, w.kinds, w.bad == e.No)
			if err != nil {
				w.bad = e.No
				return fmt.Errorf("event %d: %w", e.No, err)
			}
			w.sink(r)
			w.log.WithFields(logrus.Fields{"event": e.No, "targets": len(r.Entries), "all": r.Full}).
				Info("worker list changed")
		}
		w.last = e.No
	}
	w.last = max(w.last, f.No)
	return nil
}

// connect opens a connection for the next polls.
func (w *Watch) connect() {
	c := &conn{w: w, asked: w.loop.Now()}
	c.late.Fire = c.overdue
	w.conns = append(w.conns, c)
	w.loop.Dial(w.addr, connectIn, c, func(err error) { c.fail(err) })
}

// fail gives up a connection, and has a poll made on a new one if no other is waiting.
func (c *conn) fail(err error) {
	w := c.w
	if !c.leave() {
		return
	}
	if !w.down {
		w.down = true
		w.log.WithError(err).Warn("bulletin not heard")
	}
	if len(w.conns) == 0 || w.conns[len(w.conns)-1].silent {
		w.loop.At(&w.again, w.loop.Now()+w.pause)
		w.pause = min(2*w.pause, againMax)
	}
}

// leave takes a connection out and closes it. It reports false for one that had left before.
func (c *conn) leave() bool {
	i := slices.Index(c.w.conns, c)
	if i < 0 {
		return false
	}
	c.w.conns = slices.Delete(c.w.conns, i, i+1)
	c.w.loop.Drop(&c.late)
	if c.c != nil {
		_ = c.c.EventLoop().Close(c.c)
	}
	return true
}

// overdue makes another poll beside one that is not answered, and in the end gives the old one up.
func (c *conn) overdue() {
	w := c.w
	if c.silent {
		c.fail(errors.New("no answer"))
		return
	}
	c.silent = true
	w.log.Warn("bulletin slow: polled once more")
	w.loop.At(&c.late, c.asked+forsaken)
	if len(w.conns) >= most {
		w.conns[0].leave()
	}
	w.connect()
}

// Open makes the first poll of a connection.
func (c *conn) Open(gc gnet.Conn) {
	c.c = gc
	if !slices.Contains(c.w.conns, c) { // given up before it was up
		_ = gc.EventLoop().Close(gc)
		return
	}
	c.poll()
}

func (c *conn) poll() {
	w := c.w
	c.asked, c.silent = w.loop.Now(), false
	w.loop.At(&c.late, c.asked+patience+overdue)
	// A failed write closes the connection and is seen by Closed.
	_, _ = c.c.Write(fmt.Appendf(nil, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		w.last, patience.Milliseconds(), w.addr))
}

// Traffic reads the answer to a poll and makes the next.
func (c *conn) Traffic(gc gnet.Conn) error {
	w := c.w
	b, err := gc.Peek(-1)
	if err != nil || len(b) == 0 {
		return nil
	}
	body, n, last, err := parse(b)
	if err == nil && n == 0 {
		return nil
	}
	if err == nil {
		err = w.take(body)
	}
	if err != nil {
		c.fail(err)
		return nil
	}
	if _, err := gc.Discard(n); err != nil {
		return fmt.Errorf("reading on: %w", err)
	}
	w.pause = againMin
	if w.down {
		w.down = false
		w.log.Info("bulletin heard again")
	}
	switch {
	case c.silent: // another poll waits already
		c.leave()
	case last:
		c.leave()
		w.connect()
	default:
		c.poll()
	}
	return nil
}

// Closed has the poll made again.
func (c *conn) Closed(_ gnet.Conn, err error) {
	c.c = nil
	if err == nil {
		err = errors.New("closed")
	}
	c.fail(err)
}
