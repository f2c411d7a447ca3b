// Package lease bounds for how long a worker is sent requests on what discovery once said of it.
//
// A change of the endpoint list counts as announced publicationBound after it was published, whether it was
// delivered or not, and a drain binds a grace later. So what is known of a worker at one moment allows to
// send to it for that long and no longer: the scheduler holds a lease on the worker, as a lock service
// grants one. Three things renew it: discovery confirms the whole list, the worker accepts a request, or it
// answers a health check. While discovery is out of reach the last two remain, and leases that nobody
// renews expire.
//
// Leases are not limited before the first confirmation: where discovery pushes changes, none ever comes.
package lease

import "time"

const (
	// publicationBound is how long after its publication a change of the list counts as announced at the
	// latest.
	publicationBound = 7 * time.Second
	// expiryMargin is how long before the last permitted moment a lease expires: a request is decided on,
	// and then written a little later.
	expiryMargin = 100 * time.Millisecond
	// renewBefore is how long before its expiry a lease is to be renewed: time for several health checks.
	renewBefore = 2 * time.Second
	// minCheckInterval is the least time between two health checks of a worker by one scheduler.
	minCheckInterval = time.Second
	// After quickChecks checks in a row that renewed nothing the interval doubles with each, up to
	// maxCheckDoublings times.
	quickChecks       = 2
	maxCheckDoublings = 3
	// checksPerWorker is how many health checks a second a worker gets of all schedulers together.
	checksPerWorker = 4.0
	// minHeld is how many leases a scheduler renews by health checks at the least.
	minHeld = 3
	// rejectionsToSuspect is how many requests rejected in a row make a worker suspected of draining, while
	// no list can say so. A full queue rejects one now and then.
	rejectionsToSuspect = 2
)

// Table holds what the leases of all workers have in common.
type Table struct {
	duration    time.Duration // how long one proof allows sends
	schedulers  int           // that share the workers
	limited     bool          // the list was confirmed once: leases expire
	confirmedAt time.Duration // the list is known to have been complete then
}

// Worker is the lease on one worker.
type Worker struct {
	provenAt      time.Duration // when it is known to have taken requests, by its own word
	rejections    int           // requests in a row that it did not take, while in doubt
	rejectedAt    time.Duration // when the last of them was sent
	downAt        time.Duration // when it said that it drains or could not be reached, in doubt; 0 if not
	nextCheckAt   time.Duration // when it may be checked again
	failedChecks  int           // health checks in a row that renewed nothing
	checkInFlight bool
}

// NewTable returns a Table for a deployment where a drain binds drainGrace after it counts as announced.
func NewTable(drainGrace time.Duration, schedulers int) *Table {
	return &Table{duration: publicationBound + drainGrace - expiryMargin, schedulers: schedulers}
}

// Confirm notes that discovery's list is known to have been complete at a time. Zero says that there is a
// list of unknown age.
func (t *Table) Confirm(asOf time.Duration) {
	t.limited = true
	t.confirmedAt = max(t.confirmedAt, asOf)
}

// Limited reports whether leases expire: the list was confirmed once.
func (t *Table) Limited() bool { return t.limited }

// ConfirmedAt is when the list is known to have been complete.
func (t *Table) ConfirmedAt() time.Duration { return t.confirmedAt }

// InDoubt reports whether the list was not confirmed for so long that workers have to prove that they take
// requests.
func (t *Table) InDoubt(now time.Duration) bool {
	return t.limited && now >= t.confirmedAt+t.duration-renewBefore
}

// expiry is when the lease on a worker expires.
func (t *Table) expiry(w *Worker) time.Duration { return max(t.confirmedAt, w.provenAt) + t.duration }

// Remaining is how long the lease on a worker lasts from now on; 0 if leases are not limited.
func (t *Table) Remaining(w *Worker, now time.Duration) time.Duration {
	if !t.limited {
		return 0
	}
	return t.expiry(w) - now
}

// Valid reports whether a worker may be sent requests: its lease has not expired, and while the list is in
// doubt nothing speaks for a drain.
func (t *Table) Valid(w *Worker, now time.Duration) bool {
	return !t.InDoubt(now) || now < t.expiry(w) && !t.Suspected(w)
}

// Suspected reports whether a worker may be draining or have restarted since the list was confirmed: it
// said so, could not be reached, or rejects requests, and has not accepted one since.
func (t *Table) Suspected(w *Worker) bool {
	return t.isDown(w) || w.rejections >= rejectionsToSuspect && w.rejectedAt > t.confirmedAt
}

// isDown reports whether a worker was down after the list was confirmed.
func (t *Table) isDown(w *Worker) bool { return w.downAt > t.confirmedAt }

// RecordAccepted notes that a worker accepted what was sent to it at a time, and reports whether it had
// been down before, while the list was in doubt: it may have restarted.
func (t *Table) RecordAccepted(w *Worker, sentAt time.Duration) (returned bool) {
	w.provenAt = max(w.provenAt, sentAt)
	w.rejections = 0
	if sentAt <= w.downAt {
		return false
	}
	returned = t.isDown(w)
	w.downAt = 0
	return returned
}

// RecordRejected notes that a worker rejected a request that was sent to it at a time, and reports whether
// that brought it under suspicion.
func (t *Table) RecordRejected(w *Worker, now, sentAt time.Duration) (suspended bool) {
	if !t.InDoubt(now) || sentAt <= w.provenAt {
		return false
	}
	before := t.Suspected(w)
	w.rejections++
	w.rejectedAt = sentAt
	return !before && t.Suspected(w)
}

// RecordBroken notes that the connection broke under a request that was sent at a time, and reports whether
// that brought the worker under suspicion. It may have ended; one that answers right after has not.
func (t *Table) RecordBroken(w *Worker, now, sentAt time.Duration) (suspended bool) {
	if !t.InDoubt(now) || sentAt <= w.provenAt {
		return false
	}
	before := t.Suspected(w)
	w.rejections = max(w.rejections, rejectionsToSuspect)
	w.rejectedAt = sentAt
	return !before
}

// RecordDown notes that a worker said that it drains, or that it could not be reached, and reports whether
// that brought it under suspicion.
func (t *Table) RecordDown(w *Worker, now time.Duration) (suspended bool) {
	if !t.InDoubt(now) {
		return false
	}
	before := t.Suspected(w)
	w.downAt = now
	return !before
}

// Restart forgets what a restart of the worker, which discovery announced, makes void.
func (w *Worker) Restart() { *w = Worker{checkInFlight: w.checkInFlight} }
