// Package pressure estimates under how much load each worker is, as a scheduler can tell from its own
// attempts.
//
// The pressure of a worker is the busy fraction of its cores plus a latency in shortest objectives. What is
// known of one worker is kept as an excess over the mean of all, and fades to that mean while nothing new is
// learned. The estimate follows load reports where answers carry them, and latencies where they do not. It
// departs from the SCORPIO design, which has no estimate of what other schedulers cause.
package pressure

import (
	"math"
	"time"

	"calicohill/internal/stats/decay"
)

const (
	leaveStart         = 0.9  // from here functions leave a worker for the next one in their order
	leaveFull          = 1.7  // from here all have left
	shedding           = 2.0  // of a worker that sheds
	idleLatency        = 0.2  // latency part of an answer that says nothing of a queue
	workerSampleWeight = 0.5  // weight of a sample in what is known of one worker, which is sampled seldom
	meanSampleWeight   = 0.05 // weight of a sample in the mean of all workers
	peerExponent       = 4    // how fast what peers cause stops to matter when there are few of them
	// Requests for workers whose pressure is this far over 1 begin to be rejected, and at twice that the
	// probability of a rejection is highest. It stays below 1, or no worker would be seen to recover.
	rejectExcess         = 0.5
	maxRejectProbability = 0.8
)

// Estimator holds what all workers have in common: the mean pressure, and how much of it is due to peers.
type Estimator struct {
	fading        time.Duration // time constant with which the excess of a worker fades
	objective     float64       // shortest latency objective of all classes, in seconds
	peerInfluence float64
	mean          float64 // running mean of the pressure of the workers
}

// Worker is what is known of one worker. The zero Worker is under the mean pressure.
type Worker struct {
	excess       decay.Value // pressure above that of the others
	peerInFlight float64     // running mean of requests of other schedulers
}

// Result tells what the end of an attempt says of the pressure of its worker.
type Result int

// The results.
const (
	Inconclusive Result = iota // it says nothing of a queue; only a report that came along counts
	AnsweredWarm               // an answer of a loaded instance: its latency shows the queue
	ShedWarm                   // rejected though an instance was loaded: the queue is full
	Lost                       // no answer came: counts as a late one
)

// Sample is what an attempt that ended shows of its worker.
type Sample struct {
	Result      Result
	Latency     time.Duration
	Reported    bool    // a load report came along
	Utilization float64 // busy fraction of the cores as reported; below 0 if unknown
}

// NewEstimator returns an Estimator for one of so many schedulers.
func NewEstimator(schedulers int, shortestObjective, fading time.Duration) *Estimator {
	peerFraction := 1 - 1/float64(schedulers)
	return &Estimator{
		fading:        fading,
		objective:     shortestObjective.Seconds(),
		peerInfluence: math.Pow(peerFraction, peerExponent),
	}
}

// PeerInfluence is how much of a worker's load is due to peers: 0 with none, almost 1 with many.
func (e *Estimator) PeerInfluence() float64 { return e.peerInfluence }

// Mean is the running mean of the pressure of the workers.
func (e *Estimator) Mean() float64 { return e.mean }

// RestoreMean sets the mean to what an earlier process learned.
func (e *Estimator) RestoreMean(mean float64) { e.mean = mean }

// Of is the pressure that a worker is believed to be under: as last seen, fading to that of the others, yet
// to no more than what it keeps its functions with. A scheduler that sees few workers, all under pressure,
// would reject requests for the rest.
func (e *Estimator) Of(worker *Worker, now time.Duration) float64 {
	return min(e.mean, leaveStart) + e.Excess(worker, now)
}

// Excess is the pressure of a worker above that of the others.
func (e *Estimator) Excess(worker *Worker, now time.Duration) float64 {
	return worker.excess.At(now, e.fading)
}

// Overload is how far the pressure of a worker is past the one from which requests are rejected; 1 is once
// again as far.
func (e *Estimator) Overload(worker *Worker, now time.Duration) float64 {
	return (e.Of(worker, now) - 1 - rejectExcess) / rejectExcess
}

// RejectProbability is the probability with which a request for a worker with this overload is rejected. What
// peers have in flight ahead of it shows in nothing else.
func (e *Estimator) RejectProbability(overload float64) float64 {
	return min(overload, maxRejectProbability) * e.peerInfluence
}

// Displaces reports whether a function of this stickiness, from 0 to 1, leaves a worker for the next in its
// order. The same functions leave first at every scheduler: each sees little of a worker, and would hold on
// to one that all of them press. With few schedulers, each knows the worker's load by its own counts.
func (e *Estimator) Displaces(worker *Worker, now time.Duration, stickiness float64) bool {
	return (e.Of(worker, now)-leaveStart)/(leaveFull-leaveStart)*e.peerInfluence > stickiness
}

// Observe learns from the end of an attempt at a worker. A latency that may include a load says nothing of a
// queue.
func (e *Estimator) Observe(worker *Worker, now time.Duration, sample Sample) {
	pressure, ok := e.pressureOf(sample)
	if !ok {
		return
	}
	usual := min(e.mean, leaveStart)
	excess := e.Excess(worker, now)
	worker.excess.Set(now, excess+workerSampleWeight*(pressure-usual-excess))
	e.mean += meanSampleWeight * (pressure - e.mean)
}

// pressureOf returns the pressure that a sample shows, and false if it shows none.
func (e *Estimator) pressureOf(sample Sample) (pressure float64, ok bool) {
	objectives := sample.Latency.Seconds() / e.objective
	busy := min(objectives, 1)
	if sample.Reported && sample.Utilization >= 0 {
		busy = sample.Utilization
	}
	switch sample.Result {
	case Lost:
		return 1 + objectives, true
	case ShedWarm:
		return shedding, true
	case AnsweredWarm:
		return busy + objectives, true
	default:
		return busy + idleLatency, sample.Reported
	}
}

// ObserveInFlight learns from a load report how many requests of other schedulers a worker has, beside ours.
func (w *Worker) ObserveInFlight(reported float64, ours int) {
	peers := max(0, reported-float64(ours))
	w.peerInFlight += workerSampleWeight * (peers - w.peerInFlight)
}

// PeerInFlight is the running mean of the requests of other schedulers at a worker.
func (w *Worker) PeerInFlight() float64 { return w.peerInFlight }

// RestoreExcess sets the excess of a worker to what was learned of it at an earlier time.
func (w *Worker) RestoreExcess(learnedAt time.Duration, excess float64) {
	w.excess.Set(learnedAt, excess)
}

// Restart forgets what a restart of the worker makes void: the requests of peers are gone.
func (w *Worker) Restart() { w.peerInFlight = 0 }
