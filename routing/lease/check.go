package lease

import "time"

// IsFresh reports whether the worker's lease is valid and not yet due for renewal.
func (t *Table) IsFresh(w *Worker, now time.Duration) bool {
	return t.Valid(w, now) && now < t.expiry(w)-renewBefore
}

// MayCheck reports whether a health check of the worker may start now.
func (t *Table) MayCheck(w *Worker, now time.Duration) bool {
	return !w.checkInFlight && now >= w.nextCheckAt
}

// NeedsFirstCheck reports whether the worker is suspected and no health check of it has failed since its last
// success.
func (t *Table) NeedsFirstCheck(w *Worker) bool { return t.Suspected(w) && w.failedChecks == 0 }

// BeginCheck records the start of a health check.
func (t *Table) BeginCheck(w *Worker, now time.Duration) {
	w.checkInFlight = true
	w.nextCheckAt = now + minCheckInterval<<min(max(0, w.failedChecks-baseIntervalChecks), maxCheckDoublings)
}

// EndCheck records the end of a health check, and whether it renewed the lease.
func (t *Table) EndCheck(w *Worker, renewed bool) {
	w.checkInFlight = false
	if renewed {
		w.failedChecks = 0
	} else {
		w.failedChecks++
	}
}

// CheckInFlight reports whether a health check of the worker is in flight.
func (w *Worker) CheckInFlight() bool { return w.checkInFlight }

// LastAcceptedAt returns the send time of the latest request or health check that the worker accepted, or 0
// if there is none.
func (w *Worker) LastAcceptedAt() time.Duration { return w.lastAcceptedAt }

// RenewalTarget returns the number of workers, out of the given number, on which a scheduler maintains leases
// by health checks. The number is chosen so that no worker gets more than checksPerWorker health checks per
// second from all schedulers together. Workers that serve requests need no health checks.
func (t *Table) RenewalTarget(workers int) int {
	interval := (t.duration - renewBefore).Seconds()
	renewals := int(checksPerWorker * interval * float64(workers) / float64(max(t.schedulers, 1)))
	return min(workers, max(renewals, minRenewals))
}
