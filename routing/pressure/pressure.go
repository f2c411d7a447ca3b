// Package pressure estimates the load of each worker from the attempts of one scheduler.
//
// The pressure of a worker is the utilization of its cores plus its latency as a multiple of the shortest
// latency objective. The estimate for a worker is stored as an excess over the mean of all workers, and
// decays to that mean without new samples. It uses load reports where answers carry them, and latencies
// otherwise. The SCORPIO design, from which this package departs, has no estimate of the load caused by other
// schedulers.
package pressure

import (
	"math"
	"time"

	"calicohill/internal/stats/decay"
)

const (
	displaceStart      = 0.9  // pressure from which functions move to the next worker in their order
	displaceAll        = 1.7  // pressure from which all functions have moved
	shedPressure       = 2.0  // pressure of a worker that sheds
	defaultLatency     = 0.2  // latency term of a sample whose latency is unrelated to a queue
	workerSampleWeight = 0.5  // weight of a sample in a worker's excess; high because samples are rare
	meanSampleWeight   = 0.05 // weight of a sample in the mean of all workers
	peerExponent       = 4    // how fast peerInfluence falls with a smaller number of peers
	// Requests for a worker begin to be rejected at a pressure of 1 plus rejectExcess. The probability rises
	// up to maxRejectProbability, which is below 1 because otherwise no answer would show that the worker has
	// recovered.
	rejectExcess         = 0.5
	maxRejectProbability = 0.8
)

// Estimator holds the state that all workers share: the mean pressure, and the influence of peers.
type Estimator struct {
	decayTime     time.Duration // decay time constant of a worker's excess
	objective     float64       // shortest latency objective of all classes, in seconds
	peerInfluence float64       // from 0 with no peers to almost 1 with many
	mean          float64       // moving average of the pressure over all workers
}

// Worker holds the pressure estimate of one worker. The zero Worker has the mean pressure.
type Worker struct {
	excess       decay.Value // pressure above the mean
	peerInFlight float64     // moving average of the requests in flight from other schedulers
}

// Result classifies the end of an attempt by what it shows about the pressure of the worker.
type Result int

// The results.
const (
	Inconclusive Result = iota // unrelated to a queue: only a load report counts
	AnsweredWarm               // answered by a loaded instance: the latency includes the queueing delay
	ShedWarm                   // rejected although an instance was loaded: the queue is full
	Lost                       // not answered: counts as an answer after Latency at full utilization
)

// Sample is the observation from an attempt that has ended.
type Sample struct {
	Result      Result
	Latency     time.Duration
	Reported    bool    // the answer carried a load report
	Utilization float64 // reported utilization of the cores; below 0 if unknown
}

// NewEstimator returns an Estimator for one of the given number of schedulers.
func NewEstimator(schedulers int, shortestObjective, decayTime time.Duration) *Estimator {
	peerFraction := 1 - 1/float64(schedulers)
	return &Estimator{
		decayTime:     decayTime,
		objective:     shortestObjective.Seconds(),
		peerInfluence: math.Pow(peerFraction, peerExponent),
	}
}

// PeerInfluence returns a weight for the share of a worker's load that is due to peers. It is 0 with no peers
// and approaches 1 with many.
func (e *Estimator) PeerInfluence() float64 { return e.peerInfluence }

// Mean returns the moving average of the pressure over all workers.
func (e *Estimator) Mean() float64 { return e.mean }

// RestoreMean sets the mean to a value learned by an earlier process.
func (e *Estimator) RestoreMean(mean float64) { e.mean = mean }

// Pressure returns the estimated pressure of a worker. The estimate decays to the mean of all workers, but to
// no more than displaceStart. Without that cap, a scheduler that samples only a few workers, all under
// pressure, would reject requests for the other workers too.
func (e *Estimator) Pressure(worker *Worker, now time.Duration) float64 {
	return min(e.mean, displaceStart) + e.Excess(worker, now)
}

// Excess returns the pressure of a worker above the mean.
func (e *Estimator) Excess(worker *Worker, now time.Duration) float64 {
	return worker.excess.At(now, e.decayTime)
}

// Overload returns how far the pressure of a worker is above 1+rejectExcess, the threshold of rejections, in
// units of rejectExcess.
func (e *Estimator) Overload(worker *Worker, now time.Duration) float64 {
	return (e.Pressure(worker, now) - 1 - rejectExcess) / rejectExcess
}

// RejectProbability returns the probability of rejecting a request for a worker with this overload.
// Rejections account for the requests that peers have in flight, which no other estimate includes.
func (e *Estimator) RejectProbability(overload float64) float64 {
	return min(overload, maxRejectProbability) * e.peerInfluence
}

// Displaces reports whether a function with this stickiness, from 0 to 1, moves from a worker to the next one
// in its order. The same functions move first at every scheduler. Without this, each scheduler would see only
// its own part of the load and keep sending to a worker that all of them together put under pressure. The
// effect is weaker with few schedulers, since a scheduler's own counts then cover most of the worker's load.
func (e *Estimator) Displaces(worker *Worker, now time.Duration, stickiness float64) bool {
	return (e.Pressure(worker, now)-displaceStart)/(displaceAll-displaceStart)*e.peerInfluence > stickiness
}

// Observe updates the estimates from an attempt that has ended.
func (e *Estimator) Observe(worker *Worker, now time.Duration, sample Sample) {
	pressure, ok := e.pressureOf(sample)
	if !ok {
		return
	}
	base := min(e.mean, displaceStart)
	excess := e.Excess(worker, now)
	worker.excess.Set(now, excess+workerSampleWeight*(pressure-base-excess))
	e.mean += meanSampleWeight * (pressure - e.mean)
}

// pressureOf returns the pressure that a sample shows. ok is false if the sample is inconclusive and carries
// no load report: its latency may include a load and is then unrelated to a queue.
func (e *Estimator) pressureOf(sample Sample) (pressure float64, ok bool) {
	relativeLatency := sample.Latency.Seconds() / e.objective
	utilization := min(relativeLatency, 1)
	if sample.Reported && sample.Utilization >= 0 {
		utilization = sample.Utilization
	}
	switch sample.Result {
	case Lost:
		return 1 + relativeLatency, true
	case ShedWarm:
		return shedPressure, true
	case AnsweredWarm:
		return utilization + relativeLatency, true
	default:
		return utilization + defaultLatency, sample.Reported
	}
}

// ObserveInFlight updates the average of the requests from other schedulers by a load report. reported is the
// total number of requests in flight at the worker, own the number from this scheduler.
func (w *Worker) ObserveInFlight(reported float64, own int) {
	peers := max(0, reported-float64(own))
	w.peerInFlight += workerSampleWeight * (peers - w.peerInFlight)
}

// PeerInFlight returns the moving average of the requests in flight from other schedulers.
func (w *Worker) PeerInFlight() float64 { return w.peerInFlight }

// RestoreExcess sets the excess of the worker to a value learned at learnedAt.
func (w *Worker) RestoreExcess(learnedAt time.Duration, excess float64) {
	w.excess.Set(learnedAt, excess)
}

// Restart resets the average of the requests from other schedulers, which a restart of the worker has ended.
func (w *Worker) Restart() { w.peerInFlight = 0 }
