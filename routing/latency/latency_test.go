package latency_test

import (
	"math"
	"testing"
	"time"

	"calicohill/routing/latency"
)

const (
	now       = time.Hour
	decayTime = 8 * time.Second
)

func checkSeconds(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-12 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// Guards against a service time that does not start at the objective, move a fifth of the way to each answer, and decay
// back to the objective.
func TestServiceTime(t *testing.T) {
	estimator := latency.NewEstimator(decayTime)
	var function latency.Function
	var worker latency.Worker
	function.Declare(time.Second, 0)
	checkSeconds(t, "service time without answers", estimator.ServiceTime(&function, now), 1)
	estimator.ObserveWarm(&function, &worker, now, 0.5)
	checkSeconds(t, "service time after one answer", estimator.ServiceTime(&function, now), 0.9)
	checkSeconds(t, "service time one decay time later", estimator.ServiceTime(&function, now+decayTime), 1-0.1/math.E)
}

// Guards the order of the sources of a load time: the declared time, the highest latency within two decay times, the
// objective.
func TestLoadTime(t *testing.T) {
	estimator := latency.NewEstimator(decayTime)
	var function latency.Function
	function.Declare(time.Second, 0)
	checkSeconds(t, "load time without answers", estimator.LoadTime(&function, now), 1)
	estimator.Observe(&function, now, 3)
	estimator.Observe(&function, now, 2)
	checkSeconds(t, "load time after answers", estimator.LoadTime(&function, now), 3)
	checkSeconds(t, "load time two decay times later", estimator.LoadTime(&function, now+2*decayTime), 1)
	function.Declare(time.Second, 500*time.Millisecond)
	function.Declare(time.Second, 0)
	checkSeconds(t, "declared load time", estimator.LoadTime(&function, now), 0.5)
}

// Guards against a latency ratio that does not move half of the way to the ratio of an answer or decay back to 1, and
// against a worker that counts as slow at a ratio of 4 or below, or as not slow above 4.
func TestRatio(t *testing.T) {
	estimator := latency.NewEstimator(decayTime)
	var function latency.Function
	var usual, slow latency.Worker
	function.Declare(time.Second, 0)
	estimator.ObserveWarm(&function, &usual, now, 0.1)
	checkSeconds(t, "ratio of the only worker", estimator.Ratio(&usual, now), 1)
	estimator.ObserveWarm(&function, &slow, now, 0.7)
	checkSeconds(t, "ratio after an answer at 7 times the mean", estimator.Ratio(&slow, now), 4)
	if estimator.IsSlow(&slow, now) {
		t.Error("a worker counts as slow at 4 times the mean latency, want slow only above")
	}
	estimator.ObserveWarm(&function, &slow, now, 0.7)
	if !estimator.IsSlow(&slow, now) {
		t.Error("a worker does not count as slow above 4 times the mean latency")
	}
	checkSeconds(t, "ratio minus 1 one decay time later",
		estimator.Ratio(&slow, now+decayTime)-1, (estimator.Ratio(&slow, now)-1)/math.E)
}
