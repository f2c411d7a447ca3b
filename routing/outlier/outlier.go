// Package outlier finds workers that do not serve, takes them out of use and lets them back.
//
// A worker is ejected when it answers nothing, cannot be reached, breaks its connections time and again, or
// enough peers report it, as Envoy's outlier detection does; the reports of peers follow the idea of
// suspicion in SWIM, weighed against what this scheduler sees itself. An ejected worker gets one probe at a
// time, after a delay that doubles from baseProbationDelay up to maxProbationDoublings times; its first
// answer ends the ejection.
package outlier

import (
	"time"

	"calicohill/internal/stats/decay"
)

const (
	baseProbationDelay     = time.Second // before an ejected worker is probed; doubles with each probe
	maxProbationDoublings  = 3
	minProbationJitter     = 0.5         // randomized delays are this to this plus 1 of the longest
	ownObservationLifetime = time.Second // own answers younger than this outweigh the reports of peers
	reportRefreshInterval  = ownObservationLifetime / 4
	maxConnectionResets    = 3    // breaks in a row, with no answer between, that eject a worker
	maxErrorRate           = 0.15 // a worker above gets no requests that must not be repeated
	errorSampleWeight      = 0.1  // weight of an answer in a worker's error rate
	overdueToEject         = 2    // overdue attempts without an answer that eject a worker
)

// Fault is what is wrong with a worker.
type Fault uint8

// The faults.
const (
	Healthy      Fault = iota
	Unresponsive       // takes requests and answers none
	Slow               // answers much later than others
	Failing            // answers errors
	Unreachable        // takes no connections, or breaks them
)

// Verdict is what other schedulers together report of a worker.
type Verdict uint8

// The verdicts, each stronger than the one before.
const (
	NotReported Verdict = iota
	Reported            // some find it unhealthy
	Confirmed           // more of them than may lie find it unresponsive or unreachable
)

// Detector holds what the detection of all workers has in common.
type Detector struct {
	fading    time.Duration // time constant with which error rates fade
	reporting bool          // faults are reported to peers
}

// Worker is the health of one worker.
type Worker struct {
	lastAnswerAt     time.Duration // when it answered last; at first, when it was first listed
	answeredAt       time.Duration // when it answered last; 0 if it never did
	recentErrors     decay.Value   // running share of errors in its answers, 0 to 1
	connectionResets int           // times that connections broke with no answer since
	lastResetAt      time.Duration // when one broke last
	ejected          bool          // it gets only probes
	probes           int           // probes sent since it was ejected
	probationAt      time.Duration // when the next probe may be sent
	verdict          Verdict       // what peers together report of it
	reportedFault    Fault         // what this scheduler reported last
	reportedAt       time.Duration // when that was observed
}

// NewDetector returns a Detector whose error rates fade with this time constant. Without reporting, no fault
// is ever due to be reported.
func NewDetector(fading time.Duration, reporting bool) *Detector {
	return &Detector{fading: fading, reporting: reporting}
}

// NewWorker returns the health of a worker that is listed for the first time.
func NewWorker(now time.Duration) Worker { return Worker{lastAnswerAt: now} }

// ErrorRate is the share of a worker's recent answers that are errors, 0 to 1. It fades, since nothing but
// new requests shows that errors have ceased.
func (d *Detector) ErrorRate(worker *Worker, now time.Duration) float64 {
	return worker.recentErrors.At(now, d.fading)
}

// RecordError counts an error in a worker's error rate.
func (d *Detector) RecordError(worker *Worker, now time.Duration) {
	worker.recentErrors.Set(now, d.ErrorRate(worker, now)*(1-errorSampleWeight)+errorSampleWeight)
}

// RecordServed counts an answer without an error in a worker's error rate.
func (d *Detector) RecordServed(worker *Worker, now time.Duration) {
	worker.recentErrors.Set(now, d.ErrorRate(worker, now)*(1-errorSampleWeight))
}

// IsFailing reports whether a worker answers errors.
func (d *Detector) IsFailing(worker *Worker, now time.Duration) bool {
	return d.ErrorRate(worker, now) > maxErrorRate
}

// IsUnhealthy reports whether a worker answers errors, or peers report it and it did not answer here lately.
func (d *Detector) IsUnhealthy(worker *Worker, now time.Duration) bool {
	return d.IsFailing(worker, now) || worker.verdict > NotReported && !worker.answeredLately(now)
}

// ShouldReport reports whether a fault is to be reported to peers, which is then taken as done: at once when
// it changes, and again from time to time with newer evidence.
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

// AnswerFault is the fault that an answer shows: none, unless the worker often answers errors, or late.
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

// ManyOverdue reports whether so many overdue attempts with no answer since the oldest was sent eject a
// worker. One alone may be an expensive request.
func ManyOverdue(attempts int) bool { return attempts >= overdueToEject }
