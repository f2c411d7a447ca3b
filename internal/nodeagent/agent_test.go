package nodeagent

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

// plainLoop keeps the dials for the test to end.
type plainLoop struct {
	now       time.Duration
	deadlines deadline.Queue
	dials     []dial
}

type dial struct {
	addr   string
	peer   eventloop.ConnHandler
	failed func(error)
}

func (l *plainLoop) Now() time.Duration                              { return l.now }
func (l *plainLoop) Post(fn func())                                  { fn() }
func (l *plainLoop) SetDeadline(e *deadline.Timer, at time.Duration) { l.deadlines.Set(e, at) }
func (l *plainLoop) ClearDeadline(e *deadline.Timer)                 { l.deadlines.Remove(e) }
func (l *plainLoop) Dial(addr string, _ time.Duration, p eventloop.ConnHandler, failed func(error)) {
	l.dials = append(l.dials, dial{addr, p, failed})
}

// up has the oldest dial come up.
func (l *plainLoop) up() *wire {
	d := l.dials[0]
	l.dials = l.dials[1:]
	w := &wire{peer: d.peer, addr: d.addr}
	d.peer.Opened(w)
	return w
}

// wire is a connection that takes all that is written, unless it is blocked.
type wire struct {
	gnet.Conn
	peer    eventloop.ConnHandler
	addr    string
	blocked bool
	sent    strings.Builder
	kept    strings.Builder // what waits to be sent
	closed  bool
}

func (w *wire) Write(b []byte) (int, error) {
	if w.blocked {
		return w.kept.Write(b)
	}
	return w.sent.Write(b)
}
func (w *wire) OutboundBuffered() int     { return w.kept.Len() }
func (w *wire) EventLoop() gnet.EventLoop { return closer{wire: w} }

// closer is the event loop of a wire.
type closer struct {
	gnet.EventLoop
	wire *wire
}

func (c closer) Close(gnet.Conn) error {
	if w := c.wire; !w.closed {
		w.closed = true
		w.peer.Closed(w, nil)
	}
	return nil
}

// ends is a Sink to which every attempt is allowed.
type ends map[slotmap.Ref]routing.Outcome

func (ends) MaySend(slotmap.Ref) bool                                 { return true }
func (s ends) AttemptEnded(ref slotmap.Ref, e dispatch.AttemptResult) { s[ref] = e.Outcome }
func (ends) ProbeEnded(string, time.Duration, dispatch.AttemptResult) {}

func newPool(o Options, workers ...string) (*Pool, *plainLoop, ends) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Classes, o.PipelineDepth, o.Schedulers = []string{"consulta"}, 100, 1
	o.IdleCloseAfter, o.ConnectTimeout, o.MaxAnswerBytes = 15*time.Second, 250*time.Millisecond, 1<<20
	l, sink := &plainLoop{now: time.Hour}, ends{}
	p := New(l, sink, o, log)
	var r dispatch.EndpointList
	for _, id := range workers {
		r.Endpoints = append(r.Endpoints, dispatch.Endpoint{Worker: routing.Worker{ID: id, State: routing.Ready}, Addr: id})
	}
	p.UpdateEndpoints(r)
	return p, l, sink
}

func attempt(n int, worker string) dispatch.Attempt {
	return dispatch.Attempt{
		Ref: slotmap.Ref(n), Worker: worker, ID: strings.Repeat("0", 15) + string(rune('0'+n)), Function: "f",
		Timeout: time.Second,
	}
}

// What is written to a connection on which something waits to be sent would be sent when nobody can take it back any
// more: its client may have left by then, or its worker drain. It goes on another.
func TestNothingWaitsBehindABlockedConnection(t *testing.T) {
	p, l, _ := newPool(Options{MaxConns: 10, MaxDescriptors: 30}, "a")
	p.Send(attempt(1, "a"))
	first := l.up()
	first.blocked = true
	p.Send(attempt(2, "a"))
	waits := first.kept.String()
	for len(l.dials) > 0 {
		l.up()
	}
	p.Cancel(1)
	p.Cancel(2)
	p.Send(attempt(3, "a"))
	if first.kept.Len() == 0 || strings.Contains(first.kept.String(), "go "+attempt(3, "a").ID) {
		t.Errorf("%q waits to be sent, after %q, want no further request", first.kept.String(), waits)
	}
}

// A worker without a connection gets one where there are as many as may be, as long as some rest.
func TestRestingConnectionsMakeRoom(t *testing.T) {
	p, l, sink := newPool(Options{MaxConns: 2, MaxDescriptors: 30}, "a", "b", "c")
	var conns []*wire
	for i, id := range []string{"a", "b"} {
		p.Send(attempt(i+1, id))
		conns = append(conns, l.up())
		l.now += time.Second
	}
	p.Cancel(1)
	p.Send(attempt(3, "c"))
	if len(l.dials) != 1 || !conns[0].closed || conns[1].closed {
		t.Fatalf("%d dials, closed: %v and %v, want one dial in place of the connection that rests", len(l.dials), conns[0].closed, conns[1].closed)
	}
	if c := l.up(); !strings.HasPrefix(c.sent.String(), "go "+attempt(3, "c").ID) || len(sink) != 0 {
		t.Errorf("%q was sent, ends %v", c.sent.String(), sink)
	}
}

// Dials wait for descriptors, and go on in turn as others end, whichever way.
func TestDialsWaitForDescriptors(t *testing.T) {
	p, l, sink := newPool(Options{MaxConns: 8, MaxDescriptors: 4}, "a", "b", "c", "d")
	for i, id := range []string{"a", "b", "c", "d"} {
		p.Send(attempt(i+1, id))
	}
	if len(l.dials) != 2 {
		t.Fatalf("%d dials with four descriptors, each needs two", len(l.dials))
	}
	failed := l.dials[0].failed
	l.dials = l.dials[1:]
	failed(errors.New("no"))
	if len(l.dials) != 2 || l.dials[1].addr != "c" || sink[1] != routing.ConnectFailed {
		t.Fatalf("dials %v after one failed, ends %v", l.dials, sink)
	}
	b := l.up() // a connection and a dial leave one descriptor: d waits on
	if len(l.dials) != 1 {
		t.Fatalf("%d dials beside a connection and a dial", len(l.dials))
	}
	c := l.up()
	if len(l.dials) != 1 || l.dials[0].addr != "d" {
		t.Fatalf("dials %v when the third is up", l.dials)
	}
	for _, w := range []*wire{b, c, l.up()} {
		if !strings.HasPrefix(w.sent.String(), "go ") {
			t.Errorf("nothing was sent to %s", w.addr)
		}
	}
}

// A dial that fails takes along what could not go elsewhere meanwhile, and nothing else.
func TestDialFailsBesideAConnection(t *testing.T) {
	p, l, sink := newPool(Options{MaxConns: 10, MaxDescriptors: 30}, "a")
	p.Send(attempt(1, "a"))
	first := l.up()
	first.blocked = true
	first.kept.WriteString("x") // it takes nothing for a while
	p.Send(attempt(2, "a"))
	if len(l.dials) != 1 {
		t.Fatalf("%d dials, want one for what can't be written", len(l.dials))
	}
	first.blocked = false
	first.kept.Reset()
	l.dials[0].failed(errors.New("late"))
	if !strings.Contains(first.sent.String(), "go "+attempt(2, "a").ID) || len(sink) != 0 {
		t.Errorf("sent %q, ends %v, want it on the connection that there is", first.sent.String(), sink)
	}
}
