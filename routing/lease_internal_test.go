package routing

import (
	"fmt"
	"testing"
	"time"
)

// drainBinds is when a drain binds that was published when the list was last confirmed, with the harness's settings.
const drainBinds = 7*time.Second + 500*millisecond

// serveAt sends a request and has the worker that gets it answer; it returns the worker, "" if the request is not sent.
func (h *testHarness) serveAt(id, function string, reply func(worker string) Outcome) string {
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

// serves is the reply of workers that serve everything.
func serves(string) Outcome { return Served }

// answerProbes has workers answer the health checks among these actions.
func (h *testHarness) answerProbes(actions []Action, reply func(worker string) Outcome) {
	for _, probe := range actionsOf[Probe](actions) {
		h.step(0, ProbeEnded{Worker: probe.Worker, Outcome: reply(probe.Worker)})
	}
}

// newOutageHarness returns a harness with a list that was confirmed just now and is not confirmed again.
func newOutageHarness(t *testing.T, workers int, changes ...func(*Settings)) *testHarness {
	t.Helper()
	harness := newHarness(t, settings(changes...), readyWorkers(workers)...)
	harness.step(0, EndpointsConfirmed{AsOf: harness.now})
	return harness
}

// Without health checks, nothing is sent once a drain may bind; with a new confirmation it is sent at once.
func TestNothingSentByOldList(t *testing.T) {
	harness := newOutageHarness(t, 3, func(s *Settings) { s.ProbeAllowed = false })
	harness.wait(drainBinds - time.Second)
	if harness.serveAt("before", "f", serves) == "" {
		t.Error("not sent before a drain may bind")
	}
	harness.wait(drainBinds)
	if worker := harness.serveAt("after", "g", serves); worker != "" {
		t.Errorf("sent to %s, of which nothing was heard for longer than a drain takes to bind", worker)
	}
	got := actionsOf[Send](harness.step(millisecond, EndpointsConfirmed{AsOf: harness.now}))
	if len(got) != 1 {
		t.Errorf("%d sends after a confirmation, want that of the request that waits", len(got))
	}
}

// A worker that serves requests keeps its lease by that, and requests go on without any health check.
func TestServedRequestsRenewLease(t *testing.T) {
	harness := newOutageHarness(t, 3, func(s *Settings) { s.ProbeAllowed = false })
	first := harness.serveAt("first", "f", serves)
	for i := range 30 {
		harness.wait(time.Second)
		if got := harness.serveAt(fmt.Sprint("r", i), "f", serves); got != first {
			t.Fatalf("%d s into the outage: served by %q, want %s", i, got, first)
		}
	}
}

// Workers that serve nothing are asked for their health, and those that answer can be used after any time. One that
// drains says so, and gets nothing.
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
		used[harness.serveAt(fmt.Sprint("r", i), fmt.Sprint("f", i), serves)] = true
	}
	if used["w1"] || used[""] || len(used) != 2 {
		t.Errorf("requests went to %v, want w0 and w2 alone", used)
	}
}

// While the list is in doubt, two rejected requests in a row suspend a worker until a health check finds it well: a
// request does not use up its attempts there.
func TestRejectionsSuspendInDoubt(t *testing.T) {
	harness := newOutageHarness(t, 1)
	harness.serveAt("warm", "f", serves)
	harness.wait(drainBinds - time.Second)
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
		t.Fatalf("%d attempts rejected, %d more sent, want two and none", rejected, sends)
	}
	got := actionsOf[Send](harness.step(0, ProbeEnded{Worker: "w0", Outcome: Served}))
	if len(got) != 1 {
		t.Errorf("%d sends after the worker was found well, want the request's next attempt", len(got))
	}
}

// What waits for a connection is not written once the lease has expired.
func TestLeaseBoundsWaitForConnection(t *testing.T) {
	harness := newOutageHarness(t, 1)
	const into = 7 * time.Second
	harness.wait(into)
	got := actionsOf[Send](harness.step(0, newTestRequest("r", "f")))
	if len(got) != 1 || got[0].StartWithin <= 0 || got[0].StartWithin > drainBinds-into {
		t.Errorf("sent %v, want it to start within %v", got, drainBinds-into)
	}
}

// A worker that was down during the outage and takes requests again is taken to warm up from then on: nobody tells when
// it started.
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
		t.Fatal("a worker that came back does not count as warming up")
	}
	// The list says that it has not restarted: it is warm after all.
	harness.step(0, WorkerList{Kind: ListChanges, Workers: []Worker{readyWorker("w0", 0)}}, EndpointsConfirmed{AsOf: harness.now})
	if router.slowStart.IsWarmingUp(harness.now, w.Started) {
		t.Error("a worker that the list says has not restarted counts as warming up")
	}
}

// The list's doubt is reported when it begins, every five seconds, and when it ends.
func TestDoubtIsReported(t *testing.T) {
	harness := newOutageHarness(t, 2)
	reports := actionsOf[EndpointListStatus](harness.wait(16 * time.Second))
	reports = append(reports, actionsOf[EndpointListStatus](
		append(harness.step(0, EndpointsConfirmed{AsOf: harness.now}), harness.wait(time.Second)...))...)
	var got []bool
	for _, report := range reports {
		got = append(got, report.Unconfirmed)
	}
	if fmt.Sprint(got) != "[true true true false]" {
		t.Errorf("reported %v, want the beginning, two repeats and the end", got)
	}
}

// The start times in a list come from another clock than the scheduler's, and either may be stepped: a worker whose start is
// told now counts as warming up from about now on, whatever the time that is given.
func TestImplausibleStartTimes(t *testing.T) {
	for name, offset := range map[string]time.Duration{
		"right": 0, "an hour ahead": time.Hour, "an hour back": -time.Hour + time.Second, "5 s ahead": 5 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			harness := newOutageHarness(t, 2)
			harness.wait(time.Second)
			const after = time.Second // from the start until it is told
			entries := []Worker{readyWorker("w0", 0), readyWorker("new", 0)}
			for i := range entries {
				entries[i].Started = harness.now - after + offset
			}
			harness.step(0, WorkerList{Kind: ListChanges, Workers: entries}, EndpointsConfirmed{AsOf: harness.now})
			router := harness.router
			for _, id := range []string{"w0", "new"} {
				w := router.endpoints.byID[id]
				if !router.slowStart.IsWarmingUp(harness.now, w.Started) {
					t.Errorf("%s: not warming up at its start", id)
				}
				// An entry that changes nothing of the start changes nothing of the warm-up.
				harness.step(0, WorkerList{Kind: ListChanges, Workers: entries})
				if end := harness.now + router.settings.SlowStartDuration; router.slowStart.IsWarmingUp(end, w.Started) {
					t.Errorf("%s: still warming up when it is warm at the latest", id)
				}
			}
		})
	}
}

// A start time in the future of the very first list counts as now.
func TestFirstListFromTheFuture(t *testing.T) {
	future := readyWorker("w0", 0)
	future.Started = 2 * time.Hour
	harness := newHarness(t, settings(), future)
	harness.step(0, EndpointsConfirmed{AsOf: harness.now})
	if got := harness.router.endpoints.byID["w0"].Started; got != harness.now {
		t.Errorf("started at %v, want now, %v", got, harness.now)
	}
}
