package latency_test

import (
	"math"
	"testing"
	"time"

	"calicohill/routing/latency"
)

const (
	now    = time.Hour
	fading = 8 * time.Second
)

func checkSeconds(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-12 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// A function's service time starts at the objective, moves a fifth of the way to each answer, and decays back.
func TestServiceTime(t *testing.T) {
	estimator := latency.NewEstimator(fading)
	var function latency.Function
	var worker latency.Worker
	function.Declare(time.Second, 0)
	checkSeconds(t, "service time without answers", estimator.ServiceTime(&function, now), 1)
	estimator.ObserveWarm(&function, &worker, now, 0.5)
	checkSeconds(t, "service time after one answer", estimator.ServiceTime(&function, now), 0.9)
	checkSeconds(t, "service time a keep-alive later", estimator.ServiceTime(&function, now+fading), 1-0.1/math.E)
}

// The time of a load is the declared one, else the slowest answer of two keep-alives, else the objective.
func TestLoadTime(t *testing.T) {
	estimator := latency.NewEstimator(fading)
	var function latency.Function
	function.Declare(time.Second, 0)
	checkSeconds(t, "load time without answers", estimator.LoadTime(&function, now), 1)
	estimator.Observe(&function, now, 3)
	estimator.Observe(&function, now, 2)
	checkSeconds(t, "load time after answers", estimator.LoadTime(&function, now), 3)
	checkSeconds(t, "load time two keep-alives later", estimator.LoadTime(&function, now+2*fading), 1)
	function.Declare(time.Second, 500*time.Millisecond)
	function.Declare(time.Second, 0)
	checkSeconds(t, "declared load time", estimator.LoadTime(&function, now), 0.5)
}

// A worker's ratio moves half of the way to that of an answer, and decays back to 1. A worker is slow above 4.
func TestRatio(t *testing.T) {
	estimator := latency.NewEstimator(fading)
	var function latency.Function
	var usual, slow latency.Worker
	function.Declare(time.Second, 0)
	estimator.ObserveWarm(&function, &usual, now, 0.1)
	checkSeconds(t, "ratio of the only worker", estimator.Ratio(&usual, now), 1)
	estimator.ObserveWarm(&function, &slow, now, 0.7)
	checkSeconds(t, "ratio after an answer of 7 times the mean", estimator.Ratio(&slow, now), 4)
	if estimator.IsSlow(&slow, now) {
		t.Error("a worker is slow at 4 times the mean latency")
	}
	estimator.ObserveWarm(&function, &slow, now, 0.7)
	if !estimator.IsSlow(&slow, now) {
		t.Error("a worker is not slow above 4 times the mean latency")
	}
	checkSeconds(t, "excess left a keep-alive later", estimator.Ratio(&slow, now+fading)-1, (estimator.Ratio(&slow, now)-1)/math.E)
}
