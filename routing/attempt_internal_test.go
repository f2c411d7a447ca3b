package routing

import (
	"fmt"
	"testing"
	"time"
)

// Load budget: guards against exceeding it in any window, regardless of how many functions need a load.
func TestLoadBudget(t *testing.T) {
	deployed := settings(loadsAllowed, func(s *Settings) { s.LoadBudgetPerRequest, s.LoadOnDemand = 0.01, false })
	harness := newHarness(t, deployed, readyWorkers(4)...)
	var arrivals, orders []time.Duration
	for i := range 1200 {
		if i == 600 {
			harness.now += 4 * time.Second // after this gap, the window's edge passes over a burst of requests
		}
		f := fmt.Sprint("f", i%40)
		acts := harness.step(5*millisecond, newTestRequest(fmt.Sprint("r", i), f), TimerFired{tickToken})
		arrivals = append(arrivals, harness.now)
		for _, l := range actionsOf[Load](acts) {
			orders = append(orders, harness.now)
			harness.step(0, LoadEnded{Worker: l.Worker, Function: l.Function, Outcome: Shed})
		}
		for _, s := range actionsOf[Send](acts) {
			harness.step(0, attemptEnd(s, 0, Served))
		}
		countWithin := func(times []time.Duration, window time.Duration) (count float64) {
			for _, at := range times {
				if harness.now-at <= window {
					count++
				}
			}
			return count
		}
		// A request may have arrived up to Settings.Tick (here 2 ms) before the batch that reported it.
		got, allowed := countWithin(orders, 5*time.Second), 2+0.01*countWithin(arrivals, 5*time.Second-2*millisecond)
		if got > allowed {
			t.Fatalf("%v loads ordered in the window, want at most %v", got, allowed)
		}
	}
	if len(orders) == 0 {
		t.Error("no load was ordered")
	}
}

// Guards against requests sent before their function is loaded, and against duplicate loads, where workers do not load
// on demand. One load is ordered, and the requests for the function wait until it has ended.
func TestOrdersLoadsWithoutLoadOnDemand(t *testing.T) {
	harness := newHarness(t, settings(loadsAllowed, func(s *Settings) { s.LoadOnDemand = false }), readyWorkers(3)...)
	acts := harness.step(millisecond, newTestRequest("a", "f"), newTestRequest("b", "f"))
	acts = append(acts, harness.wait(100*millisecond)...)
	loads := actionsOf[Load](acts)
	if len(loads) != 1 || len(actionsOf[Send](acts)) != 0 {
		t.Fatalf("got %v, want one Load and no Send before the load has ended", acts)
	}
	acts = harness.step(millisecond, LoadEnded{Worker: loads[0].Worker, Function: "f", Outcome: Served, Instances: 1})
	for _, s := range actionsOf[Send](acts) {
		if s.Worker != loads[0].Worker {
			t.Errorf("sent to %s, want %s, where the function is loaded", s.Worker, loads[0].Worker)
		}
	}
	if n := len(actionsOf[Send](acts)); n != 2 {
		t.Errorf("%d requests sent after the load, want 2", n)
	}
}
