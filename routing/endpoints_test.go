package routing

import (
	"fmt"
	"testing"
	"time"
)

// Rule 3: nothing new to a worker that drains or is gone, from the moment it is told.
func TestDrains(t *testing.T) {
	for _, state := range []WorkerState{Draining, Gone} {
		b := newHarness(t, settings(loadsAllowed), readyWorkers(3)...)
		s := b.send("a", "f")
		b.step(50*millisecond, attemptEnd(s, 0, Served))
		b.step(millisecond, WorkerList{Workers: []Worker{{ID: s.Worker, State: state}}})
		for i := range 20 {
			for _, a := range b.step(10*millisecond, newTestRequest(fmt.Sprint("b", i), "f"), TimerFired{tickToken}) {
				if to, ok := a.(Send); ok && to.Worker == s.Worker {
					t.Errorf("state %d: sent to %s", state, s.Worker)
				}
				if to, ok := a.(Load); ok && to.Worker == s.Worker {
					t.Errorf("state %d: order to load at %s", state, s.Worker)
				}
			}
		}
	}
	b := newHarness(t, settings(), readyWorkers(2)...)
	b.step(millisecond, WorkerList{Kind: ListFull, Workers: readyWorkers(1)})
	for i := range 20 {
		if s := b.send(fmt.Sprint("c", i), fmt.Sprint("f", i)); s.Worker != "w0" {
			t.Fatalf("sent to %s, which a full list no longer names", s.Worker)
		}
		b.step(millisecond, attemptEnd(Send{ID: fmt.Sprint("c", i), Worker: "w0"}, 0, Served))
	}
}

// After a stall nothing is sent until the list is known to be good again, or that takes too long; what cannot wait so
// long is refused in time.
func TestNothingIsSentByAnOldList(t *testing.T) {
	b := newHarness(t, settings(), readyWorkers(2)...)
	b.step(millisecond, EndpointsStale{Duration: 250 * millisecond})
	if got := actionsOf[Send](append(b.step(millisecond, newTestRequest("a", "f")), b.wait(200*millisecond)...)); len(got) > 0 {
		t.Fatalf("sent by a list that may be old: %v", got)
	}
	if got := actionsOf[Send](b.step(millisecond, EndpointsStale{})); len(got) != 1 {
		t.Errorf("%d sends once the list is good, want 1", len(got))
	}
	b.step(millisecond, EndpointsStale{Duration: 250 * millisecond})
	short := newTestRequest("b", "f")
	short.TimeLeft = 100 * millisecond
	got := append(b.step(millisecond, short, newTestRequest("c", "g")), b.wait(300*millisecond)...)
	if s := actionsOf[Send](got); len(s) != 1 || s[0].ID != "c" {
		t.Errorf("sent after the bound on waiting: %v, want c alone", s)
	}
	if r := actionsOf[Reject](got); len(r) != 1 || r[0].ID != "b" {
		t.Errorf("refused: %v, want b, whose time ran out", r)
	}
}

func TestNewStartIsEmpty(t *testing.T) {
	b := newHarness(t, settings(), readyWorkers(2)...)
	s := b.send("a", "f")
	b.step(50*millisecond, attemptEnd(s, 0, Served))
	p := b.router.functions["f"].placementAt(b.router.workers[s.Worker])
	if !b.router.isWarm(p) {
		t.Fatal("not believed warm after a served answer")
	}
	b.step(millisecond, WorkerList{Workers: []Worker{{ID: s.Worker, State: Ready, Started: b.now}}})
	if b.router.isWarm(p) {
		t.Error("still believed warm after a new start")
	}
}

// Workers that are gone, and what was known of them, are forgotten in the end; one that is back is as good as new.
func TestGoneWorkersAreForgotten(t *testing.T) {
	b := newHarness(t, settings(), readyWorker("stays", 0))
	for i := range 50 {
		id := fmt.Sprintf("w%d", i)
		b.step(millisecond, WorkerList{Kind: ListFull, Workers: []Worker{readyWorker(id, 0)}})
		s := b.send(fmt.Sprint("q", i), "f")
		b.step(millisecond, attemptEnd(s, 0, Served))
	}
	b.step(millisecond, WorkerList{Kind: ListChanges, Workers: []Worker{{ID: "w49", State: Gone}, readyWorker("stays", 0)}})
	b.wait(10 * time.Second)
	if n, m, p := len(b.router.workerList), len(b.router.workers), len(b.router.functions["f"].placements); n != 1 || m != 1 || p > 1 {
		t.Errorf("%d and %d workers and %d pairs are kept, want those of one worker", n, m, p)
	}
	if s := b.send("last", "f"); s.Worker != "stays" {
		t.Errorf("sent to %s", s.Worker)
	}
}
