package routing

import (
	"slices"
	"time"

	"calicohill/routing/outlier"
)

// eligible reports whether a worker may get requests: an ejected one gets only one probe at a time.
func (r *Router) eligible(w *worker) bool {
	return w.State == Ready && w.health.Eligible(r.now, len(w.inFlight))
}

// reportFault reports to peers what this scheduler itself finds of a worker.
func (r *Router) reportFault(w *worker, fault outlier.Fault, observedAt time.Duration) {
	if r.outliers.ShouldReport(&w.health, fault, observedAt) {
		r.emit(ReportFault{w.ID, Fault(fault), observedAt})
	}
}

// applyPeerReports takes in what peers report of the workers. One that enough of them find unhealthy is
// ejected as if found unresponsive here, unless it answered here lately or the rest could not carry the
// load.
func (r *Router) applyPeerReports(reports PeerReports) {
	for _, w := range r.workerList {
		confirmed := w.health.SetVerdict(outlier.Verdict(reports.Verdicts[w.ID]), r.now)
		if confirmed && r.capacity.CanCarryWithout(&w.limit) {
			w.health.Eject(r.now, r.rng)
			r.refreshCapacity()
		}
		if slices.Contains(reports.Cleared, w.ID) {
			w.health.Clear(r.now)
		}
	}
}
