package routing

import (
	"fmt"
	"testing"
	"time"
)

const millisecond = time.Millisecond

// settings returns the settings of a deployment with one scheduler and one idempotent class, with changes applied.
func settings(changes ...func(*Settings)) Settings {
	deployed := Settings{
		Schedulers:             1,
		Tick:                   2 * millisecond,
		MaxAttempts:            4,
		CancelAllowed:          true,
		ProbeAllowed:           true,
		AnswerSlack:            8 * millisecond,
		DrainGrace:             500 * millisecond,
		SlowStartFraction:      0.25,
		SlowStartDuration:      10 * time.Second,
		OverloadMultiple:       2,
		OverloadDuration:       time.Second,
		InstanceKeepAlive:      8 * time.Second,
		LoadOnDemand:           true,
		AnswersReportStartType: true,
		AnswersReportInFlight:  true,
		Classes: []Class{{
			LatencyObjective:    time.Second,
			Deadline:            4 * time.Second,
			PriorityWeight:      1,
			LateValue:           0.3,
			DeduplicationWindow: 2 * time.Second,
		}},
	}
	for _, change := range changes {
		change(&deployed)
	}
	return deployed
}

// The following functions are changes of settings, named by the resulting property of the deployment.

func unchangedSettings(*Settings) {}
func cancelForbidden(s *Settings) { s.CancelAllowed = false }
func faultReporting(s *Settings)  { s.FaultReporting = true }
func hedgingAllowed(s *Settings)  { s.HedgingAllowed = true }
func manySchedulers(s *Settings)  { s.Schedulers = 80 }
func nonIdempotent(s *Settings)   { s.Classes[0].Idempotency = NonIdempotent }
func singleAttempt(s *Settings)   { s.MaxAttempts = 1 }
func threeSchedulers(s *Settings) { s.Schedulers = 3 }

// dedupInZone configures deduplication by idempotency key among the workers of a zone.
func dedupInZone(s *Settings) {
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope = IdempotentByKey, ScopeZone
}

// dedupEverywhere configures deduplication by idempotency key among all workers.
func dedupEverywhere(s *Settings) {
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope = IdempotentByKey, ScopeAll
}

// loadsAllowed sets a load budget of two loads in five seconds.
func loadsAllowed(s *Settings) {
	s.LoadAllowed, s.LoadBudgetBase, s.LoadBudgetWindow = true, 2, 5*time.Second
}

// testHarness drives a Router in virtual time.
type testHarness struct {
	t      *testing.T
	router *Router
	now    time.Duration
}

// newHarness returns a harness for a new Router with these workers.
func newHarness(t *testing.T, deployed Settings, workers ...Worker) *testHarness {
	t.Helper()
	const anySeed = 7
	return newSeededHarness(t, deployed, anySeed, workers...)
}

// newSeededHarness is newHarness with a seed, which differs between the schedulers of a deployment.
func newSeededHarness(t *testing.T, deployed Settings, seed uint64, workers ...Worker) *testHarness {
	t.Helper()
	router, err := New(deployed, seed)
	if err != nil {
		t.Fatal(err)
	}
	harness := &testHarness{t: t, router: router, now: time.Hour}
	harness.step(0, WorkerList{Kind: ListCached, Workers: workers})
	return harness
}

// step advances the time, passes the events to the Router and returns its actions.
func (h *testHarness) step(after time.Duration, events ...Event) []Action {
	h.now += after
	return h.router.Step(h.now, events)
}

// wait advances the time with no events except the Router's own timer, and returns all actions.
func (h *testHarness) wait(d time.Duration) []Action {
	var all []Action
	for end := h.now + d; h.now < end; {
		all = append(all, h.step(tickInterval, TimerFired{tickToken})...)
	}
	return all
}

// send passes a new request to the Router and returns its Send. It ends the test unless the Router returns exactly one
// Send.
func (h *testHarness) send(id, function string) Send {
	h.t.Helper()
	got := actionsOf[Send](h.step(millisecond, newTestRequest(id, function)))
	if len(got) != 1 {
		h.t.Fatalf("request %s: got %d sends, want 1", id, len(got))
	}
	return got[0]
}

// warmUp answers requests for seven functions, so that the Router measures the throughput of warm workers.
func (h *testHarness) warmUp(requests int, gap time.Duration) {
	for i := range requests {
		acts := h.step(gap, newTestRequest(fmt.Sprint("warm", i), fmt.Sprint("f", i%7)), TimerFired{tickToken})
		for _, s := range actionsOf[Send](acts) {
			h.step(0, attemptEnd(s, 0, Served))
		}
	}
}

// actionsOf returns the actions of one type, in their order.
func actionsOf[T Action](actions []Action) []T {
	var list []T
	for _, action := range actions {
		if typed, ok := action.(T); ok {
			list = append(list, typed)
		}
	}
	return list
}

// newTestRequest returns a request with a deadline in 3 s.
func newTestRequest(id, function string) Request {
	return Request{ID: id, Function: function, TimeLeft: 3 * time.Second, Concurrency: 2, LoadTime: 500 * millisecond}
}

// attemptEnd returns the end of an attempt, with a latency of 50 ms at a warm instance of the worker of the Send.
func attemptEnd(s Send, attempt int, outcome Outcome) AttemptEnded {
	return AttemptEnded{
		ID: s.ID, Attempt: attempt, Worker: s.Worker, Outcome: outcome, RequestAnswered: outcome == Served,
		Latency: 50 * millisecond, StartType: WarmStart, InFlightForFunction: -1,
	}
}

func readyWorker(id string, zone int) Worker {
	return Worker{ID: id, State: Ready, Weight: 1, Zone: zone}
}

// readyWorkers returns the workers w0, w1 and so on, alternating between the zones 0 and 1.
func readyWorkers(n int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, readyWorker(fmt.Sprintf("w%d", i), i%2))
	}
	return list
}
