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
	// overdue is how long after that an answer may come until the poll is given up.
	overdue = 500 * time.Millisecond
	// again is the pause before the next poll where the last one failed.
	again = 20 * time.Millisecond
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

// roster reads an event's list.
func (e *event) roster(zones, kinds []string) (dispatch.Roster, error) {
	r := dispatch.Roster{Full: e.Roster.All}
	for _, t := range e.Roster.Targets {
		state, ok := states[t.State]
		if !ok || t.UID == "" {
			return r, fmt.Errorf("target %.40q: state %.20q", t.UID, t.State)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && state != calicohill.Gone {
			return r, fmt.Errorf("target %.40q: %w", t.UID, err)
		}
		w := calicohill.Worker{ID: t.UID, State: state, Weight: 1, Cell: t.PodGroup,
			Zone: max(slices.Index(zones, t.AZ), 0), Kind: max(slices.Index(kinds, t.Model), 0),
			Started: time.Duration(t.BootMs * float64(time.Millisecond))}
		if t.Capacity != nil {
			w.Weight = *t.Capacity
		}
		r.Entries = append(r.Entries, dispatch.Entry{Worker: w, Addr: t.Endpoint})
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

	last    int // number of the last event
	c       *conn
	down    bool // the last poll failed, and that was logged
	overdue deadline.Entry
	again   deadline.Entry
}

// conn is a connection to the bulletin. It is its loop.Peer.
type conn struct {
	w *Watch
	c gnet.Conn
}

// New returns a Watch that does nothing until Start.
func New(l Loop, addr string, zones, kinds []string, sink func(dispatch.Roster), log logrus.FieldLogger) *Watch {
	w := &Watch{loop: l, addr: addr, zones: zones, kinds: kinds, sink: sink, log: log}
	w.overdue.Fire = func() { w.fail(errors.New("no answer")) }
	w.again.Fire = w.connect
	return w
}

// Start takes in the events known already, in the form of a poll's answer, and begins to poll.
func (w *Watch) Start(known []byte) error {
	if len(known) > 0 {
		if err := w.take(known); err != nil {
			return fmt.Errorf("known events: %w", err)
		}
	}
	w.connect()
	return nil
}

// take hands on the events of an answer, in order and each once.
func (w *Watch) take(text []byte) error {
	var f Feed
	if err := json.Unmarshal(text, &f); err != nil {
		return err
	}
	for _, e := range f.Items {
		if e.No <= w.last {
			continue
		}
		if e.Roster != nil {
			r, err := e.roster(w.zones, w.kinds)
			if err != nil {
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

// connect opens a connection for the next polls. One that comes up too late is closed by its Open.
func (w *Watch) connect() {
	c := &conn{w: w}
	w.c = c
	w.loop.At(&w.overdue, w.loop.Now()+connectIn+overdue)
	w.loop.Dial(w.addr, connectIn, c, func(err error) {
		if w.c == c {
			w.fail(err)
		}
	})
}

// fail gives up a poll and has it made again at once, on a new connection.
func (w *Watch) fail(err error) {
	if !w.down {
		w.down = true
		w.log.WithError(err).Warn("bulletin not heard")
	}
	c := w.c
	w.c = nil
	if c != nil && c.c != nil {
		_ = c.c.EventLoop().Close(c.c)
	}
	w.loop.Drop(&w.overdue)
	w.loop.At(&w.again, w.loop.Now()+again)
}

// Open makes the first poll of a connection.
func (c *conn) Open(gc gnet.Conn) {
	c.c = gc
	if c.w.c != c {
		_ = gc.EventLoop().Close(gc)
		return
	}
	c.poll()
}

func (c *conn) poll() {
	w := c.w
	w.loop.At(&w.overdue, w.loop.Now()+patience+overdue)
	// A failed write closes the connection and is seen by Closed.
	_, _ = c.c.Write(fmt.Appendf(nil, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		w.last, patience.Milliseconds(), w.addr))
}

// Traffic reads the answer to a poll and makes the next.
func (c *conn) Traffic(gc gnet.Conn) error {
	w := c.w
	if w.c != c {
		return errHTTP
	}
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
		w.fail(err)
		return nil
	}
	if _, err := gc.Discard(n); err != nil {
		return fmt.Errorf("reading on: %w", err)
	}
	if w.down {
		w.down = false
		w.log.Info("bulletin heard again")
	}
	if last {
		w.c = nil
		w.connect()
		return errHTTP
	}
	c.poll()
	return nil
}

// Closed has the poll made again.
func (c *conn) Closed(_ gnet.Conn, err error) {
	c.c = nil
	if c.w.c != c {
		return
	}
	if err == nil {
		err = errors.New("closed")
	}
	c.w.fail(err)
}
