package routing

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Slow-start budget: guards against overloading a warming worker in any second of steady traffic.
func TestSlowStartBudget(t *testing.T) {
	harness := newHarness(t, settings(), readyWorker("w0", 0))
	requests := 0
	serve := func(period time.Duration) (sentAt []time.Duration) {
		for until := harness.now + period; harness.now < until; requests++ {
			arrival := newTestRequest(fmt.Sprint("r", requests), fmt.Sprint("f", requests%7))
			for _, s := range actionsOf[Send](harness.step(tickInterval, arrival, TimerFired{tickToken})) {
				if s.Worker == "w1" {
					sentAt = append(sentAt, harness.now)
				}
				harness.step(0, attemptEnd(s, 0, Served))
			}
		}
		return sentAt
	}
	serve(5 * time.Second) // about 100 requests per second at one warm worker
	rate := harness.router.slowStart.ThroughputPerWeight()
	harness.step(0, WorkerList{Workers: []Worker{
		{ID: "w1", State: Ready, Weight: 1, Started: harness.now},
		{ID: "w0", State: Draining},
	}})
	started := harness.now
	sentAt := serve(3 * time.Second)
	checkSlowStartBudget(t, sentAt, started, rate)
}

// checkSlowStartBudget fails the test if nothing was sent to a warming worker, or more in any second than its overload
// limit. rate is the throughput of the warm worker in requests per second; the capacity fractions and the overload
// multiple of 2 are those of settings.
func checkSlowStartBudget(t *testing.T, sentAt []time.Duration, started time.Duration, rate float64) {
	t.Helper()
	if len(sentAt) == 0 {
		t.Fatal("no request was sent to the warming worker")
	}
	for i, from := range sentAt {
		sent := 0
		for _, at := range sentAt[i:] {
			if at-from < time.Second {
				sent++
			}
		}
		capacityFraction := 0.25 + 0.75*(from+time.Second-started).Seconds()/10
		if limit := 2 * capacityFraction * rate; float64(sent) > limit {
			t.Fatalf("%d sends in the second from %v after the start, want at most %.0f", sent, from-started, limit)
		}
	}
}

// Slow-start budget: guards against exceeding it in a window that spans two quota windows, when a quota used up at the
// end of one is followed at once by the next.
func TestSlowStartBudgetInAnyWindow(t *testing.T) {
	harness := newHarness(t, settings(), readyWorker("w0", 0))
	requests := 0
	var sentAt []time.Duration
	step := func(count int) {
		events := []Event{TimerFired{tickToken}}
		for range count {
			events = append(events, newTestRequest(fmt.Sprint("r", requests), fmt.Sprint("f", requests%50)))
			requests++
		}
		for _, s := range actionsOf[Send](harness.step(tickInterval, events...)) {
			if s.Worker == "w1" {
				sentAt = append(sentAt, harness.now)
			}
			harness.step(0, attemptEnd(s, 0, Served))
		}
	}
	for range 500 { // about 100 requests per second at one warm worker
		step(1)
	}
	rate := harness.router.slowStart.ThroughputPerWeight()
	harness.step(0, WorkerList{Workers: []Worker{
		{ID: "w1", State: Ready, Weight: 1, Started: harness.now},
		{ID: "w0", State: Draining},
	}})
	started := harness.now
	for range 6 { // one request starts a window, and bursts arrive around its end
		step(1)
		for harness.now < harness.router.endpoints.byID["w1"].slowStart.QuotaUntil()-12*tickInterval {
			step(0)
		}
		for range 24 {
			step(30)
		}
	}
	checkSlowStartBudget(t, sentAt, started, rate)
}

// Guards against limiting a warming worker in a deployment where it cannot be overloaded.
func TestNoSlowStartBudgetWithoutOverload(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no overload multiple": func(s *Settings) { s.OverloadMultiple = 0 },
		"no overload duration": func(s *Settings) { s.OverloadDuration = 0 },
	} {
		warming := Worker{ID: "w0", State: Ready, Weight: 1, Started: time.Hour - time.Second}
		harness := newHarness(t, settings(change), warming)
		for i := range 5 {
			acts := harness.step(tickInterval, newTestRequest(fmt.Sprint("r", i), "f"))
			if len(actionsOf[Send](acts)) != 1 {
				t.Fatalf("%s: request %d was not sent", name, i)
			}
			harness.step(0, attemptEnd(actionsOf[Send](acts)[0], 0, Served))
		}
	}
}

// Slow-start budget: guards against many schedulers that exceed it together, because the quota of each is less than one
// request and each rounds it up.
func TestSlowStartBudgetOfManySchedulers(t *testing.T) {
	for _, schedulers := range []int{1, 3, 80, 220} {
		total, budget := 0, 0.0
		for seed := range schedulers {
			deployed := settings(func(s *Settings) { s.Schedulers = schedulers })
			harness := newSeededHarness(t, deployed, uint64(seed), readyWorkers(4)...)
			harness.warmUp(50, time.Second)
			warming := Worker{ID: "new", State: Ready, Weight: 1, Started: harness.now}
			harness.step(millisecond, WorkerList{Kind: ListFull, Workers: []Worker{warming}})
			budget += deployed.OverloadMultiple * deployed.SlowStartFraction * harness.router.slowStart.ThroughputPerWeight() *
				deployed.OverloadDuration.Seconds()
			for i := range 10 { // one window, with far more requests than the worker may get
				for k := range 10 { // new functions, of which one in five has the new worker first in its order
					id := fmt.Sprint("c", i, "-", k)
					for _, s := range actionsOf[Send](harness.step(5*millisecond, newTestRequest(id, "n"+id))) {
						if s.Worker == "new" {
							total++
						}
						harness.step(0, attemptEnd(s, 0, Served))
					}
				}
			}
		}
		if got, allowed := float64(total), budget+3*math.Sqrt(budget)+1; got > allowed {
			t.Errorf("%d schedulers sent %v requests to a warming worker in a window, want at most %v", schedulers, got, allowed)
		}
		if schedulers >= 80 && total == 0 {
			t.Errorf("%d schedulers sent no requests to a warming worker", schedulers)
		}
	}
}
