// Package lease limits how long a scheduler sends requests to a worker without new evidence that the worker
// is in service.
//
// A change of the endpoint list counts as announced publicationBound after its publication, whether it was
// delivered or not, and a drain takes effect after a further grace period. Evidence that a worker was in
// service at one time therefore permits sends for that long. The scheduler holds a lease on the worker, like
// a lease of a lock service. A lease is renewed when discovery confirms the whole list, when the worker
// accepts a request, or when it passes a health check. While discovery is unreachable only the last two can
// renew a lease, and a lease that is not renewed expires.
//
// Leases do not expire before the first confirmation: a discovery service that pushes changes never sends
// one.
package lease

import "time"

const (
	// publicationBound is the longest time from the publication of a list change until it counts as
	// announced.
	publicationBound = 7 * time.Second
	// expiryMargin is how long before the last permitted time a lease expires. A request is written slightly
	// later than it is dispatched.
	expiryMargin = 100 * time.Millisecond
	// renewBefore is how long before its expiry a lease is due for renewal. It leaves time for several health
	// checks.
	renewBefore = 2 * time.Second
	// minCheckInterval is the minimum interval between two health checks of a worker by one scheduler.
	minCheckInterval = time.Second
	// After baseIntervalChecks consecutive failed checks the interval doubles with each further failure, up
	// to maxCheckDoublings times.
	baseIntervalChecks = 2
	maxCheckDoublings  = 3
	// checksPerWorker is the number of health checks per second that a worker gets from all schedulers
	// together.
	checksPerWorker = 4.0
	// minRenewals is the minimum number of leases that a scheduler renews by health checks.
	minRenewals = 3
	// rejectionsToSuspect is the number of consecutive rejected requests after which a worker is suspected of
	// draining while list confirmation is overdue. One is not enough, because a full queue also rejects.
	rejectionsToSuspect = 2
)

// Table holds the state that the leases on all workers share.
type Table struct {
	duration    time.Duration // validity of a lease after the evidence that renewed it
	schedulers  int           // number of schedulers that share the workers
	limited     bool          // leases expire: the list has been confirmed at least once
	confirmedAt time.Duration // latest time at which the list is known to have been complete
}

// Worker is the lease on one worker.
type Worker struct {
	lastAcceptedAt time.Duration // send time of the latest request or health check that it accepted
	rejections     int           // consecutive requests not accepted while list confirmation was overdue
	rejectedAt     time.Duration // send time of the latest of these requests
	downAt         time.Duration // when it last was draining or unreachable while confirmation was overdue
	nextCheckAt    time.Duration // earliest time of the next health check
	failedChecks   int           // consecutive health checks that did not renew the lease
	checkInFlight  bool
}

// NewTable returns a Table for a deployment where a drain takes effect drainGrace after it counts as
// announced.
func NewTable(drainGrace time.Duration, schedulers int) *Table {
	return &Table{duration: publicationBound + drainGrace - expiryMargin, schedulers: schedulers}
}

// Confirm records that the endpoint list was complete at the time asOf. Zero means that the age of the list
// is unknown.
func (t *Table) Confirm(asOf time.Duration) {
	t.limited = true
	t.confirmedAt = max(t.confirmedAt, asOf)
}

// Limited reports whether leases expire, which they do once the list has been confirmed.
func (t *Table) Limited() bool { return t.limited }

// ConfirmedAt returns the latest time at which the list is known to have been complete.
func (t *Table) ConfirmedAt() time.Duration { return t.confirmedAt }

// ConfirmationOverdue reports whether confirmation of the list is overdue. Leases are then renewed only by
// workers that accept requests or pass health checks.
func (t *Table) ConfirmationOverdue(now time.Duration) bool {
	return t.limited && now >= t.confirmedAt+t.duration-renewBefore
}

// expiry returns the time at which the lease on a worker expires.
func (t *Table) expiry(w *Worker) time.Duration {
	return max(t.confirmedAt, w.lastAcceptedAt) + t.duration
}

// Remaining returns the time left until the lease on a worker expires, or 0 if leases do not expire.
func (t *Table) Remaining(w *Worker, now time.Duration) time.Duration {
	if !t.limited {
		return 0
	}
	return t.expiry(w) - now
}

// Valid reports whether a worker may be sent requests. While confirmation of the list is overdue, its lease
// must not have expired and it must not be suspected.
func (t *Table) Valid(w *Worker, now time.Duration) bool {
	return !t.ConfirmationOverdue(now) || now < t.expiry(w) && !t.Suspected(w)
}

// Suspected reports whether a worker may have drained or restarted since the list was confirmed. A worker is
// suspected after it reported a drain, was unreachable or repeatedly rejected requests, until it accepts one.
func (t *Table) Suspected(w *Worker) bool {
	return t.isDown(w) || w.rejections >= rejectionsToSuspect && w.rejectedAt > t.confirmedAt
}

// isDown reports whether a worker was draining or unreachable after the list was confirmed, and has not
// accepted a request since.
func (t *Table) isDown(w *Worker) bool { return w.downAt > t.confirmedAt }

// RecordAccepted records that a worker accepted a request or health check sent at sentAt. It reports whether
// the worker was down before while confirmation of the list was overdue; it may then have restarted.
func (t *Table) RecordAccepted(w *Worker, sentAt time.Duration) (returned bool) {
	w.lastAcceptedAt = max(w.lastAcceptedAt, sentAt)
	w.rejections = 0
	if sentAt <= w.downAt {
		return false
	}
	returned = t.isDown(w)
	w.downAt = 0
	return returned
}

// RecordRejected records that a worker rejected a request sent at sentAt, and reports whether the worker is
// now newly suspected.
func (t *Table) RecordRejected(w *Worker, now, sentAt time.Duration) (suspected bool) {
	if !t.ConfirmationOverdue(now) || sentAt <= w.lastAcceptedAt {
		return false
	}
	before := t.Suspected(w)
	w.rejections++
	w.rejectedAt = sentAt
	return !before && t.Suspected(w)
}

// RecordConnectionReset records that the connection was reset during a request sent at sentAt, and reports
// whether the worker is now newly suspected. The process may have ended; if the worker accepts a later
// request, it has not.
func (t *Table) RecordConnectionReset(w *Worker, now, sentAt time.Duration) (suspected bool) {
	if !t.ConfirmationOverdue(now) || sentAt <= w.lastAcceptedAt {
		return false
	}
	before := t.Suspected(w)
	w.rejections = max(w.rejections, rejectionsToSuspect)
	w.rejectedAt = sentAt
	return !before
}

// RecordDown records that a worker reported a drain or was unreachable, and reports whether it is now newly
// suspected.
func (t *Table) RecordDown(w *Worker, now time.Duration) (suspected bool) {
	if !t.ConfirmationOverdue(now) {
		return false
	}
	before := t.Suspected(w)
	w.downAt = now
	return !before
}

// Restart resets the lease after discovery has announced a restart of the worker. A health check in flight
// stays recorded.
func (w *Worker) Restart() { *w = Worker{checkInFlight: w.checkInFlight} }
