package routing

import (
	"slices"
	"time"
)

// eligible reports whether a worker may get requests: an ejected one gets only one probe at a time.
func (r *Router) eligible(w *worker) bool {
	return w.State == Ready && (!w.ejected || len(w.inFlight) == 0 && r.now >= w.probationAt)
}

// isUnhealthy reports whether a worker answers errors, or peers report it and it did not answer here lately.
func (r *Router) isUnhealthy(w *worker) bool {
	return r.errorRate(w) > maxErrorRate ||
		w.verdict > NotReported && r.now-w.lastAnswerAt > ownObservationLifetime
}

// eject takes a worker out of use: it gets nothing but probes until it answers.
func (r *Router) eject(w *worker) {
	if w.ejected {
		return
	}
	w.ejected = true
	w.probes = 0
	w.probationAt = r.now + r.probationDelay(w)
}

// probationDelay is how long an ejected worker is left alone before a probe. Where peers find it unhealthy
// too, the delays are spread at random, so that schedulers take turns.
func (r *Router) probationDelay(w *worker) time.Duration {
	if w.verdict == Confirmed {
		longest := (baseProbationDelay << maxProbationDoublings).Seconds()
		return durationOf((minProbationJitter + r.rng.Float64()) * longest)
	}
	return baseProbationDelay << min(w.probes, maxProbationDoublings)
}

// reportFault reports to peers what this scheduler itself finds of a worker: at once when that changes, and
// again from time to time with newer evidence.
func (r *Router) reportFault(w *worker, fault Fault, observedAt time.Duration) {
	if !r.settings.FaultReporting {
		return
	}
	notable := fault != Healthy || w.verdict > NotReported
	if fault != w.reportedFault || observedAt-w.reportedAt > reportRefreshInterval && notable {
		w.reportedFault = fault
		w.reportedAt = observedAt
		r.emit(ReportFault{w.ID, fault, observedAt})
	}
}

// applyPeerReports takes in what peers report of the workers. One that enough of them find unhealthy is
// ejected as if found unresponsive here, unless it answered here lately or the rest could not carry the
// load.
func (r *Router) applyPeerReports(reports PeerReports) {
	for _, w := range r.workerList {
		w.verdict = reports.Verdicts[w.ID]
		if w.verdict == Confirmed && r.now-w.lastAnswerAt > ownObservationLifetime &&
			r.capacity.CanCarryWithout(&w.limit) {
			r.eject(w)
			r.refreshCapacity()
		}
		if slices.Contains(reports.Cleared, w.ID) {
			w.probationAt = r.now
		}
	}
}
