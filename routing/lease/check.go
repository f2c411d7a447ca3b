package lease

import "time"

// IsFresh reports whether a lease need not be renewed yet.
func (t *Table) IsFresh(w *Worker, now time.Duration) bool {
	return t.Valid(w, now) && now < t.expiry(w)-renewBefore
}

// MayCheck reports whether a worker may be asked for its health now.
func (t *Table) MayCheck(w *Worker, now time.Duration) bool {
	return !w.checkInFlight && now >= w.nextCheckAt
}

// NeedsFirstCheck reports whether a worker came under suspicion and was not asked since.
func (t *Table) NeedsFirstCheck(w *Worker) bool { return t.Suspected(w) && w.failedChecks == 0 }

// BeginCheck notes that a worker is asked for its health.
func (t *Table) BeginCheck(w *Worker, now time.Duration) {
	w.checkInFlight = true
	w.nextCheckAt = now + minCheckInterval<<min(max(0, w.failedChecks-quickChecks), maxCheckDoublings)
}

// EndCheck notes that a health check has ended, and whether it renewed the lease.
func (t *Table) EndCheck(w *Worker, renewed bool) {
	w.checkInFlight = false
	if renewed {
		w.failedChecks = 0
	} else {
		w.failedChecks++
	}
}

// IsChecked reports whether a health check of a worker is under way.
func (w *Worker) IsChecked() bool { return w.checkInFlight }

// ProvenAt is when a worker is known to have taken requests, by its own word; 0 if it never said so.
func (w *Worker) ProvenAt() time.Duration { return w.provenAt }

// Held is how many of so many workers a scheduler keeps leases on by health checks: as many as lets no
// worker get more than checksPerWorker of all schedulers together. Those that serve requests need none.
func (t *Table) Held(workers int) int {
	interval := (t.duration - renewBefore).Seconds()
	held := int(checksPerWorker * interval * float64(workers) / float64(max(t.schedulers, 1)))
	return min(workers, max(held, minHeld))
}
