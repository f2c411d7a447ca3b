package routing

import (
	"fmt"
	"testing"
	"time"

	"calicohill/routing/concurrency"
)

// Guards against queueing requests that cannot meet their deadline: they are rejected on arrival.
func TestRejectsOnArrival(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(1)...)
	first := harness.send("first", "f") // no queued work: never rejected
	answer := attemptEnd(first, 0, Served)
	answer.Latency = 900 * millisecond
	harness.step(900*millisecond, answer)
	rejected := 0
	for i := range 60 {
		rejected += len(actionsOf[Reject](harness.step(0, newTestRequest(fmt.Sprint("r", i), "f"))))
	}
	if rejected == 0 {
		t.Error("no request rejected although the queued work takes far longer than the deadline")
	}
}

// Guards against a function that is never loaded because its load takes longer than its clients wait: the first request
// is sent in order to start the load.
func TestFirstRequestBeginsLoadDespiteDeadline(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(3)...)
	s := harness.send("warm", "g")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("ahead", "g")
	slow := newTestRequest("first", "f")
	slow.TimeLeft, slow.LoadTime = 2500*millisecond, 5*time.Second
	if acts := harness.step(millisecond, slow); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("first request: got %v, want a Send", acts)
	}
	slow.ID = "second"
	if acts := harness.step(millisecond, slow); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("second request, whose deadline is before the end of the load: got %v, want a Reject", acts)
	}
}

// Guards against starvation of classes with a short latency objective: with the same queued work, requests of all
// classes are rejected alike.
func TestShortObjectivesDoNotStarve(t *testing.T) {
	for _, testCase := range []struct {
		queued   float64 // seconds of queued work per unit of capacity
		rejected bool
	}{{0.1, false}, {0.3, false}, {0.5, true}, {0.9, true}} {
		for class := range 2 {
			harness := newHarness(t, settings(func(s *Settings) {
				s.Classes = append(s.Classes, s.Classes[0])
				s.Classes[1].LatencyObjective = 700 * millisecond
			}), readyWorkers(2)...)
			q := newTestRequest("a", "f")
			q.Class = class
			s := actionsOf[Send](harness.step(millisecond, q))[0]
			harness.step(millisecond, attemptEnd(s, 0, Served))
			objective := harness.router.settings.Classes[class].LatencyObjective.Seconds()
			harness.router.placements.functions["f"].latency.RestoreExcess(harness.router.now, 0.3-objective)
			harness.router.requests.inFlightWork = testCase.queued * harness.router.fleet.capacity.Total()
			q.ID = "b"
			if got := len(actionsOf[Reject](harness.step(millisecond, q))) > 0; got != testCase.rejected {
				t.Errorf("class %d, %v s of queued work: rejected is %v, want %v", class, testCase.queued, got, testCase.rejected)
			}
		}
	}
}

// Guards against overloading a worker that peers use too, and against rejecting all requests for it. Slow answers show
// that peers have requests in flight: a part of the requests is then rejected on arrival, but not all, because
// otherwise no answer would show that the worker has recovered. A single scheduler rejects none for slow answers.
func TestRejectsForWorkOfPeers(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		change    func(*Settings)
		slow      time.Duration
		some, all bool
	}{
		{"slow answers, many schedulers", manySchedulers, 1500 * millisecond, true, false},
		{"fast answers, many schedulers", manySchedulers, 50 * millisecond, false, false},
		{"slow answers, one scheduler", unchangedSettings, 1500 * millisecond, false, false},
	} {
		harness := newHarness(t, settings(testCase.change), readyWorkers(1)...)
		rejected := 0
		for i := range 200 {
			acts := harness.step(millisecond, newTestRequest(fmt.Sprint("r", i), "f"))
			rejected += len(actionsOf[Reject](acts))
			for _, s := range actionsOf[Send](acts) {
				e := attemptEnd(s, 0, Served)
				e.Latency = testCase.slow
				harness.step(testCase.slow, e)
			}
		}
		if rejected > 0 != testCase.some || rejected > 190 != testCase.all {
			t.Errorf("%s: %d of 200 rejected", testCase.name, rejected)
		}
	}
}

// Guards against a tenant that is never admitted because its quota at one scheduler is below one request per second.
func TestSmallQuotaAdmits(t *testing.T) {
	deployed := settings(func(s *Settings) {
		s.Schedulers, s.Tenants = 100, []Tenant{{QuotaFraction: 1, RequestsPerSecond: 20}}
	})
	quotas := deployed.tenantQuotas()
	now := time.Hour + time.Minute
	if quotas.Exceeded(now, 0) {
		t.Error("the first request in a minute exceeds the quota of 0.2 per second")
	}
	if !quotas.Exceeded(now, 0) {
		t.Error("an immediate second request does not exceed the quota of 0.2 per second")
	}
	if quotas.Exceeded(now+6*time.Second, 0) {
		t.Error("a request 6 s later exceeds the quota of 0.2 per second")
	}
}

// Guards against ejecting workers on peers' reports when the remaining workers lack the capacity for their load.
func TestKeepsWorkersThatAreNeeded(t *testing.T) {
	harness := harnessAfterAnswers(t, 4)
	harness.wait(2 * time.Second)
	for _, w := range harness.router.endpoints.list {
		w.limit = concurrency.NewWorker(6) // the initial limit with 6 schedulers is 2
		w.inFlight = make([]*attempt, 1)   // half of the capacity of each is in use
		defer func() { w.inFlight = nil }()
	}
	harness.router.now += time.Millisecond
	harness.router.refreshCapacity()
	harness.router.applyPeerReports(confirmedReports("w0", "w1", "w2", "w3"))
	for _, w := range harness.router.endpoints.list {
		if w.health.Ejected() {
			t.Errorf("%s is ejected although half of all capacity is in use", w.ID)
		}
	}
}
