package routing

import (
	"slices"
	"time"
)

// ill reports whether a worker answers errors, or seems ill to others and has not answered here lately.
func (r *Router) isUnhealthy(w *worker) bool {
	return r.errorRate(w) > maxErrorRate || w.verdict > NotReported &&
		r.now-w.lastAnswerAt > ownObservationLifetime
}

// errsOf is the share of a worker's late answers that are errors. It fades: that they have ceased is told by
// nothing but new calls.
func (r *Router) errorRate(w *worker) float64 {
	return w.errorShare.At(r.now, r.settings.InstanceKeepAlive)
}

func (r *Router) recordError(w *worker) {
	w.errorShare.Set(r.now, r.errorRate(w)*(1-errorRateWeight)+errorRateWeight)
}

// usable reports whether a worker may get work: a suspect one only a single trial at a time.
func (r *Router) eligible(w *worker) bool {
	return w.State == Ready && (!w.ejected || len(w.inFlight) == 0 && r.now >= w.probationAt)
}

// doubt makes a worker suspect: it gets nothing but trials until it answers.
func (r *Router) eject(w *worker) {
	if !w.ejected {
		w.ejected, w.probes, w.probationAt = true, 0, r.now+r.probationDelay(w)
	}
}

// pause is how long a suspect worker is left alone. Where others find it ill too they take turns at it.
func (r *Router) probationDelay(w *worker) time.Duration {
	if w.verdict == Confirmed {
		return durationOf((0.5 + r.rng.Float64()) * (baseProbationDelay << maxProbationDoublings).Seconds())
	}
	return baseProbationDelay << min(w.probes, maxProbationDoublings)
}

// observe says what this scheduler itself finds of a worker, where there are others to tell.
func (r *Router) reportFault(w *worker, t Fault, at time.Duration) {
	if r.settings.FaultReporting && (t != w.reportedFault ||
		at-w.reportedAt > ownObservationLifetime/4 && (t != Healthy || w.verdict > NotReported)) {
		w.reportedFault, w.reportedAt = t, at
		r.emit(ReportFault{w.ID, t, at})
	}
}

// heed takes in what other schedulers hold of the workers. One that enough find ill is left out as if found
// silent here, unless it answered here lately or the rest could not carry what is out.
func (r *Router) applyPeerReports(e PeerReports) {
	for _, w := range r.workerList {
		w.verdict = e.Verdicts[w.ID]
		rest := r.capacity - w.concurrencyLimit
		if w.verdict == Confirmed && r.now-w.lastAnswerAt > ownObservationLifetime &&
			r.utilization*r.capacity < maxSpillUtilization*rest {
			r.eject(w)
			r.refreshCapacity()
		}
		if slices.Contains(e.Cleared, w.ID) {
			w.probationAt = r.now
		}
	}
}
