package routing

import (
	"fmt"
	"testing"
	"time"

	"calicohill/routing/concurrency"
)

// A request is rejected on arrival when the work ahead of it makes it miss its deadline.
func TestRejectsOnArrival(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(1)...)
	first := harness.send("first", "f") // no work ahead: never rejected
	answer := attemptEnd(first, 0, Served)
	answer.Latency = 900 * millisecond
	harness.step(900*millisecond, answer)
	rejected := 0
	for i := range 60 {
		rejected += len(actionsOf[Reject](harness.step(0, newTestRequest(fmt.Sprint("r", i), "f"))))
	}
	if rejected == 0 {
		t.Error("nothing rejected with a queue far longer than the deadline")
	}
}

// A function that loads more slowly than its clients wait would be rejected for ever if no request began its load.
func TestFirstRequestBeginsLoadDespiteDeadline(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(3)...)
	s := harness.send("warm", "g")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("ahead", "g")
	slow := newTestRequest("first", "f")
	slow.TimeLeft, slow.LoadTime = 2500*millisecond, 5*time.Second
	if acts := harness.step(millisecond, slow); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("first request: %v, want it sent", acts)
	}
	slow.ID = "second"
	if acts := harness.step(millisecond, slow); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("second request, while the load that it needs ends too late: %v, want it rejected", acts)
	}
}

// With the same work ahead, classes with a short and with a long objective are rejected alike, or the short would
// starve.
func TestShortObjectivesDoNotStarve(t *testing.T) {
	for _, testCase := range []struct {
		ahead    float64 // seconds of work ahead, per unit of capacity
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
			harness.router.requests.inFlightWork = testCase.ahead * harness.router.fleet.capacity.Total()
			q.ID = "b"
			if got := len(actionsOf[Reject](harness.step(millisecond, q))) > 0; got != testCase.rejected {
				t.Errorf("class %d with %v s ahead: rejected %v, want %v", class, testCase.ahead, got, testCase.rejected)
			}
		}
	}
}

// Slow answers of a shared worker show that peers have work in flight there: part of the requests is then rejected on
// arrival, but never all, or no answer would show that the worker has recovered. A single scheduler knows what is in
// flight and rejects none for slow answers.
func TestRejectsForWorkOfPeers(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		change    func(*Settings)
		slow      time.Duration
		some, all bool
	}{
		{"slow answers, many schedulers", manySchedulers, 1500 * millisecond, true, false},
		{"quick answers, many schedulers", manySchedulers, 50 * millisecond, false, false},
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

// A tenant whose quota at this scheduler is less than one request a second is still admitted at that rate.
func TestSmallQuotaAdmits(t *testing.T) {
	deployed := settings(func(s *Settings) {
		s.Schedulers, s.Tenants = 100, []Tenant{{QuotaFraction: 1, RequestsPerSecond: 20}}
	})
	quotas := deployed.tenantQuotas()
	now := time.Hour + time.Minute
	if quotas.Exceeded(now, 0) {
		t.Error("the first request in a minute is over the tenant's quota")
	}
	if !quotas.Exceeded(now, 0) {
		t.Error("a second request right after it is within a quota of 0.2 a second")
	}
	if quotas.Exceeded(now+6*time.Second, 0) {
		t.Error("over its quota after 6 s at 0.2 a second")
	}
}

// Reports of peers eject no worker whose load the remaining workers do not have the capacity for.
func TestKeepsWorkersThatAreNeeded(t *testing.T) {
	harness := harnessAfterAnswers(t, 4)
	harness.wait(2 * time.Second)
	for _, w := range harness.router.endpoints.list {
		w.limit = concurrency.NewWorker(6) // the limit that 6 schedulers start from is 2
		w.inFlight = make([]*attempt, 1)   // half of the capacity of each is in use
		defer func() { w.inFlight = nil }()
	}
	harness.router.now += time.Millisecond
	harness.router.refreshCapacity()
	harness.router.applyPeerReports(confirmedReports("w0", "w1", "w2", "w3"))
	for _, w := range harness.router.endpoints.list {
		if w.health.Ejected() {
			t.Errorf("%s is ejected though half of all capacity is in use", w.ID)
		}
	}
}
