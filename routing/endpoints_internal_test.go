package routing

import (
	"fmt"
	"testing"
	"time"
)

// Nothing to draining workers: guards against a Send or Load to a worker that is listed as draining or gone, or that is
// missing from a full list.
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
			t.Fatalf("sent to %s, which is missing from the latest full list", sent.Worker)
		}
		harness.step(millisecond, attemptEnd(Send{ID: fmt.Sprint("c", i), Worker: "w0"}, 0, Served))
	}
}

// Guards against sends while the endpoint list may be stale. Requests wait until the list is known to be fresh or
// EndpointsStale.Duration has passed. A request with an earlier deadline is rejected.
func TestStaleEndpointsHoldSends(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	harness.step(millisecond, EndpointsStale{Duration: 250 * millisecond})
	acts := append(harness.step(millisecond, newTestRequest("a", "f")), harness.wait(200*millisecond)...)
	if got := actionsOf[Send](acts); len(got) > 0 {
		t.Fatalf("sent while the endpoint list may be stale: %v", got)
	}
	if got := actionsOf[Send](harness.step(millisecond, EndpointsStale{})); len(got) != 1 {
		t.Errorf("%d sends after the list is fresh, want 1", len(got))
	}
	harness.step(millisecond, EndpointsStale{Duration: 250 * millisecond})
	short := newTestRequest("b", "f")
	short.TimeLeft = 100 * millisecond
	got := append(harness.step(millisecond, short, newTestRequest("c", "g")), harness.wait(300*millisecond)...)
	if s := actionsOf[Send](got); len(s) != 1 || s[0].ID != "c" {
		t.Errorf("sent after the maximum wait: %v, want only c", s)
	}
	if r := actionsOf[Reject](got); len(r) != 1 || r[0].ID != "b" {
		t.Errorf("rejected: %v, want only b, whose deadline has passed", r)
	}
}

// Guards against treating instances as warm after a restart of their worker, which loses them.
func TestRestartVoidsWarmInstances(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	p := harness.router.placements.functions["f"].placementAt(harness.router.endpoints.byID[s.Worker])
	if !harness.router.placements.isWarm(harness.router.now, p) {
		t.Fatal("an instance that has just served a request is not considered warm")
	}
	harness.step(millisecond, WorkerList{Workers: []Worker{{ID: s.Worker, State: Ready, Started: harness.now}}})
	if harness.router.placements.isWarm(harness.router.now, p) {
		t.Error("an instance is still considered warm after a restart of its worker")
	}
}

// Guards against a memory leak: the state of workers that are gone is removed. A worker that returns gets requests
// again.
func TestGoneWorkersAreRemoved(t *testing.T) {
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
		t.Errorf("kept %d workers in the list, %d by id and %d placements, want those of one worker", listed, byID, placements)
	}
	if s := harness.send("last", "f"); s.Worker != "stays" {
		t.Errorf("sent to %s, want the worker that returned", s.Worker)
	}
}
