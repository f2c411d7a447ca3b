// Package latency estimates service times and load times of functions, and relative latencies of workers,
// from the answers that a scheduler receives.
//
// All estimates are exponentially weighted means or recent maxima. While no answers arrive they decay to
// their defaults: a function's service time to the latency objective of its class, a worker's latency ratio
// to 1.
package latency

import (
	"cmp"
	"time"

	"calicohill/internal/stats/decay"
)

// Weight of a new sample in each moving average.
const (
	functionSampleWeight = 0.2  // in a function's service time
	workerSampleWeight   = 0.5  // in a worker's latency ratio; high because samples are rare
	meanSampleWeight     = 0.05 // in the mean over all workers
)

const (
	peakDecayTimes = 2   // maximum age of a function's highest latency, in decay time constants
	slowRatio      = 4.0 // latency ratio above which a worker is slow
)

// Estimator holds the state that all workers and functions share: the mean latency.
type Estimator struct {
	decayTime time.Duration // decay time constant of the estimates
	mean      float64       // moving average over all answers from warm instances, in seconds
}

// Function holds the latency estimates of one function.
type Function struct {
	objective        time.Duration // latency objective of its class
	declaredLoadTime time.Duration // usual load time declared by requests; 0 if unknown
	excess           decay.Value   // moving average of the latency minus the objective, in seconds
	peak             decay.Peak    // highest recent latency, in seconds
}

// Worker holds the latency estimate of one worker. The zero Worker has the mean latency.
type Worker struct {
	excess decay.Value // moving average of its latency divided by the mean of all workers, minus 1
}

// NewEstimator returns an Estimator whose estimates decay with the time constant decayTime.
func NewEstimator(decayTime time.Duration) *Estimator { return &Estimator{decayTime: decayTime} }

// ServiceTime returns the moving average of a function's latency at warm instances, in seconds.
func (e *Estimator) ServiceTime(function *Function, now time.Duration) float64 {
	return function.objective.Seconds() + e.Excess(function, now)
}

// Excess returns a function's service time minus the latency objective of its class, in seconds.
func (e *Estimator) Excess(function *Function, now time.Duration) float64 {
	return function.excess.At(now, e.decayTime)
}

// LoadTime estimates the load time of a function, in seconds. It is the declared time if there is one,
// otherwise the function's highest recent latency, otherwise the latency objective of its class.
func (e *Estimator) LoadTime(function *Function, now time.Duration) float64 {
	peak := function.peak.Within(now, peakDecayTimes*e.decayTime)
	if function.declaredLoadTime == 0 && peak > 0 {
		return peak
	}
	return cmp.Or(function.declaredLoadTime, function.objective).Seconds()
}

// Ratio returns a worker's latency divided by the mean latency of all workers.
func (e *Estimator) Ratio(worker *Worker, now time.Duration) float64 {
	return 1 + worker.excess.At(now, e.decayTime)
}

// IsSlow reports whether a worker's latency ratio is above slowRatio.
func (e *Estimator) IsSlow(worker *Worker, now time.Duration) bool {
	return e.Ratio(worker, now) > slowRatio
}

// Observe records the latency of an answer, which may include a load.
func (e *Estimator) Observe(function *Function, now time.Duration, seconds float64) {
	function.peak.Observe(now, peakDecayTimes*e.decayTime, seconds)
}

// ObserveWarm records the latency of an answer from a warm instance.
func (e *Estimator) ObserveWarm(function *Function, worker *Worker, now time.Duration, seconds float64) {
	e.mean = cmp.Or(e.mean, seconds)
	ratio := e.Ratio(worker, now)
	worker.excess.Set(now, ratio+workerSampleWeight*(seconds/e.mean-ratio)-1)
	e.mean += meanSampleWeight * (seconds - e.mean)
	serviceTime := e.ServiceTime(function, now)
	serviceTime += functionSampleWeight * (seconds - serviceTime)
	function.excess.Set(now, serviceTime-function.objective.Seconds())
}

// Declare sets the latency objective of the function's class. It also sets the usual load time if loadTime is
// above 0.
func (f *Function) Declare(objective, loadTime time.Duration) {
	f.objective = objective
	f.declaredLoadTime = cmp.Or(max(0, loadTime), f.declaredLoadTime)
}

// DeclaredLoadTime returns the usual load time declared by requests, or 0 if unknown.
func (f *Function) DeclaredLoadTime() time.Duration { return f.declaredLoadTime }

// RestoreExcess sets the service time to a value learned at learnedAt, in seconds above the objective.
func (f *Function) RestoreExcess(learnedAt time.Duration, seconds float64) {
	f.excess.Set(learnedAt, seconds)
}

// RestoreExcess sets the latency ratio to a value learned at learnedAt, given as the ratio minus 1.
func (w *Worker) RestoreExcess(learnedAt time.Duration, excess float64) {
	w.excess.Set(learnedAt, excess)
}
