package virtual_test

import (
	"slices"
	"testing"

	"calicohill/internal/testbed/virtual"
)

// Guards against initial assumptions of schedulers without learned state that crash workers, or that leave many requests
// unserved for longer than the first seconds.
func TestStartWithoutLearnedState(t *testing.T) {
	for _, tt := range []struct {
		name              string
		experiment        virtual.Experiment
		fromSecond        int     // first second that is checked
		minServedFraction float64 // in each second from fromSecond on
	}{
		// Guards against sending no requests at all while all workers are warming up.
		{"all warming up", virtual.Experiment{Schedulers: 24, Workers: 10, WarmingWorkers: true, Rate: 80, Seconds: 14}, 7, 0.9},
		{"all warming up, uneven load", virtual.Experiment{Schedulers: 24, Workers: 10, WarmingWorkers: true, Rate: 80, Skew: 3, Seconds: 14}, 9, 0.8},
		// Guards against a budget of less than one call per window being almost never used.
		{"all warming up, many schedulers", virtual.Experiment{Schedulers: 120, Workers: 24, WarmingWorkers: true, Rate: 130, Seconds: 14}, 4, 0.5},
		// The preferred worker of the most popular function gets 40 times the calls of an average worker.
		{"all warming up, hundreds of workers", virtual.Experiment{Schedulers: 300, Workers: 400, WarmingWorkers: true, Rate: 3200, Seconds: 3}, 0, 0.3},
		// Guards against rejecting calls to all other workers because the workers known to a scheduler are overloaded.
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
			// Requests of the last second may still be in flight.
			if worst := slices.Min(metrics.ServedBySecond[tt.fromSecond : experiment.Seconds-1]); worst < tt.minServedFraction {
				t.Errorf("served %.2f in the worst second and %.2f overall", worst, metrics.ServedFraction)
			}
		})
	}
}
