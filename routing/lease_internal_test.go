package routing

import (
	"fmt"
	"testing"
	"time"
)

// drainBound is the time from the latest list confirmation until a drain published right after it takes effect, with
// the harness's settings.
const drainBound = 7*time.Second + 500*millisecond

// serve passes a new request to the Router and ends its attempts with the outcome of reply. It returns the worker that
// served the request, or "" if none did.
func (h *testHarness) serve(id, function string, reply func(worker string) Outcome) string {
	h.t.Helper()
	for _, send := range actionsOf[Send](h.step(millisecond, newTestRequest(id, function), TimerFired{tickToken})) {
		outcome := reply(send.Worker)
		h.step(millisecond, attemptEnd(send, 0, outcome))
		if outcome == Served {
			return send.Worker
		}
	}
	return ""
}

// alwaysServed is the reply of workers that serve every request.
func alwaysServed(string) Outcome { return Served }

// answerProbes ends the health checks among the actions with the outcome of reply.
func (h *testHarness) answerProbes(actions []Action, reply func(worker string) Outcome) {
	for _, probe := range actionsOf[Probe](actions) {
		h.step(0, ProbeEnded{Worker: probe.Worker, Outcome: reply(probe.Worker)})
	}
}

// newOutageHarness returns a harness that simulates an outage of the list service: the list is confirmed now, and not
// again.
func newOutageHarness(t *testing.T, workers int, changes ...func(*Settings)) *testHarness {
	t.Helper()
	harness := newHarness(t, settings(changes...), readyWorkers(workers)...)
	harness.step(0, EndpointsConfirmed{AsOf: harness.now})
	return harness
}

// Guards against sends by an old list. Without health checks, requests wait from the time at which a drain may have
// taken effect until the next confirmation.
func TestNothingSentByOldList(t *testing.T) {
	harness := newOutageHarness(t, 3, func(s *Settings) { s.ProbeAllowed = false })
	harness.wait(drainBound - time.Second)
	if harness.serve("before", "f", alwaysServed) == "" {
		t.Error("not sent before a drain may have taken effect")
	}
	harness.wait(drainBound)
	if worker := harness.serve("after", "g", alwaysServed); worker != "" {
		t.Errorf("sent to %s, which may be draining", worker)
	}
	got := actionsOf[Send](harness.step(millisecond, EndpointsConfirmed{AsOf: harness.now}))
	if len(got) != 1 {
		t.Errorf("%d sends after a confirmation, want 1 for the waiting request", len(got))
	}
}

// Guards against an outage of the list service that stops requests to a worker in service: served requests renew its
// lease without health checks.
func TestServedRequestsRenewLease(t *testing.T) {
	harness := newOutageHarness(t, 3, func(s *Settings) { s.ProbeAllowed = false })
	first := harness.serve("first", "f", alwaysServed)
	for i := range 30 {
		harness.wait(time.Second)
		if got := harness.serve(fmt.Sprint("r", i), "f", alwaysServed); got != first {
			t.Fatalf("%d s into the outage: served by %q, want %s", i, got, first)
		}
	}
}

// Guards against losing idle workers in an outage of the list service: health checks renew their leases for any length
// of time. A worker that reports a drain gets no requests.
func TestHealthChecksRenewLeases(t *testing.T) {
	harness := newOutageHarness(t, 3)
	health := func(worker string) Outcome {
		if worker == "w1" {
			return Errored
		}
		return Served
	}
	for range 60 * 100 {
		harness.answerProbes(harness.step(tickInterval, TimerFired{tickToken}), health)
	}
	used := map[string]bool{}
	for i := range 20 {
		used[harness.serve(fmt.Sprint("r", i), fmt.Sprint("f", i), alwaysServed)] = true
	}
	if used["w1"] || used[""] || len(used) != 2 {
		t.Errorf("requests sent to %v, want only w0 and w2", used)
	}
}

// Guards against requests that use up their attempts at a worker that rejects them. While confirmation of the list is
// overdue, two consecutive rejections suspend the worker until it passes a health check.
func TestRejectionsSuspendWithOverdueConfirmation(t *testing.T) {
	harness := newOutageHarness(t, 1)
	harness.serve("warm", "f", alwaysServed)
	harness.wait(drainBound - time.Second)
	actions := harness.step(millisecond, newTestRequest("r", "f"))
	rejected := 0
	for range 50 {
		for _, send := range actionsOf[Send](actions) {
			actions = append(actions, harness.step(0, attemptEnd(send, rejected, Shed))...)
			rejected++
		}
		if notes := actionsOf[WorkerSuspended](actions); rejected == 2 && len(notes) == 1 {
			break
		}
		actions = harness.step(tickInterval, TimerFired{tickToken})
	}
	if sends := len(actionsOf[Send](harness.wait(500 * millisecond))); rejected != 2 || sends != 0 {
		t.Fatalf("%d attempts rejected and %d more sent, want 2 and 0", rejected, sends)
	}
	got := actionsOf[Send](harness.step(0, ProbeEnded{Worker: "w0", Outcome: Served}))
	if len(got) != 1 {
		t.Errorf("%d sends after a successful health check, want 1 for the request's next attempt", len(got))
	}
}

// Guards against a request that waits for a connection and is written after the lease has expired.
func TestLeaseBoundsWaitForConnection(t *testing.T) {
	harness := newOutageHarness(t, 1)
	const elapsed = 7 * time.Second
	harness.wait(elapsed)
	got := actionsOf[Send](harness.step(0, newTestRequest("r", "f")))
	if len(got) != 1 || got[0].StartWithin <= 0 || got[0].StartWithin > drainBound-elapsed {
		t.Errorf("sent %v, want one attempt that has to start within %v", got, drainBound-elapsed)
	}
}

// Guards against overloading a worker that restarted during the outage. Its start time is unknown, so a worker that was
// down and accepts requests again counts as warming up from then on.
func TestReturnedWorkerWarmsUp(t *testing.T) {
	harness := newOutageHarness(t, 1)
	harness.wait(6 * time.Second)
	router := harness.router
	w := router.endpoints.byID["w0"]
	for _, outcome := range []Outcome{ConnectFailed, Served} {
		router.leaseManager.checkHealth(harness.now, w)
		harness.step(time.Second, ProbeEnded{Worker: "w0", Outcome: outcome})
	}
	if !router.slowStart.IsWarmingUp(harness.now, w.Started) {
		t.Fatal("a worker that was down and accepts requests again does not count as warming up")
	}
	// The list shows that the worker has not restarted, so it is warm.
	harness.step(0, WorkerList{Kind: ListChanges, Workers: []Worker{readyWorker("w0", 0)}}, EndpointsConfirmed{AsOf: harness.now})
	if router.slowStart.IsWarmingUp(harness.now, w.Started) {
		t.Error("a worker that has not restarted according to the list counts as warming up")
	}
}

// Guards against missing or excessive reports that confirmation of the list is overdue. They are due at the start,
// every five seconds, and at the end.
func TestOverdueConfirmationIsReported(t *testing.T) {
	harness := newOutageHarness(t, 2)
	reports := actionsOf[EndpointListStatus](harness.wait(16 * time.Second))
	reports = append(reports, actionsOf[EndpointListStatus](
		append(harness.step(0, EndpointsConfirmed{AsOf: harness.now}), harness.wait(time.Second)...))...)
	var got []bool
	for _, report := range reports {
		got = append(got, report.Unconfirmed)
	}
	if fmt.Sprint(got) != "[true true true false]" {
		t.Errorf("reported %v, want the start, two repeats and the end", got)
	}
}

// Guards against a wrong warm-up from an implausible start time. Start times in a list are from another clock than the
// scheduler's, and either may be stepped. A worker whose start has just been announced counts as warming up from about
// now on, regardless of the given time.
func TestImplausibleStartTimes(t *testing.T) {
	for name, offset := range map[string]time.Duration{
		"correct": 0, "an hour ahead": time.Hour, "an hour behind": -time.Hour + time.Second, "5 s ahead": 5 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			harness := newOutageHarness(t, 2)
			harness.wait(time.Second)
			const delay = time.Second // from the start of a worker until it is announced
			entries := []Worker{readyWorker("w0", 0), readyWorker("new", 0)}
			for i := range entries {
				entries[i].Started = harness.now - delay + offset
			}
			harness.step(0, WorkerList{Kind: ListChanges, Workers: entries}, EndpointsConfirmed{AsOf: harness.now})
			router := harness.router
			for _, id := range []string{"w0", "new"} {
				w := router.endpoints.byID[id]
				if !router.slowStart.IsWarmingUp(harness.now, w.Started) {
					t.Errorf("%s: not warming up after its start was announced", id)
				}
				// An entry with the same start time does not restart the warm-up.
				harness.step(0, WorkerList{Kind: ListChanges, Workers: entries})
				if end := harness.now + router.settings.SlowStartDuration; router.slowStart.IsWarmingUp(end, w.Started) {
					t.Errorf("%s: still warming up after the full warm-up time", id)
				}
			}
		})
	}
}

// Guards against a start time in the future in the first list, which counts as the current time.
func TestFirstListFromTheFuture(t *testing.T) {
	future := readyWorker("w0", 0)
	future.Started = 2 * time.Hour
	harness := newHarness(t, settings(), future)
	harness.step(0, EndpointsConfirmed{AsOf: harness.now})
	if got := harness.router.endpoints.byID["w0"].Started; got != harness.now {
		t.Errorf("start time is %v, want the current time %v", got, harness.now)
	}
}
