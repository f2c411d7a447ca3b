package routing

import (
	"fmt"
	"testing"
	"time"
)

// Nothing to draining workers: no request and no order to load goes to a worker from the moment it is listed as
// draining or gone, or a full list leaves it out.
func TestNothingIsSentToDrainingWorkers(t *testing.T) {
	for _, state := range []WorkerState{Draining, Gone} {
		harness := newHarness(t, settings(loadsAllowed), readyWorkers(3)...)
		sent := harness.send("a", "f")
		harness.step(50*millisecond, attemptEnd(sent, 0, Served))
		harness.step(millisecond, WorkerList{Workers: []Worker{{ID: sent.Worker, State: state}}})
		for i := range 20 {
			for _, a := range harness.step(10*millisecond, newTestRequest(fmt.Sprint("b", i), "f"), TimerFired{tickToken}) {
				if to, ok := a.(Send); ok && to.Worker == sent.Worker {
					t.Errorf("state %d: sent to %s", state, sent.Worker)
				}
				if to, ok := a.(Load); ok && to.Worker == sent.Worker {
					t.Errorf("state %d: load ordered at %s", state, sent.Worker)
				}
			}
		}
	}
	harness := newHarness(t, settings(), readyWorkers(2)...)
	harness.step(millisecond, WorkerList{Kind: ListFull, Workers: readyWorkers(1)})
	for i := range 20 {
		if sent := harness.send(fmt.Sprint("c", i), fmt.Sprint("f", i)); sent.Worker != "w0" {
			t.Fatalf("sent to %s, which a full list no longer names", sent.Worker)
		}
		harness.step(millisecond, attemptEnd(Send{ID: fmt.Sprint("c", i), Worker: "w0"}, 0, Served))
	}
}

// While the endpoint list may be stale nothing is sent, until it is known to be fresh or the time that EndpointsStale
// allows has passed. A request whose client does not wait that long is rejected.
func TestStaleEndpointsHoldSends(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	harness.step(millisecond, EndpointsStale{Duration: 250 * millisecond})
	acts := append(harness.step(millisecond, newTestRequest("a", "f")), harness.wait(200*millisecond)...)
	if got := actionsOf[Send](acts); len(got) > 0 {
		t.Fatalf("sent while the endpoint list may be stale: %v", got)
	}
	if got := actionsOf[Send](harness.step(millisecond, EndpointsStale{})); len(got) != 1 {
		t.Errorf("%d sends once the list is fresh, want 1", len(got))
	}
	harness.step(millisecond, EndpointsStale{Duration: 250 * millisecond})
	short := newTestRequest("b", "f")
	short.TimeLeft = 100 * millisecond
	got := append(harness.step(millisecond, short, newTestRequest("c", "g")), harness.wait(300*millisecond)...)
	if s := actionsOf[Send](got); len(s) != 1 || s[0].ID != "c" {
		t.Errorf("sent after the longest wait: %v, want c alone", s)
	}
	if r := actionsOf[Reject](got); len(r) != 1 || r[0].ID != "b" {
		t.Errorf("rejected: %v, want b, whose time ran out", r)
	}
}

// A worker that restarted has lost its instances.
func TestRestartVoidsWarmInstances(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	p := harness.router.placements.functions["f"].placementAt(harness.router.endpoints.byID[s.Worker])
	if !harness.router.placements.isWarm(harness.router.now, p) {
		t.Fatal("the instance that served a request is not believed warm")
	}
	harness.step(millisecond, WorkerList{Workers: []Worker{{ID: s.Worker, State: Ready, Started: harness.now}}})
	if harness.router.placements.isWarm(harness.router.now, p) {
		t.Error("the instance is still believed warm after a restart of its worker")
	}
}

// Workers that are gone are forgotten with all that was known of them. One that returns gets requests again.
func TestGoneWorkersAreForgotten(t *testing.T) {
	harness := newHarness(t, settings(), readyWorker("stays", 0))
	for i := range 50 {
		id := fmt.Sprintf("w%d", i)
		harness.step(millisecond, WorkerList{Kind: ListFull, Workers: []Worker{readyWorker(id, 0)}})
		s := harness.send(fmt.Sprint("q", i), "f")
		harness.step(millisecond, attemptEnd(s, 0, Served))
	}
	lastChange := []Worker{{ID: "w49", State: Gone}, readyWorker("stays", 0)}
	harness.step(millisecond, WorkerList{Kind: ListChanges, Workers: lastChange})
	harness.wait(10 * time.Second)
	listed, byID := len(harness.router.endpoints.list), len(harness.router.endpoints.byID)
	placements := len(harness.router.placements.functions["f"].placements)
	if listed != 1 || byID != 1 || placements > 1 {
		t.Errorf("%d workers in the list, %d by id and %d placements are kept, want those of one worker", listed, byID, placements)
	}
	if s := harness.send("last", "f"); s.Worker != "stays" {
		t.Errorf("sent to %s, want the worker that returned", s.Worker)
	}
}
