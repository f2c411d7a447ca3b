package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestRejectsOnArrival(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(1)...)
	first := harness.send("first", "f") // nothing ahead: never refused
	answer := attemptEnd(first, 0, Served)
	answer.Latency = 900 * millisecond
	harness.step(900*millisecond, answer)
	refused := 0
	for i := range 60 {
		refused += len(actionsOf[Reject](harness.step(0, newTestRequest(fmt.Sprint("r", i), "f"))))
	}
	if refused == 0 {
		t.Error("nothing refused with a queue far longer than the deadline")
	}
}

// A function slower to load than its callers wait would be refused for ever if nobody's call began its load.
func TestFirstRequestBeginsLoadDespiteDeadline(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(3)...)
	s := harness.send("warm", "g")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("ahead", "g")
	slow := newTestRequest("first", "f")
	slow.TimeLeft, slow.LoadTime = 2500*millisecond, 5*time.Second
	if acts := harness.step(millisecond, slow); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("first call: %v, want it sent", acts)
	}
	slow.ID = "second"
	if acts := harness.step(millisecond, slow); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("second call, its load under way but too late: %v, want it refused", acts)
	}
}

// With the same work ahead, a class with a short aim is treated like one with a long aim, or it would starve.
func TestShortObjectivesDoNotStarve(t *testing.T) {
	for _, tt := range []struct {
		ahead   float64 // seconds of work ahead, for each lane
		refused bool
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
			harness.router.functions["f"].serviceTimeExcess.Set(harness.router.now, 0.3-harness.router.settings.Classes[class].LatencyObjective.Seconds())
			harness.router.inFlightWork = tt.ahead * harness.router.capacity
			q.ID = "b"
			if got := len(actionsOf[Reject](harness.step(millisecond, q))) > 0; got != tt.refused {
				t.Errorf("class %d with %v s ahead: refused %v, want %v", class, tt.ahead, got, tt.refused)
			}
		}
	}
}

// What others have ahead shows in slow answers: part of the calls is refused on arrival, but never all, or
// nothing would tell that the worker is well again. A scheduler of its own counts what it has out instead.
func TestRejectsForWorkOfPeers(t *testing.T) {
	for _, tt := range []struct {
		name      string
		change    func(*Settings)
		slow      time.Duration
		some, all bool
	}{
		{"slow answers, many schedulers", manySchedulers, 1500 * millisecond, true, false},
		{"quick answers, many schedulers", manySchedulers, 50 * millisecond, false, false},
		{"slow answers, one scheduler", unchangedSettings, 1500 * millisecond, false, false},
	} {
		harness := newHarness(t, settings(tt.change), readyWorkers(1)...)
		refused := 0
		for i := range 200 {
			acts := harness.step(millisecond, newTestRequest(fmt.Sprint("r", i), "f"))
			refused += len(actionsOf[Reject](acts))
			for _, s := range actionsOf[Send](acts) {
				e := attemptEnd(s, 0, Served)
				e.Latency = tt.slow
				harness.step(tt.slow, e)
			}
		}
		if refused > 0 != tt.some || refused > 190 != tt.all {
			t.Errorf("%s: %d of 200 refused", tt.name, refused)
		}
	}
}

// A tenant whose share at this scheduler is under one call a second still gets it.
func TestSmallQuotaAdmits(t *testing.T) {
	harness := newHarness(t, settings(func(s *Settings) {
		s.Schedulers, s.Tenants = 100, []Tenant{{QuotaFraction: 1, RequestsPerSecond: 20}}
	}), readyWorkers(1)...)
	harness.now += time.Minute
	harness.step(0)
	if harness.router.tenantQuotas.Exceeded(harness.router.now, 0) {
		t.Error("the first call in a minute is past its share")
	}
	if !harness.router.tenantQuotas.Exceeded(harness.router.now, 0) {
		t.Error("a second call at once is within a share of 0.2 a second")
	}
	harness.now += 6 * time.Second
	harness.step(0)
	if harness.router.tenantQuotas.Exceeded(harness.router.now, 0) {
		t.Error("past its share after 6 s at 0.2 a second")
	}
}

// On the word of others nobody is left out whom the rest could not do without.
func TestKeepsWorkersThatAreNeeded(t *testing.T) {
	harness := harnessWithPeers(t, 4)
	harness.wait(2 * time.Second)
	for _, w := range harness.router.workerList {
		w.concurrencyLimit = 2
		w.inFlight = make([]*attempt, 1) // half of the lanes of each are taken
		defer func() { w.inFlight = nil }()
	}
	harness.router.now += time.Millisecond
	harness.router.refreshCapacity()
	harness.router.applyPeerReports(confirmedReports("w0", "w1", "w2", "w3"))
	for _, w := range harness.router.workerList {
		if w.ejected {
			t.Errorf("%s is left out though half of all lanes are taken", w.ID)
		}
	}
}
