package routing

import (
	"fmt"
	"testing"
	"time"
)

const millisecond = time.Millisecond

// settings returns settings with one idempotent class and plenty of everything.
func settings(change ...func(*Settings)) Settings {
	made := Settings{
		Schedulers:           1,
		Tick:                 2 * millisecond,
		MaxAttempts:          4,
		CancelAllowed:        true,
		ProbeAllowed:         true,
		AnswerSlack:          8 * millisecond,
		DrainGrace:           500 * millisecond,
		SlowStartFraction:    0.25,
		SlowStartDuration:    10 * time.Second,
		OverloadMultiple:     2,
		OverloadDuration:     time.Second,
		InstanceKeepAlive:    8 * time.Second,
		LoadOnDemand:         true,
		AnswersTellStartType: true,
		AnswersTellInFlight:  true,
		Classes: []Class{{
			LatencyObjective:    time.Second,
			Deadline:            4 * time.Second,
			PriorityWeight:      1,
			LateValue:           0.3,
			DeduplicationWindow: 2 * time.Second,
		}},
	}
	for _, f := range change {
		f(&made)
	}
	return made
}

func dedupInZone(s *Settings) {
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope = IdempotentByKey, ScopeZone
}

func dedupEverywhere(s *Settings) {
	s.Classes[0].Idempotency, s.Classes[0].DeduplicationScope = IdempotentByKey, ScopeAll
}
func nonIdempotent(s *Settings)  { s.Classes[0].Idempotency = NonIdempotent }
func hedgingAllowed(s *Settings) { s.HedgingAllowed = true }
func loadsAllowed(s *Settings) {
	s.LoadAllowed, s.LoadBudgetBase, s.LoadBudgetWindow = true, 2, 5*time.Second
}
func cancelForbidden(s *Settings) { s.CancelAllowed = false }
func threeSchedulers(s *Settings) { s.Schedulers = 3 }
func singleAttempt(s *Settings)   { s.MaxAttempts = 1 }

// testHarness drives a Router by hand.
type testHarness struct {
	t      *testing.T
	router *Router
	now    time.Duration
}

func newHarness(t *testing.T, s Settings, workers ...Worker) *testHarness {
	t.Helper()
	r, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	harness := &testHarness{t: t, router: r, now: time.Hour}
	harness.step(0, WorkerList{Kind: ListCached, Workers: workers})
	return harness
}

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

func actionsOf[T Action](actions []Action) []T {
	var list []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

func (h *testHarness) send(id, function string) Send {
	h.t.Helper()
	got := actionsOf[Send](h.step(millisecond, newTestRequest(id, function)))
	if len(got) != 1 {
		h.t.Fatalf("request %s: %d sends, want 1", id, len(got))
	}
	return got[0]
}

func newTestRequest(id, function string) Request {
	return Request{ID: id, Function: function, TimeLeft: 3 * time.Second, Concurrency: 2, LoadTime: 500 * millisecond}
}

func attemptEnd(s Send, attempt int, o Outcome) AttemptEnded {
	return AttemptEnded{
		ID: s.ID, Attempt: attempt, Worker: s.Worker, Outcome: o, RequestAnswered: o == Served,
		Latency: 50 * millisecond, StartType: WarmStart, InFlightForFunction: -1,
	}
}

func readyWorker(id string, zone int) Worker {
	return Worker{ID: id, State: Ready, Weight: 1, Zone: zone}
}

func readyWorkers(n int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, readyWorker(fmt.Sprintf("w%d", i), i%2))
	}
	return list
}

func manySchedulers(s *Settings) { s.Schedulers = 80 }

// warmUp answers requests of many functions, so that the Router knows the throughput of warm workers.
func (h *testHarness) warmUp(calls int, gap time.Duration) {
	for i := range calls {
		acts := h.step(gap, newTestRequest(fmt.Sprint("warm", i), fmt.Sprint("f", i%7)), TimerFired{tickToken})
		for _, s := range actionsOf[Send](acts) {
			h.step(0, attemptEnd(s, 0, Served))
		}
	}
}

func faultReporting(s *Settings) { s.FaultReporting = true }
