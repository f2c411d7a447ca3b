package routing

import (
	"time"

	"calicohill/routing/concurrency"
	"calicohill/routing/latency"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
)

// worker is what is known of a worker.
type worker struct {
	Worker
	removedAt   time.Duration // when it was listed as Gone last
	incarnation int           // counts restarts; what was believed of an earlier incarnation is void

	// Attempts of this scheduler, and its limits on them.
	inFlight     []*attempt // attempts without an end, oldest first
	loadsWaiting int        // those that wait for a load; they don't count against the limit
	limit        concurrency.Worker

	pressure pressure.Worker

	latency latency.Worker

	health outlier.Worker

	// Slow start.
	slowStartQuota      int             // requests that it may be sent in a window while warming up
	slowStartQuotaUntil time.Duration   // when the quota is drawn anew
	slowStartSends      []time.Duration // when those of the latest window were sent
}

// unanswered counts the attempts at a worker that are overdue with no answer since they were sent, and
// returns when the newest was sent.
func (w *worker) unanswered(now time.Duration) (overdue int, newest time.Duration) {
	for _, a := range w.inFlight {
		if now >= a.overdueAt && w.health.SilentSince(a.sentAt) {
			overdue++
			newest = a.sentAt
		}
	}
	return overdue, newest
}

// isWarmingUp reports whether a worker has started so lately that it can do only part of its work.
func (r *Router) isWarmingUp(w *worker) bool {
	return w.Started > 0 && r.now-w.Started < r.settings.SlowStartDuration
}

// slowStartFactor is the share of its capacity that a worker can be counted on for.
func (r *Router) slowStartFactor(w *worker) float64 {
	if !r.isWarmingUp(w) {
		return 1
	}
	elapsed := max(0, (r.now-w.Started).Seconds()/r.settings.SlowStartDuration.Seconds())
	return r.settings.SlowStartFraction + (1-r.settings.SlowStartFraction)*elapsed
}
