package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against cold starts where a warm instance exists: requests go to the worker where the function is loaded.
func TestPrefersWarmInstance(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(8)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	for i := range 10 {
		again := harness.send(fmt.Sprint("b", i), "f")
		if again.Worker != s.Worker {
			t.Fatalf("sent to %s, want %s, where the function is warm", again.Worker, s.Worker)
		}
		harness.step(50*millisecond, attemptEnd(again, 0, Served))
	}
}

// Guards against duplicate loads by several schedulers: with different seeds they choose the same worker for the first
// instance of a function.
func TestSchedulersAgreeOnFirstLoad(t *testing.T) {
	for i := range 10 {
		f := fmt.Sprint("f", i)
		one := newHarness(t, settings(threeSchedulers), readyWorkers(8)...)
		two := newHarness(t, settings(threeSchedulers), readyWorkers(8)...)
		two.router.rng = rand.New(rand.NewPCG(99, 0))
		if a, b := one.send("a", f), two.send("b", f); a.Worker != b.Worker {
			t.Errorf("%s is sent to %s by one scheduler and to %s by another", f, a.Worker, b.Worker)
		}
	}
}

// Guards against retrying at once at a worker that shed a request that needed a load: it gets no new load during a
// backoff.
func TestBacksOffAfterShed(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(1)...)
	s := harness.send("a", "f")
	if acts := harness.step(millisecond, attemptEnd(s, 0, Shed)); len(actionsOf[Send](acts)) != 0 {
		t.Errorf("retried at once at the worker that shed the request: %v", acts)
	}
	if acts := harness.wait(2500 * millisecond); len(actionsOf[Send](acts)) == 0 {
		t.Error("not retried after the backoff")
	}
}

// Guards against schedulers that spread a function over different workers. A frequently called function has several
// preferred workers, the same at all schedulers; a rarely called one has one.
func TestSchedulersAgreeOnPreferredWorkers(t *testing.T) {
	var first []*worker
	for seed := range uint64(3) {
		harness := newSeededHarness(t, settings(manySchedulers), seed, readyWorkers(20)...)
		for i := range 200 {
			f := "hot"
			if i%2 == 0 {
				f = fmt.Sprint("f", i)
			}
			for _, s := range actionsOf[Send](harness.step(20*millisecond, newTestRequest(fmt.Sprint("r", i), f))) {
				harness.step(0, attemptEnd(s, 0, Served))
			}
		}
		hot := harness.router.picker.preferredWorkers(harness.router.now, harness.router.placements.functions["hot"])
		rare := harness.router.picker.preferredWorkers(harness.router.now, harness.router.placements.functions["f198"])
		if len(hot) < 5 || len(rare) != 1 {
			t.Fatalf("%d preferred workers for a function with half of all requests and %d for a rare one, want at least 5 and 1",
				len(hot), len(rare))
		}
		if first == nil {
			first = hot
		}
		for i := range min(len(hot), len(first)) {
			if hot[i].ID != first[i].ID {
				t.Errorf("preferred worker %d is %s at one scheduler and %s at another", i, hot[i].ID, first[i].ID)
			}
		}
	}
}

// Guards against requests sent outside their pool: they use its fallback if the pool has no capacity. A change of the
// pool takes effect at once.
func TestFallbackPool(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(6)...)
	second := &Pool{Workers: map[string]bool{"w2": true, "w3": true}}
	first := &Pool{Workers: map[string]bool{"w0": true, "w1": true}, Fallback: second}
	sentTo := map[string]int{}
	for i := range 200 {
		arrival := newTestRequest(fmt.Sprintf("a%d", i), "f\x00lane")
		arrival.Pool = first
		for _, s := range actionsOf[Send](harness.step(millisecond, arrival)) {
			sentTo[s.Worker]++
		}
	}
	harness.wait(3 * time.Second)
	if sentTo["w4"]+sentTo["w5"] > 0 {
		t.Errorf("sent outside the pool and its fallback: %v", sentTo)
	}
	if sentTo["w0"]+sentTo["w1"] == 0 || sentTo["w2"]+sentTo["w3"] == 0 {
		t.Errorf("sent only to the pool or only to its fallback: %v", sentTo)
	}
	first.Workers = map[string]bool{"w4": true}
	arrival := newTestRequest("late", "g\x00lane")
	arrival.Pool = first
	if got := actionsOf[Send](harness.step(0, PoolsChanged{}, arrival)); len(got) != 1 || got[0].Worker != "w4" {
		t.Errorf("after a change of the pool: got %v, want one Send to w4", got)
	}
}

// Guards against preferring a worker of unknown load: of two idle workers that many schedulers share, the one that
// recently answered this scheduler counts as less busy.
func TestPrefersWorkerThatAnsweredLately(t *testing.T) {
	harness := newHarness(t, settings(manySchedulers), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	answered := harness.router.endpoints.byID[s.Worker]
	other := harness.router.endpoints.list[0]
	if other == answered {
		other = harness.router.endpoints.list[1]
	}
	if !harness.router.picker.busier(harness.router.now, harness.router.rng, other, answered) || harness.router.picker.busier(harness.router.now, harness.router.rng, answered, other) {
		t.Error("a worker that has not answered does not count as busier than one that has")
	}
	harness.wait(harness.router.settings.InstanceKeepAlive + time.Second)
	if harness.router.picker.relativeLoad(harness.router.now, answered) != harness.router.picker.relativeLoad(harness.router.now, other) {
		t.Error("an answer older than the keep-alive still lowers the load")
	}
}
