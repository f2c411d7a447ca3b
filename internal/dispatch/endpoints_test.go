package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/rules/match"
	"calicohill/internal/rules/pools"
	"calicohill/routing"
)

// TestUpdateEndpoints guards against full lists and incremental updates that leave wrong workers in the endpoint list.
func TestUpdateEndpoints(t *testing.T) {
	harness := newHarness(t, testSettings(), 0)
	for _, tt := range []struct {
		name string
		list dispatch.EndpointList
		want []string // WorkerIDs after this list and all previous ones
	}{
		{"full list", dispatch.EndpointList{Full: true, Endpoints: endpoints(routing.Ready, "b", "a")}, []string{"a", "b"}},
		{"a worker is added", dispatch.EndpointList{Endpoints: endpoints(routing.Ready, "c")}, []string{"a", "b", "c"}},
		{"a worker drains", dispatch.EndpointList{Endpoints: endpoints(routing.Draining, "a")}, []string{"a", "b", "c"}},
		{"a worker is gone", dispatch.EndpointList{Endpoints: endpoints(routing.Gone, "b")}, []string{"a", "c"}},
		{"an unknown worker is gone", dispatch.EndpointList{Endpoints: endpoints(routing.Gone, "x")}, []string{"a", "c"}},
		{"no changes", dispatch.EndpointList{}, []string{"a", "c"}},
		{"full list replaces all", dispatch.EndpointList{Full: true, Endpoints: endpoints(routing.Ready, "d")}, []string{"d"}},
		{"empty full list", dispatch.EndpointList{Full: true}, nil},
	} {
		harness.UpdateEndpoints(tt.list)
		if got := harness.WorkerIDs(); !slices.Equal(got, tt.want) {
			t.Errorf("%s: workers %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestFullListReachesRouter guards against a Router that keeps using workers missing from a full list: requests would
// spend their attempts on a worker that is gone instead of waiting for another.
func TestFullListReachesRouter(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "old")
	harness.UpdateEndpoints(dispatch.EndpointList{Full: true})
	_, tag := harness.submit(harness.call("a", idempotent))
	harness.loop.advance(timeLeft / 10)
	harness.wantAnswers(tag)
	harness.UpdateEndpoints(dispatch.EndpointList{Endpoints: endpoints(routing.Ready, "new")})
	harness.loop.runPosted()
	if len(harness.workers.sent) != 1 || harness.workers.sent[0].Worker != "new" {
		t.Errorf("attempts sent: %v, want one to the new worker", harness.workers.sent)
	}
}

// TestHasEndpoints guards against an empty endpoint list that is treated as no list.
func TestHasEndpoints(t *testing.T) {
	dispatcher := dispatch.New(&fakeLoop{}, nil, nil, 0)
	dispatcher.SetWorkers(&fakeWorkers{})
	if dispatcher.HasEndpoints() {
		t.Error("before the first list: HasEndpoints = true, want false")
	}
	dispatcher.UpdateEndpoints(dispatch.EndpointList{Full: true}) // an empty list counts
	if !dispatcher.HasEndpoints() {
		t.Error("after an empty list: HasEndpoints = false, want true")
	}
}

// TestRouterReceivesListBeforeTransport guards against failures that the Router attributes to the old state of a
// worker. The transport ends attempts because of a list, so the Router must receive the list first.
func TestRouterReceivesListBeforeTransport(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w")
	attempt, _, _ := harness.send("a", idempotent)
	harness.workers.onUpdate = func() {
		if harness.MaySend(attempt.Ref) {
			t.Error("during UpdateEndpoints: MaySend = true, want false")
		}
		harness.AttemptEnded(attempt.Ref, ended(routing.NotSent))
	}
	harness.setState("w", routing.Draining)
	var got []string
	for _, event := range dispatch.PendingEvents(harness.Dispatcher) {
		got = append(got, fmt.Sprintf("%T", event))
	}
	if want := []string{"routing.WorkerList", "routing.AttemptEnded"}; !slices.Equal(got, want) {
		t.Errorf("events of the next step: %v, want %v", got, want)
	}
}

// TestRetriedElsewhereWhenWorkerDrains guards against a retry that is late or goes to the draining worker again. An
// attempt that the transport aborts because its worker drains is retried at another worker, in the step that applies
// the list.
func TestRetriedElsewhereWhenWorkerDrains(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w1", "w2")
	first, _, tag := harness.send("a", nonIdempotent)
	harness.workers.onUpdate = func() { harness.AttemptEnded(first.Ref, ended(routing.NotSent)) }
	harness.setState(first.Worker, routing.Draining)
	harness.loop.runPosted()
	if len(harness.workers.sent) != 2 || harness.workers.sent[1].Worker == first.Worker {
		t.Fatalf("attempts sent: %v, want a retry at the other worker", harness.workers.sent)
	}
	harness.AttemptEnded(harness.workers.sent[1].Ref, served("answer"))
	harness.wantAnswers(tag, dispatch.Served)
}

// TestPeerReportsReachRouterBeforeSend guards against peer reports that are ignored for a request submitted later in
// the same pass.
func TestPeerReportsReachRouterBeforeSend(t *testing.T) {
	for _, tt := range []struct {
		name      string
		verdict   routing.PeerVerdict
		elsewhere bool
	}{
		{"not reported", routing.NotReported, false}, // the function is loaded there
		{"confirmed", routing.Confirmed, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			harness := newHarness(t, testSettings(), 0, "w1", "w2")
			first, _, _ := harness.send("a", idempotent)
			harness.AttemptEnded(first.Ref, served("answer"))
			harness.loop.advance(2 * time.Second) // the worker's answer is too old to outweigh the peer reports

			harness.ApplyPeerReports(routing.PeerReports{
				Verdicts: map[string]routing.PeerVerdict{first.Worker: tt.verdict},
			})
			call := harness.call("b", idempotent)
			call.Function = first.Function
			second, _, _ := harness.sendCall(call)
			if elsewhere := second.Worker != first.Worker; elsewhere != tt.elsewhere {
				t.Errorf("sent to %s after %s, want another worker: %v", second.Worker, first.Worker, tt.elsewhere)
			}
		})
	}
}

// TestSetRoutes guards against requests that are sent to workers outside the pools of their route, including requests
// that were submitted before the routes were replaced.
func TestSetRoutes(t *testing.T) {
	workers := []string{"w1", "w2", "w3"}
	expression := func(source string) match.Expression { return match.Expression{Source: source} }
	for _, worker := range workers {
		t.Run(worker, func(t *testing.T) {
			harness := newHarness(t, testSettings(), 0, workers...)
			routes, faults := pools.Load(
				[]pools.Pool{{Name: "pool", Workers: expression(fmt.Sprintf("id == %q", worker))}},
				[]pools.Route{{Name: "route", Pools: []match.Expression{expression("pool")}}})
			if routes == nil {
				t.Fatal(faults)
			}
			harness.SetRoutes(routes)
			call := harness.call("routed", idempotent)
			call.Route = "route"
			if attempt, _, _ := harness.sendCall(call); attempt.Worker != worker || attempt.Function != call.Function {
				t.Errorf("sent %s to %s, want %s to %s", attempt.Function, attempt.Worker, call.Function, worker)
			}

			harness.setState(worker, routing.Draining) // no other worker may serve the route
			waiting := harness.call("waiting", idempotent)
			waiting.Route = "route"
			_, tag := harness.submit(waiting)
			harness.loop.runPosted()
			harness.SetRoutes(nil)
			again := harness.call("without routes", idempotent)
			again.Route = "route"
			if attempt, _, _ := harness.sendCall(again); attempt.Worker == worker {
				t.Errorf("sent to %s, which drains", worker)
			}
			harness.loop.advance(timeLeft)
			harness.wantAnswers(tag, dispatch.Rejected)
		})
	}
}

// TestMarkStale guards against requests that are sent to workers from a stale endpoint list, or wait after it is
// current.
func TestMarkStale(t *testing.T) {
	const stale = 100 * time.Millisecond
	for _, tt := range []struct {
		name   string
		list   func(harness *testHarness) // updates the list's status
		sentAt time.Duration              // latest time at which the request is sent
	}{
		{"until the stale period ends", func(*testHarness) {}, stale + 20*time.Millisecond},
		{"until the list is current", func(harness *testHarness) { harness.MarkStale(0) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			harness := newHarness(t, testSettings(), 0, "w")
			harness.MarkStale(stale)
			harness.submit(harness.call("a", idempotent))
			harness.loop.advance(stale / 2)
			if len(harness.workers.sent) != 0 {
				t.Fatalf("attempts sent: %v, want none yet", harness.workers.sent)
			}
			tt.list(harness)
			harness.loop.advance(max(0, tt.sentAt-stale/2))
			if len(harness.workers.sent) != 1 {
				t.Errorf("attempts sent: %v, want one", harness.workers.sent)
			}
		})
	}
}

// TestFaultObserver guards against faults detected by the Router that are not passed to the observer, and so never
// reach the peers.
func TestFaultObserver(t *testing.T) {
	settings := testSettings()
	settings.FaultReporting = true
	harness := newHarness(t, settings, 0, "w")
	var observed []routing.ReportFault
	harness.SetFaultObserver(func(report routing.ReportFault) { observed = append(observed, report) })
	attempt, _, _ := harness.send("a", idempotent)
	harness.AttemptEnded(attempt.Ref, ended(routing.ConnectFailed))
	harness.loop.runPosted()
	want := []routing.ReportFault{{Worker: "w", Fault: routing.Unreachable, ObservedAt: harness.loop.Now()}}
	if !slices.Equal(observed, want) {
		t.Errorf("observed %v, want %v", observed, want)
	}
}
