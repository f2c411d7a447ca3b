package nodeagent_test

import (
	"strings"
	"testing"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/nodeagent"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

const (
	endedCallMemory = 1 << 10
	maxEndedCalls   = endedCallMemory / 128
)

// Guards against memory that grows with the requests that clients withdraw: the ID of each was kept for 3 s, however
// many there were.
func TestEndedCallsAreBounded(t *testing.T) {
	pool, loop, _ := newPool(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30, EndedCallMemory: endedCallMemory}, "a")
	for i := range 100 * maxEndedCalls {
		pool.Send(dispatch.Attempt{Ref: slotmap.Ref(i + 1), Worker: "a", ID: strings.Repeat("x", i+1), Function: "f"})
		for len(loop.dials) > 0 {
			loop.completeDial()
		}
		pool.Cancel(slotmap.Ref(i + 1))
	}
	if got := pool.Usage().RecentlyEnded; got > maxEndedCalls {
		t.Errorf("%d IDs of ended calls are held, want at most %d", got, maxEndedCalls)
	}
}

// Guards against a late response that is mistaken for the response to another attempt with the same ID: a connection on
// which an ID was forgotten before its time carries no further calls. Those in flight on it are still answered.
func TestConnectionWithForgottenIDIsDrained(t *testing.T) {
	pool, loop, sink := newPool(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30, EndedCallMemory: endedCallMemory}, "a")
	const inFlight, firstCanceled = 1, 2
	pool.Send(attempt(inFlight, "a"))
	first := loop.completeDial()
	for i := range maxEndedCalls + 1 {
		pool.Send(dispatch.Attempt{Ref: slotmap.Ref(firstCanceled + i), Worker: "a", ID: strings.Repeat("x", i+1), Function: "f"})
		pool.Cancel(slotmap.Ref(firstCanceled + i))
	}
	const again slotmap.Ref = 100
	pool.Send(dispatch.Attempt{Ref: again, Worker: "a", ID: "x", Function: "f"})
	if got := strings.Count(first.sent.String(), "go x "); got != 1 {
		t.Errorf("the forgotten ID was sent %d times on its connection, want once", got)
	}
	if err := first.receive(attempt(inFlight, "a").ID + " OK - 0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if outcome, ok := sink[inFlight]; !ok || outcome != routing.Served {
		t.Errorf("the attempt in flight ended: %v, with %v; want it served", ok, outcome)
	}
	if !first.closed {
		t.Error("the drained connection stays open after its last call")
	}
}

// Guards against IDs that are held for longer than a late response may arrive.
func TestEndedCallsExpire(t *testing.T) {
	const lateResponseSeconds = 3
	pool, loop, _ := newPool(nodeagent.Options{MaxConns: 10, MaxDescriptors: 30}, "a")
	pool.Send(attempt(1, "a"))
	connection := loop.completeDial()
	pool.Cancel(1)
	loop.advance(lateResponseSeconds * time.Second)
	pool.Send(attempt(2, "a"))
	pool.Cancel(2)
	if got := pool.Usage().RecentlyEnded; got != 1 {
		t.Errorf("%d IDs of ended calls are held after 3 s, want that of the second", got)
	}
	if connection.closed {
		t.Error("the connection was closed")
	}
}
