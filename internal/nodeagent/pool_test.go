package nodeagent_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"calicohill/internal/nodeagent"
	"calicohill/routing"
)

// An attempt that is written to a connection with unsent data would be sent when it can't be taken back any more: its
// client may have left by then, or its worker begun to drain. It goes to another connection.
func TestNothingWaitsBehindABlockedConnection(t *testing.T) {
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
		t.Errorf("%q waits to be sent, after %q, want no further attempt", first.buffered.String(), unsent)
	}
}

// A worker without a connection gets one at the limit of connections, as long as another is idle.
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
		t.Fatalf("%d dials, closed: %v and %v, want one dial in place of the connection that is idle", len(loop.dials), conns[0].closed, conns[1].closed)
	}
	if c := loop.completeDial(); !strings.HasPrefix(c.sent.String(), "go "+attempt(3, "c").ID) || len(sink) != 0 {
		t.Errorf("%q was sent, outcomes %v", c.sent.String(), sink)
	}
}

// Dials wait for descriptors and start in order as others succeed or fail.
func TestDialsWaitForDescriptors(t *testing.T) {
	pool, loop, sink := newPool(nodeagent.Options{MaxConns: 8, MaxDescriptors: 4}, "a", "b", "c", "d")
	for i, id := range []string{"a", "b", "c", "d"} {
		pool.Send(attempt(i+1, id))
	}
	if len(loop.dials) != 2 {
		t.Fatalf("%d dials with four descriptors, each needs two", len(loop.dials))
	}
	failed := loop.dials[0].onFailure
	loop.dials = loop.dials[1:]
	failed(errors.New("no"))
	if len(loop.dials) != 2 || loop.dials[1].addr != "c" || sink[1] != routing.ConnectFailed {
		t.Fatalf("dials %v after one failed, outcomes %v", loop.dials, sink)
	}
	b := loop.completeDial() // a connection and a dial leave one descriptor: d waits on
	if len(loop.dials) != 1 {
		t.Fatalf("%d dials beside a connection and a dial", len(loop.dials))
	}
	c := loop.completeDial()
	if len(loop.dials) != 1 || loop.dials[0].addr != "d" {
		t.Fatalf("dials %v when the third is up", loop.dials)
	}
	for _, w := range []*fakeConn{b, c, loop.completeDial()} {
		if !strings.HasPrefix(w.sent.String(), "go ") {
			t.Errorf("nothing was sent to %s", w.addr)
		}
	}
}

// A dial that fails ends only the attempts that no other connection can carry by then.
func TestDialFailsBesideAConnection(t *testing.T) {
	pool, loop, sink := newPool(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30}, "a")
	pool.Send(attempt(1, "a"))
	first := loop.completeDial()
	first.blocked = true
	first.buffered.WriteString("x") // nothing more can be sent for a while
	pool.Send(attempt(2, "a"))
	if len(loop.dials) != 1 {
		t.Fatalf("%d dials, want one for the attempt that can't be written", len(loop.dials))
	}
	first.blocked = false
	first.buffered.Reset()
	loop.dials[0].onFailure(errors.New("late"))
	if !strings.Contains(first.sent.String(), "go "+attempt(2, "a").ID) || len(sink) != 0 {
		t.Errorf("sent %q, outcomes %v, want the attempt on the other connection", first.sent.String(), sink)
	}
}
