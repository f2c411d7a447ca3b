package virtual_test

import (
	"slices"
	"testing"

	"calicohill/internal/testbed/virtual"
)

// Starts of fleets whose schedulers have learned nothing yet, in virtual time: what they assume until responses teach them
// serves from the first seconds on, and makes no worker crash.
func TestStartWithoutLearnedState(t *testing.T) {
	for _, tt := range []struct {
		name              string
		experiment        virtual.Experiment
		fromSecond        int     // which the check begins with
		minServedFraction float64 // in each second from then on
	}{
		// Guards against a fault: nothing was sent to any worker for as long as all were warming up.
		{"all warming up", virtual.Experiment{Schedulers: 24, Workers: 10, WarmingWorkers: true, Rate: 80, Seconds: 14}, 7, 0.9},
		{"all warming up, uneven load", virtual.Experiment{Schedulers: 24, Workers: 10, WarmingWorkers: true, Rate: 80, Skew: 3, Seconds: 14}, 9, 0.8},
		// Guards against a fault: a budget of less than one call a window was hardly ever used.
		{"all warming up, many schedulers", virtual.Experiment{Schedulers: 120, Workers: 24, WarmingWorkers: true, Rate: 130, Seconds: 14}, 4, 0.5},
		// The preferred worker of the function that is called most is called 40 times as much as the mean worker.
		{"all warming up, hundreds of workers", virtual.Experiment{Schedulers: 300, Workers: 400, WarmingWorkers: true, Rate: 3200, Seconds: 3}, 0, 0.3},
		// Guards against a fault: the workers that schedulers knew were overloaded, and calls for all others were rejected for it.
		{"warm, few workers known", virtual.Experiment{Schedulers: 400, Workers: 80, Rate: 800, Seconds: 13}, 10, 0.86},
		{"four in five workers restart", virtual.Experiment{Schedulers: 120, Workers: 24, RestartedFraction: 0.8, Rate: 200, Seconds: 18}, 9, 0.7},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			experiment := tt.experiment
			experiment.Profile = "small"
			experiment.Seed = 1
			metrics, err := experiment.Run()
			if err != nil {
				t.Fatal(err)
			}
			if metrics.Crashed > 0 {
				t.Errorf("%d workers were overloaded and crashed", metrics.Crashed)
			}
			// Requests of the last second may not be answered yet.
			if worst := slices.Min(metrics.ServedBySecond[tt.fromSecond : experiment.Seconds-1]); worst < tt.minServedFraction {
				t.Errorf("%.2f served in the worst second, %.2f of all", worst, metrics.ServedFraction)
			}
		})
	}
}
