package concurrency_test

import (
	"math"
	"testing"
	"time"

	"calicohill/routing/concurrency"
)

// Guards the AIMD rules. The initial limit is an equal share of 12, but at least 2. A slow answer or a shed at a warm
// instance lowers it by a fifth; a fast answer while the limit is in use raises it by its reciprocal.
func TestLimit(t *testing.T) {
	const objective = 1.0
	for _, testCase := range []struct {
		name       string
		schedulers int
		change     func(*concurrency.Worker)
		want       float64
	}{
		{"initial", 3, func(*concurrency.Worker) {}, 4},
		{"initial, many schedulers", 80, func(*concurrency.Worker) {}, 2},
		{"slow", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.71, objective, 0) }, 3.2},
		{"neither slow nor fast", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.36, objective, 9) }, 4},
		{"fast, in use", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.34, objective, 1) }, 4.25},
		{"fast, not in use", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.34, objective, 0) }, 4},
		{"shed", 3, func(w *concurrency.Worker) { w.RecordShed(0, 1, false) }, 3.2},
		{"shed, may need a load", 3, func(w *concurrency.Worker) { w.RecordShed(0, 1, true) }, 4},
		{"readmitted", 3, func(w *concurrency.Worker) { w.Readmit() }, 2},
		{"minimum", 80, func(w *concurrency.Worker) {
			for range 10 {
				w.RecordWarmLatency(2, objective, 0)
			}
		}, 1},
	} {
		worker := concurrency.NewWorker(testCase.schedulers)
		testCase.change(&worker)
		if got := worker.Limit(); math.Abs(got-testCase.want) > 1e-12 {
			t.Errorf("%s: the limit is %v, want %v", testCase.name, got, testCase.want)
		}
	}
}

// Guards against a backoff that does not start at an eighth of a service time and double with each consecutive shed up
// to a full one, and against a backoff that blocks requests for warm instances after a shed that needed a load.
func TestBackoffDoubles(t *testing.T) {
	const now = time.Hour
	for _, mayNeedLoad := range []bool{false, true} {
		worker := concurrency.NewWorker(1)
		for _, want := range []time.Duration{125, 250, 500, 1000, 1000} {
			worker.RecordShed(now, 1, mayNeedLoad)
			end := now + want*time.Millisecond
			if !worker.BacksOffLoads(end-1) || worker.BacksOffLoads(end) {
				t.Errorf("the backoff of new loads does not last exactly %v ms", int64(want))
			}
			if worker.HasCapacity(end-1, 0) != mayNeedLoad || !worker.HasCapacity(end, 0) {
				t.Errorf("load needed %v: wrong backoff of requests during or after the %v ms", mayNeedLoad, int64(want))
			}
		}
		worker.RecordServed()
		later := now + time.Minute
		worker.RecordShed(later, 1, mayNeedLoad)
		if worker.BacksOffLoads(later + 125*time.Millisecond) {
			t.Error("an answer does not reset the count of consecutive sheds")
		}
	}
}

// Guards against ejecting a worker on peers' reports when its load would raise the utilization of the others to 0.4.
func TestCanCarryWithout(t *testing.T) {
	for _, testCase := range []struct {
		inFlight int // at each of three workers with a limit of 4
		want     bool
	}{{0, true}, {1, true}, {2, false}} {
		var capacity concurrency.Capacity
		workers := make([]concurrency.Worker, 3)
		for i := range workers {
			workers[i] = concurrency.NewWorker(3)
			capacity.Add(&workers[i], testCase.inFlight)
		}
		if got := capacity.HasCapacityWithout(&workers[0]); got != testCase.want {
			t.Errorf("%d requests in flight at each of three workers: got %v, want %v", testCase.inFlight, got, testCase.want)
		}
	}
}
