package routing

import (
	"time"

	"calicohill/routing/concurrency"
	"calicohill/routing/latency"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
	"calicohill/routing/slowstart"
)

// worker is what is known of a worker.
type worker struct {
	Worker
	removedAt   time.Duration // when it was listed as Gone last
	incarnation int           // counts restarts; what was believed of an earlier incarnation is void

	// Attempts of this scheduler.
	inFlight     []*attempt // attempts without an end, oldest first
	loadsWaiting int        // those that wait for a load; they don't count against the limit

	// What each mechanism knows of it.
	pressure  pressure.Worker
	limit     concurrency.Worker
	latency   latency.Worker
	health    outlier.Worker
	slowStart slowstart.Worker
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
