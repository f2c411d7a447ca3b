package concurrency_test

import (
	"math"
	"testing"
	"time"

	"calicohill/routing/concurrency"
)

// The limit starts from a part of 12, at least 2; late answers and sheds of warm instances lower it by a fifth, quick answers
// while it is in use raise it by one part in the limit.
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
		{"late", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.71, objective, 0) }, 3.2},
		{"neither late nor quick", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.36, objective, 9) }, 4},
		{"quick, in use", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.34, objective, 1) }, 4.25},
		{"quick, not in use", 3, func(w *concurrency.Worker) { w.RecordWarmLatency(0.34, objective, 0) }, 4},
		{"shed", 3, func(w *concurrency.Worker) { w.RecordShed(0, 1, false) }, 3.2},
		{"shed for want of memory", 3, func(w *concurrency.Worker) { w.RecordShed(0, 1, true) }, 4},
		{"readmitted", 3, func(w *concurrency.Worker) { w.Readmit() }, 2},
		{"at its least", 80, func(w *concurrency.Worker) {
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

// A worker that sheds is left alone for an eighth of a service time, which doubles with each shed in a row up to a whole
// one. Where a load was needed it still gets requests for warm instances.
func TestBackoffDoubles(t *testing.T) {
	const now = time.Hour
	for _, mayNeedLoad := range []bool{false, true} {
		worker := concurrency.NewWorker(1)
		for _, want := range []time.Duration{125, 250, 500, 1000, 1000} {
			worker.RecordShed(now, 1, mayNeedLoad)
			end := now + want*time.Millisecond
			if !worker.BacksOffLoads(end-1) || worker.BacksOffLoads(end) {
				t.Errorf("new loads are not left off for just %v ms", int64(want))
			}
			if worker.HasCapacity(end-1, 0) != mayNeedLoad || !worker.HasCapacity(end, 0) {
				t.Errorf("load needed %v: no capacity for just %v ms is wrong", mayNeedLoad, int64(want))
			}
		}
		worker.RecordServed()
		later := now + time.Minute
		worker.RecordShed(later, 1, mayNeedLoad)
		if worker.BacksOffLoads(later + 125*time.Millisecond) {
			t.Error("the first shed after an answer is not the first of a row")
		}
	}
}

// Reports of peers take out a worker only if the others keep to 0.4 of their capacity with its load too.
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
		if got := capacity.CanCarryWithout(&workers[0]); got != testCase.want {
			t.Errorf("%d in flight at each of three: %v, want %v", testCase.inFlight, got, testCase.want)
		}
	}
}
