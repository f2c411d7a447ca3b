package routing

import (
	"fmt"
	"testing"
	"time"
)

const millisecond = time.Millisecond

// settings returns the settings of a deployment with one scheduler and one idempotent class, with these changes.
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

// Changes of settings, by what the deployment then allows or has.

func unchangedSettings(*Settings) {}
func cancelForbidden(s *Settings) { s.CancelAllowed = false }
func faultReporting(s *Settings)  { s.FaultReporting = true }
func hedgingAllowed(s *Settings)  { s.HedgingAllowed = true }
func manySchedulers(s *Settings)  { s.Schedulers = 80 }
func nonIdempotent(s *Settings)   { s.Classes[0].Idempotency = NonIdempotent }
func singleAttempt(s *Settings)   { s.MaxAttempts = 1 }
func threeSchedulers(s *Settings) { s.Schedulers = 3 }

// dedupInZone has the workers of a zone drop repeats with the same idempotency key.
func dedupInZone(s *Settings) {
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope = IdempotentByKey, ScopeZone
}

// dedupEverywhere has all workers drop repeats with the same idempotency key.
func dedupEverywhere(s *Settings) {
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope = IdempotentByKey, ScopeAll
}

// loadsAllowed allows two orders to load in five seconds.
func loadsAllowed(s *Settings) {
	s.LoadAllowed, s.LoadBudgetBase, s.LoadBudgetWindow = true, 2, 5*time.Second
}

// testHarness drives a Router by hand.
type testHarness struct {
	t      *testing.T
	router *Router
	now    time.Duration
}

// newHarness returns a harness for a new Router that has been given these workers.
func newHarness(t *testing.T, deployed Settings, workers ...Worker) *testHarness {
	t.Helper()
	const anySeed = 7
	return newSeededHarness(t, deployed, anySeed, workers...)
}

// newSeededHarness is newHarness with a seed: two schedulers of one deployment differ in it.
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

// step lets time pass, reports the events to the Router and returns its actions.
func (h *testHarness) step(after time.Duration, events ...Event) []Action {
	h.now += after
	return h.router.Step(h.now, events)
}

// wait lets time pass with nothing but the Router's own timer, and returns the actions that it returned meanwhile.
func (h *testHarness) wait(d time.Duration) []Action {
	var all []Action
	for end := h.now + d; h.now < end; {
		all = append(all, h.step(tickInterval, TimerFired{tickToken})...)
	}
	return all
}

// send reports a new request and returns its Send. It ends the test unless the request is sent exactly once, and at
// once.
func (h *testHarness) send(id, function string) Send {
	h.t.Helper()
	got := actionsOf[Send](h.step(millisecond, newTestRequest(id, function)))
	if len(got) != 1 {
		h.t.Fatalf("request %s: %d sends, want 1", id, len(got))
	}
	return got[0]
}

// warmUp has requests of seven functions answered, so that the Router knows the throughput of warm workers.
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

// newTestRequest returns a request whose client gives up after 3 s.
func newTestRequest(id, function string) Request {
	return Request{ID: id, Function: function, TimeLeft: 3 * time.Second, Concurrency: 2, LoadTime: 500 * millisecond}
}

// attemptEnd returns the end of an attempt at the worker of a Send, after 50 ms at a warm instance.
func attemptEnd(s Send, attempt int, outcome Outcome) AttemptEnded {
	return AttemptEnded{
		ID: s.ID, Attempt: attempt, Worker: s.Worker, Outcome: outcome, RequestAnswered: outcome == Served,
		Latency: 50 * millisecond, StartType: WarmStart, InFlightForFunction: -1,
	}
}

func readyWorker(id string, zone int) Worker {
	return Worker{ID: id, State: Ready, Weight: 1, Zone: zone}
}

// readyWorkers returns the workers w0, w1 and so on, by turns in the zones 0 and 1.
func readyWorkers(n int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, readyWorker(fmt.Sprintf("w%d", i), i%2))
	}
	return list
}
