// Package outlier detects unhealthy workers, ejects them and readmits them.
//
// A worker is ejected when it does not answer, is unreachable, repeatedly resets connections, or is reported
// by enough peers. Ejection resembles Envoy's outlier detection. Peer reports resemble suspicion in SWIM;
// recent observations of this scheduler override them. An ejected worker gets one probe at a time, after a
// delay that starts at baseProbationDelay and doubles up to maxProbationDoublings times. Its first answer
// ends the ejection.
package outlier

import (
	"time"

	"calicohill/internal/stats/decay"
)

const (
	baseProbationDelay     = time.Second // before the first probe; doubles with each further probe
	maxProbationDoublings  = 3
	minProbationJitter     = 0.5         // random delays are this to this plus 1 times the longest one
	ownObservationLifetime = time.Second // maximum age of an own answer that overrides peer reports
	reportRefreshInterval  = ownObservationLifetime / 4
	maxConnectionResets    = 3    // consecutive resets without an answer that eject a worker
	maxErrorRate           = 0.15 // above this rate a worker gets no requests that must not be repeated
	errorSampleWeight      = 0.1  // weight of an answer in a worker's error rate
	overdueToEject         = 2    // overdue attempts without an answer that eject a worker
)

// Fault is a kind of fault of a worker.
type Fault uint8

// The faults.
const (
	Healthy      Fault = iota
	Unresponsive       // accepts requests and does not answer them
	Slow               // has a much higher latency than other workers
	Failing            // answers with errors
	Unreachable        // refuses or resets connections
)

// Verdict is the combined result of the fault reports of peers on a worker.
type Verdict uint8

// The verdicts, in order of increasing certainty.
const (
	NotReported Verdict = iota
	Reported            // some peers report it unhealthy
	Confirmed           // reported unresponsive or unreachable by more peers than may be byzantine
)

// Detector holds the state that the detection of all workers shares.
type Detector struct {
	decayTime time.Duration // decay time constant of error rates
	reporting bool          // faults are reported to peers
}

// Worker is the health state of one worker.
type Worker struct {
	lastAnswerAt     time.Duration // time of the latest answer, or of the first listing if there is none
	answeredAt       time.Duration // time of the latest answer, or 0 if there is none
	errorRate        decay.Value   // moving average of the fraction of answers that are errors
	connectionResets int           // connection resets since the latest answer
	lastResetAt      time.Duration // time of the latest reset
	ejected          bool          // gets only probes
	probes           int           // probes sent since the ejection
	probationAt      time.Duration // earliest time of the next probe
	verdict          Verdict       // by the reports of peers
	reportedFault    Fault         // latest fault reported by this scheduler
	reportedAt       time.Duration // observation time of that fault
}

// NewDetector returns a Detector whose error rates decay with the time constant decayTime. With reporting
// false, ShouldReport always returns false.
func NewDetector(decayTime time.Duration, reporting bool) *Detector {
	return &Detector{decayTime: decayTime, reporting: reporting}
}

// NewWorker returns the health state of a worker that is listed for the first time.
func NewWorker(now time.Duration) Worker { return Worker{lastAnswerAt: now} }

// ErrorRate returns the fraction of a worker's recent answers that are errors. The rate decays with time,
// because a worker that is sent no requests cannot otherwise show that it has recovered.
func (d *Detector) ErrorRate(worker *Worker, now time.Duration) float64 {
	return worker.errorRate.At(now, d.decayTime)
}

// RecordError counts an error in a worker's error rate.
func (d *Detector) RecordError(worker *Worker, now time.Duration) {
	worker.errorRate.Set(now, d.ErrorRate(worker, now)*(1-errorSampleWeight)+errorSampleWeight)
}

// RecordServed counts an answer without an error in a worker's error rate.
func (d *Detector) RecordServed(worker *Worker, now time.Duration) {
	worker.errorRate.Set(now, d.ErrorRate(worker, now)*(1-errorSampleWeight))
}

// IsFailing reports whether a worker's error rate is above maxErrorRate.
func (d *Detector) IsFailing(worker *Worker, now time.Duration) bool {
	return d.ErrorRate(worker, now) > maxErrorRate
}

// IsUnhealthy reports whether a worker is failing, or is reported by peers and has not answered this
// scheduler recently.
func (d *Detector) IsUnhealthy(worker *Worker, now time.Duration) bool {
	return d.IsFailing(worker, now) || worker.verdict > NotReported && !worker.answeredRecently(now)
}

// ShouldReport reports whether a fault is due to be reported to peers, and if so records it as reported. A
// fault is due at once when it changes, and again when there is evidence newer by more than
// reportRefreshInterval.
func (d *Detector) ShouldReport(worker *Worker, fault Fault, observedAt time.Duration) bool {
	if !d.reporting {
		return false
	}
	notable := fault != Healthy || worker.verdict > NotReported
	due := fault != worker.reportedFault || observedAt-worker.reportedAt > reportRefreshInterval && notable
	if due {
		worker.reportedFault = fault
		worker.reportedAt = observedAt
	}
	return due
}

// AnswerFault returns the fault of a worker that has just answered. slow reports whether its latency is too
// high.
func (d *Detector) AnswerFault(worker *Worker, now time.Duration, slow bool) Fault {
	switch {
	case d.IsFailing(worker, now):
		return Failing
	case slow:
		return Slow
	default:
		return Healthy
	}
}

// TooManyOverdue reports whether the number of overdue attempts is enough to eject a worker that has not
// answered since the oldest was sent. A single overdue attempt may be an expensive request.
func TooManyOverdue(attempts int) bool { return attempts >= overdueToEject }
