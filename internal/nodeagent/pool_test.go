package nodeagent_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"calicohill/internal/nodeagent"
	"calicohill/routing"
)

// TestNoCallIsBufferedOnBlockedConnection fails if an attempt is written to a connection that has unsent data. Such an
// attempt cannot be withdrawn, and is sent even if its client has disconnected or its worker has started draining.
func TestNoCallIsBufferedOnBlockedConnection(t *testing.T) {
	pool, loop, _ := newPool(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30}, "a")
	pool.Send(attempt(1, "a"))
	first := loop.completeDial()
	first.blocked = true
	pool.Send(attempt(2, "a"))
	unsent := first.buffered.String()
	for len(loop.dials) > 0 {
		loop.completeDial()
	}
	pool.Cancel(1)
	pool.Cancel(2)
	pool.Send(attempt(3, "a"))
	if first.buffered.Len() == 0 || strings.Contains(first.buffered.String(), "go "+attempt(3, "a").ID) {
		t.Errorf("outbound buffer %q, want no attempt after %q", first.buffered.String(), unsent)
	}
}

// TestIdleConnectionIsClosedAtLimit fails if a worker without a connection gets none at the connection limit although
// another connection is idle.
func TestIdleConnectionIsClosedAtLimit(t *testing.T) {
	pool, loop, sink := newPool(nodeagent.Options{MaxConns: 2, MaxDescriptors: 30}, "a", "b", "c")
	var conns []*fakeConn
	for i, id := range []string{"a", "b"} {
		pool.Send(attempt(i+1, id))
		conns = append(conns, loop.completeDial())
		loop.now += time.Second
	}
	pool.Cancel(1)
	pool.Send(attempt(3, "c"))
	if len(loop.dials) != 1 || !conns[0].closed || conns[1].closed {
		t.Fatalf("%d dials, closed: %v and %v, want the idle connection closed and one dial", len(loop.dials), conns[0].closed, conns[1].closed)
	}
	if c := loop.completeDial(); !strings.HasPrefix(c.sent.String(), "go "+attempt(3, "c").ID) || len(sink) != 0 {
		t.Errorf("%q was sent, outcomes %v", c.sent.String(), sink)
	}
}

// TestDialsWaitForDescriptors fails if dials exceed the limit on file descriptors, or if queued dials do not start in
// order when earlier dials succeed or fail.
func TestDialsWaitForDescriptors(t *testing.T) {
	pool, loop, sink := newPool(nodeagent.Options{MaxConns: 8, MaxDescriptors: 4}, "a", "b", "c", "d")
	for i, id := range []string{"a", "b", "c", "d"} {
		pool.Send(attempt(i+1, id))
	}
	if len(loop.dials) != 2 {
		t.Fatalf("%d dials with four descriptors, want 2, since each needs two", len(loop.dials))
	}
	failed := loop.dials[0].onFailure
	loop.dials = loop.dials[1:]
	failed(errors.New("no"))
	if len(loop.dials) != 2 || loop.dials[1].addr != "c" || sink[1] != routing.ConnectFailed {
		t.Fatalf("dials %v after a failed dial, outcomes %v", loop.dials, sink)
	}
	b := loop.completeDial() // a connection and a dial leave one descriptor: d still waits
	if len(loop.dials) != 1 {
		t.Fatalf("%d dials with one connection open, want 1", len(loop.dials))
	}
	c := loop.completeDial()
	if len(loop.dials) != 1 || loop.dials[0].addr != "d" {
		t.Fatalf("dials %v after the third worker is connected", loop.dials)
	}
	for _, w := range []*fakeConn{b, c, loop.completeDial()} {
		if !strings.HasPrefix(w.sent.String(), "go ") {
			t.Errorf("nothing was sent to %s", w.addr)
		}
	}
}

// TestFailedDialUsesOpenConnection fails if a failed dial ends an attempt that another connection can carry.
func TestFailedDialUsesOpenConnection(t *testing.T) {
	pool, loop, sink := newPool(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30}, "a")
	pool.Send(attempt(1, "a"))
	first := loop.completeDial()
	first.blocked = true
	first.buffered.WriteString("x") // the connection is blocked
	pool.Send(attempt(2, "a"))
	if len(loop.dials) != 1 {
		t.Fatalf("%d dials, want one for the attempt that cannot be written", len(loop.dials))
	}
	first.blocked = false
	first.buffered.Reset()
	loop.dials[0].onFailure(errors.New("late"))
	if !strings.Contains(first.sent.String(), "go "+attempt(2, "a").ID) || len(sink) != 0 {
		t.Errorf("sent %q, outcomes %v, want the attempt on the open connection", first.sent.String(), sink)
	}
}
