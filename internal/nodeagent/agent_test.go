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
type fakeLoop struct {
	now       time.Duration
	deadlines deadline.Queue
	dials     []pendingDial
}

type pendingDial struct {
	addr      string
	handler   eventloop.ConnHandler
	onFailure func(error)
}

func (l *fakeLoop) Now() time.Duration                              { return l.now }
func (l *fakeLoop) Post(fn func())                                  { fn() }
func (l *fakeLoop) SetDeadline(e *deadline.Timer, at time.Duration) { l.deadlines.Set(e, at) }
func (l *fakeLoop) ClearDeadline(e *deadline.Timer)                 { l.deadlines.Remove(e) }
func (l *fakeLoop) Dial(addr string, _ time.Duration, p eventloop.ConnHandler, failed func(error)) {
	l.dials = append(l.dials, pendingDial{addr, p, failed})
}

// up has the oldest dial come up.
func (l *fakeLoop) completeDial() *fakeConn {
	d := l.dials[0]
	l.dials = l.dials[1:]
	w := &fakeConn{handler: d.handler, addr: d.addr}
	d.handler.Opened(w)
	return w
}

// wire is a connection that takes all that is written, unless it is blocked.
type fakeConn struct {
	gnet.Conn
	handler  eventloop.ConnHandler
	addr     string
	blocked  bool
	sent     strings.Builder
	buffered strings.Builder // what waits to be sent
	closed   bool
}

func (w *fakeConn) Write(b []byte) (int, error) {
	if w.blocked {
		return w.buffered.Write(b)
	}
	return w.sent.Write(b)
}
func (w *fakeConn) OutboundBuffered() int     { return w.buffered.Len() }
func (w *fakeConn) EventLoop() gnet.EventLoop { return fakeEventLoop{conn: w} }

// closer is the event loop of a wire.
type fakeEventLoop struct {
	gnet.EventLoop
	conn *fakeConn
}

func (c fakeEventLoop) Close(gnet.Conn) error {
	if w := c.conn; !w.closed {
		w.closed = true
		w.handler.Closed(w, nil)
	}
	return nil
}

// ends is a Sink to which every attempt is allowed.
type recordingSink map[slotmap.Ref]routing.Outcome

func (recordingSink) MaySend(slotmap.Ref) bool                                 { return true }
func (s recordingSink) AttemptEnded(ref slotmap.Ref, e dispatch.AttemptResult) { s[ref] = e.Outcome }
func (recordingSink) ProbeEnded(string, time.Duration, dispatch.AttemptResult) {}

func newPool(o Options, workers ...string) (*Pool, *fakeLoop, recordingSink) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Classes, o.PipelineDepth, o.Schedulers = []string{"consulta"}, 100, 1
	o.IdleCloseAfter, o.ConnectTimeout, o.MaxAnswerBytes = 15*time.Second, 250*time.Millisecond, 1<<20
	l, sink := &fakeLoop{now: time.Hour}, recordingSink{}
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
	first := l.completeDial()
	first.blocked = true
	p.Send(attempt(2, "a"))
	waits := first.buffered.String()
	for len(l.dials) > 0 {
		l.completeDial()
	}
	p.Cancel(1)
	p.Cancel(2)
	p.Send(attempt(3, "a"))
	if first.buffered.Len() == 0 || strings.Contains(first.buffered.String(), "go "+attempt(3, "a").ID) {
		t.Errorf("%q waits to be sent, after %q, want no further request", first.buffered.String(), waits)
	}
}

// A worker without a connection gets one where there are as many as may be, as long as some rest.
func TestRestingConnectionsMakeRoom(t *testing.T) {
	p, l, sink := newPool(Options{MaxConns: 2, MaxDescriptors: 30}, "a", "b", "c")
	var conns []*fakeConn
	for i, id := range []string{"a", "b"} {
		p.Send(attempt(i+1, id))
		conns = append(conns, l.completeDial())
		l.now += time.Second
	}
	p.Cancel(1)
	p.Send(attempt(3, "c"))
	if len(l.dials) != 1 || !conns[0].closed || conns[1].closed {
		t.Fatalf("%d dials, closed: %v and %v, want one dial in place of the connection that rests", len(l.dials), conns[0].closed, conns[1].closed)
	}
	if c := l.completeDial(); !strings.HasPrefix(c.sent.String(), "go "+attempt(3, "c").ID) || len(sink) != 0 {
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
	failed := l.dials[0].onFailure
	l.dials = l.dials[1:]
	failed(errors.New("no"))
	if len(l.dials) != 2 || l.dials[1].addr != "c" || sink[1] != routing.ConnectFailed {
		t.Fatalf("dials %v after one failed, ends %v", l.dials, sink)
	}
	b := l.completeDial() // a connection and a dial leave one descriptor: d waits on
	if len(l.dials) != 1 {
		t.Fatalf("%d dials beside a connection and a dial", len(l.dials))
	}
	c := l.completeDial()
	if len(l.dials) != 1 || l.dials[0].addr != "d" {
		t.Fatalf("dials %v when the third is up", l.dials)
	}
	for _, w := range []*fakeConn{b, c, l.completeDial()} {
		if !strings.HasPrefix(w.sent.String(), "go ") {
			t.Errorf("nothing was sent to %s", w.addr)
		}
	}
}

// A dial that fails takes along what could not go elsewhere meanwhile, and nothing else.
func TestDialFailsBesideAConnection(t *testing.T) {
	p, l, sink := newPool(Options{MaxConns: 10, MaxDescriptors: 30}, "a")
	p.Send(attempt(1, "a"))
	first := l.completeDial()
	first.blocked = true
	first.buffered.WriteString("x") // it takes nothing for a while
	p.Send(attempt(2, "a"))
	if len(l.dials) != 1 {
		t.Fatalf("%d dials, want one for what can't be written", len(l.dials))
	}
	first.blocked = false
	first.buffered.Reset()
	l.dials[0].onFailure(errors.New("late"))
	if !strings.Contains(first.sent.String(), "go "+attempt(2, "a").ID) || len(sink) != 0 {
		t.Errorf("sent %q, ends %v, want it on the connection that there is", first.sent.String(), sink)
	}
}
