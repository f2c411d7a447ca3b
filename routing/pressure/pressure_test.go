package pressure_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"calicohill/internal/stats/rendezvous"
	"calicohill/routing/pressure"
)

const (
	testObjective = time.Second
	testDecayTime = 8 * time.Second
)

// Guards against functions that stay at a worker that all schedulers together put under pressure. More functions move
// under more pressure, including all that move under less. None move if there is only one scheduler.
func TestFunctionsLeaveWorkerUnderPressure(t *testing.T) {
	const now = time.Hour
	// displacedFunctions returns those of 100 functions that move away from w0, which has this utilization and latency.
	// Three other workers are under low pressure.
	displacedFunctions := func(schedulers int, utilization float64, latency time.Duration) map[string]bool {
		estimator := pressure.NewEstimator(schedulers, testObjective, testDecayTime)
		workers := make([]pressure.Worker, 4)
		for range 8 {
			for i := range workers {
				sample := pressure.Sample{
					Result:      pressure.AnsweredWarm,
					Latency:     50 * time.Millisecond,
					Reported:    true,
					Utilization: 0.5,
				}
				if i == 0 {
					sample.Latency, sample.Utilization = latency, utilization
				}
				estimator.Observe(&workers[i], now, sample)
			}
		}
		displaced := map[string]bool{}
		for i := range 100 {
			name := fmt.Sprint("f", i)
			if estimator.Displaces(&workers[0], now, rendezvous.Uniform("w0", name)) {
				displaced[name] = true
			}
		}
		return displaced
	}
	idle := displacedFunctions(80, 0.4, 50*time.Millisecond)
	busy := displacedFunctions(80, 1, 50*time.Millisecond)
	slow := displacedFunctions(80, 1, 900*time.Millisecond)
	if len(idle) != 0 || len(busy) < 5 || len(busy) > 60 || len(slow) < 90 {
		t.Errorf("of 100 functions %d leave an idle worker, %d a busy one and %d a busy and slow one, want 0, 5 to 60 and at least 90",
			len(idle), len(busy), len(slow))
	}
	for name := range busy {
		if !slow[name] {
			t.Errorf("%s moves away from a busy worker but stays at a busy and slow one", name)
		}
	}
	if own := displacedFunctions(1, 1, 900*time.Millisecond); len(own) != 0 {
		t.Errorf("%d functions move away from a worker that only this scheduler puts under pressure", len(own))
	}
}

// Guards against a wrong pressure of a sample by its result. The first sample enters the worker's excess with half its
// pressure and the mean with a twentieth.
func TestObserveByResult(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		sample pressure.Sample
		want   float64 // pressure that the sample shows
	}{
		{"lost", pressure.Sample{Result: pressure.Lost, Latency: 3 * time.Second}, 4},
		{"shed", pressure.Sample{Result: pressure.ShedWarm, Latency: time.Millisecond}, 2},
		{"answered, no report", pressure.Sample{Result: pressure.AnsweredWarm, Latency: time.Second / 4}, 0.5},
		{"answered, utilization unknown", pressure.Sample{
			Result: pressure.AnsweredWarm, Latency: time.Second / 4, Reported: true, Utilization: -1,
		}, 0.5},
		{"answered, report", pressure.Sample{
			Result: pressure.AnsweredWarm, Latency: time.Second / 4, Reported: true, Utilization: 0.75,
		}, 1},
		{"inconclusive, report", pressure.Sample{Reported: true, Utilization: 0.3}, 0.5},
		{"inconclusive, no report", pressure.Sample{Latency: time.Second}, 0},
	} {
		estimator := pressure.NewEstimator(1, testObjective, testDecayTime)
		var worker pressure.Worker
		estimator.Observe(&worker, time.Hour, testCase.sample)
		excess, mean := estimator.Excess(&worker, time.Hour), estimator.Mean()
		if math.Abs(excess-testCase.want/2) > 1e-12 || math.Abs(mean-testCase.want/20) > 1e-12 {
			t.Errorf("%s: excess %v and mean %v, want %v and %v", testCase.name, excess, mean, testCase.want/2, testCase.want/20)
		}
	}
}

// Guards against rejecting requests below a pressure of 1.5, with a probability above 0.8, or without any peers.
func TestRejectProbability(t *testing.T) {
	for _, testCase := range []struct {
		schedulers int
		excess     float64 // pressure, while the mean is 0
		overload   float64
		want       float64
	}{{2, 1.5, 0, 0}, {2, 1.75, 0.5, 0.5 / 16}, {2, 3, 3, 0.8 / 16}, {1, 3, 3, 0}} {
		estimator := pressure.NewEstimator(testCase.schedulers, testObjective, testDecayTime)
		var worker pressure.Worker
		worker.RestoreExcess(time.Hour, testCase.excess)
		overload := estimator.Overload(&worker, time.Hour)
		if got := estimator.RejectProbability(overload); overload != testCase.overload || math.Abs(got-testCase.want) > 1e-12 {
			t.Errorf("%d schedulers, pressure %v: overload %v, probability %v, want %v and %v",
				testCase.schedulers, testCase.excess, overload, got, testCase.overload, testCase.want)
		}
	}
}
