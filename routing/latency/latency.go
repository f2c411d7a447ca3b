// Package latency estimates from answers how long functions run and load, and how workers compare.
//
// All estimates are exponentially weighted means or recent maxima. They decay back to what holds without
// knowledge while no answers come: a function's service time to the latency objective of its class, a
// worker's ratio to 1.
package latency

import (
	"cmp"
	"time"

	"calicohill/internal/stats/decay"
)

// Weight of a new sample in each running mean.
const (
	functionSampleWeight = 0.2  // of a function's service time
	workerSampleWeight   = 0.5  // of what is known of one worker, which is sampled seldom
	meanSampleWeight     = 0.05 // of the mean of all workers
)

const (
	slowestKeepAlives = 2   // keep-alives over which the slowest latency of a function is kept
	slowRatio         = 4.0 // latency over that of all workers from which a worker is slow
)

// Estimator holds what all workers and functions have in common: the mean latency.
type Estimator struct {
	fading time.Duration // time constant with which estimates decay
	mean   float64       // running mean over all warm answers, in seconds
}

// Function is what is known of the latencies of one function.
type Function struct {
	objective        time.Duration // latency objective of its class
	declaredLoadTime time.Duration // usual time of a load as requests say; 0 if unknown
	excess           decay.Value   // running mean of latencies over the objective, in seconds
	slowest          decay.Peak    // the slowest recent one, in seconds
}

// Worker is what is known of the latencies of one worker. The zero Worker is as fast as all.
type Worker struct {
	excess decay.Value // running mean of its latency over that of all workers, less 1
}

// NewEstimator returns an Estimator whose estimates decay with this time constant.
func NewEstimator(fading time.Duration) *Estimator { return &Estimator{fading: fading} }

// ServiceTime is the running mean of a function's latencies at warm instances, in seconds.
func (e *Estimator) ServiceTime(function *Function, now time.Duration) float64 {
	return function.objective.Seconds() + e.Excess(function, now)
}

// Excess is a function's service time over the latency objective of its class, in seconds.
func (e *Estimator) Excess(function *Function, now time.Duration) float64 {
	return function.excess.At(now, e.fading)
}

// LoadTime estimates the time of a load, in seconds: as declared, else the function's slowest recent latency,
// else the latency objective of its class.
func (e *Estimator) LoadTime(function *Function, now time.Duration) float64 {
	slowest := function.slowest.Within(now, slowestKeepAlives*e.fading)
	if function.declaredLoadTime == 0 && slowest > 0 {
		return slowest
	}
	return cmp.Or(function.declaredLoadTime, function.objective).Seconds()
}

// Ratio is how a worker's latencies compare with those of all workers; 1 is the same.
func (e *Estimator) Ratio(worker *Worker, now time.Duration) float64 {
	return 1 + worker.excess.At(now, e.fading)
}

// IsSlow reports whether a worker answers much later than others.
func (e *Estimator) IsSlow(worker *Worker, now time.Duration) bool {
	return e.Ratio(worker, now) > slowRatio
}

// Observe learns from the latency of any answer, which may include a load.
func (e *Estimator) Observe(function *Function, now time.Duration, seconds float64) {
	function.slowest.Observe(now, slowestKeepAlives*e.fading, seconds)
}

// ObserveWarm learns from the latency of an answer of a warm instance.
func (e *Estimator) ObserveWarm(function *Function, worker *Worker, now time.Duration, seconds float64) {
	e.mean = cmp.Or(e.mean, seconds)
	ratio := e.Ratio(worker, now)
	worker.excess.Set(now, ratio+workerSampleWeight*(seconds/e.mean-ratio)-1)
	e.mean += meanSampleWeight * (seconds - e.mean)
	serviceTime := e.ServiceTime(function, now)
	serviceTime += functionSampleWeight * (seconds - serviceTime)
	function.excess.Set(now, serviceTime-function.objective.Seconds())
}

// Declare takes in the latency objective of a function's class, and the usual time of a load if that is above
// 0.
func (f *Function) Declare(objective, loadTime time.Duration) {
	f.objective = objective
	f.declaredLoadTime = cmp.Or(max(0, loadTime), f.declaredLoadTime)
}

// DeclaredLoadTime is the usual time of a load as requests say; 0 if unknown.
func (f *Function) DeclaredLoadTime() time.Duration { return f.declaredLoadTime }

// RestoreExcess sets the service time to what was learned at an earlier time, in seconds over the objective.
func (f *Function) RestoreExcess(learnedAt time.Duration, seconds float64) {
	f.excess.Set(learnedAt, seconds)
}

// RestoreExcess sets the ratio of a worker to what was learned of it at an earlier time, less 1.
func (w *Worker) RestoreExcess(learnedAt time.Duration, excess float64) {
	w.excess.Set(learnedAt, excess)
}
