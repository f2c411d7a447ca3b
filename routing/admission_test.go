package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestRefusalOnArrival(t *testing.T) {
	b := newHarness(t, settings(), readyWorkers(1)...)
	first := b.send("first", "f") // nothing ahead: never refused
	answer := attemptEnd(first, 0, Served)
	answer.Latency = 900 * millisecond
	b.step(900*millisecond, answer)
	refused := 0
	for i := range 60 {
		refused += len(actionsOf[Reject](b.step(0, newTestRequest(fmt.Sprint("r", i), "f"))))
	}
	if refused == 0 {
		t.Error("nothing refused with a queue far longer than the deadline")
	}
}

// A function slower to load than its callers wait would be refused for ever if nobody's call began its load.
func TestAHopelessCallStillBeginsALoad(t *testing.T) {
	b := newHarness(t, settings(), readyWorkers(3)...)
	s := b.send("warm", "g")
	b.step(50*millisecond, attemptEnd(s, 0, Served))
	b.send("ahead", "g")
	slow := newTestRequest("first", "f")
	slow.TimeLeft, slow.LoadTime = 2500*millisecond, 5*time.Second
	if acts := b.step(millisecond, slow); len(actionsOf[Send](acts)) != 1 {
		t.Errorf("first call: %v, want it sent", acts)
	}
	slow.ID = "second"
	if acts := b.step(millisecond, slow); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("second call, its load under way but too late: %v, want it refused", acts)
	}
}

// With the same work ahead, a class with a short aim is treated like one with a long aim, or it would starve.
func TestShortAimsDoNotStarve(t *testing.T) {
	for _, c := range []struct {
		ahead   float64 // seconds of work ahead, for each lane
		refused bool
	}{{0.1, false}, {0.3, false}, {0.5, true}, {0.9, true}} {
		for class := range 2 {
			b := newHarness(t, settings(func(s *Settings) {
				s.Classes = append(s.Classes, s.Classes[0])
				s.Classes[1].LatencyObjective = 700 * millisecond
			}), readyWorkers(2)...)
			q := newTestRequest("a", "f")
			q.Class = class
			s := actionsOf[Send](b.step(millisecond, q))[0]
			b.step(millisecond, attemptEnd(s, 0, Served))
			b.router.functions["f"].serviceTimeExcess.Set(b.router.now, 0.3-b.router.settings.Classes[class].LatencyObjective.Seconds())
			b.router.inFlightWork = c.ahead * b.router.capacity
			q.ID = "b"
			if got := len(actionsOf[Reject](b.step(millisecond, q))) > 0; got != c.refused {
				t.Errorf("class %d with %v s ahead: refused %v, want %v", class, c.ahead, got, c.refused)
			}
		}
	}
}

// What others have ahead shows in slow answers: part of the calls is refused on arrival, but never all, or
// nothing would tell that the worker is well again. A scheduler of its own counts what it has out instead.
func TestRefusalForTheWorkOfOthers(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(*Settings)
		slow      time.Duration
		some, all bool
	}{
		{"slow answers, many schedulers", manySchedulers, 1500 * millisecond, true, false},
		{"quick answers, many schedulers", manySchedulers, 50 * millisecond, false, false},
		{"slow answers, one scheduler", unchangedSettings, 1500 * millisecond, false, false},
	} {
		b := newHarness(t, settings(c.change), readyWorkers(1)...)
		refused := 0
		for i := range 200 {
			acts := b.step(millisecond, newTestRequest(fmt.Sprint("r", i), "f"))
			refused += len(actionsOf[Reject](acts))
			for _, s := range actionsOf[Send](acts) {
				e := attemptEnd(s, 0, Served)
				e.Latency = c.slow
				b.step(c.slow, e)
			}
		}
		if refused > 0 != c.some || refused > 190 != c.all {
			t.Errorf("%s: %d of 200 refused", c.name, refused)
		}
	}
}

// A tenant whose share at this scheduler is under one call a second still gets it.
func TestSmallShareAdmits(t *testing.T) {
	b := newHarness(t, settings(func(s *Settings) {
		s.Schedulers, s.Tenants = 100, []Tenant{{QuotaFraction: 1, RequestsPerSecond: 20}}
	}), readyWorkers(1)...)
	b.now += time.Minute
	b.step(0)
	if b.router.tenantQuotas.Exceeded(b.router.now, 0) {
		t.Error("the first call in a minute is past its share")
	}
	if !b.router.tenantQuotas.Exceeded(b.router.now, 0) {
		t.Error("a second call at once is within a share of 0.2 a second")
	}
	b.now += 6 * time.Second
	b.step(0)
	if b.router.tenantQuotas.Exceeded(b.router.now, 0) {
		t.Error("past its share after 6 s at 0.2 a second")
	}
}

// On the word of others nobody is left out whom the rest could not do without.
func TestKeepsWhoIsNeeded(t *testing.T) {
	b := harnessWithPeers(t, 4)
	b.wait(2 * time.Second)
	for _, w := range b.router.workerList {
		w.concurrencyLimit = 2
		w.inFlight = make([]*attempt, 1) // half of the lanes of each are taken
		defer func() { w.inFlight = nil }()
	}
	b.router.now += time.Millisecond
	b.router.refreshCapacity()
	b.router.applyPeerReports(confirmedReports("w0", "w1", "w2", "w3"))
	for _, w := range b.router.workerList {
		if w.ejected {
			t.Errorf("%s is left out though half of all lanes are taken", w.ID)
		}
	}
}
