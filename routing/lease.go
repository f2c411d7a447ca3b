package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/routing/lease"
)

const (
	leaseScanInterval         = 100 * time.Millisecond // between two scans for leases to renew
	unconfirmedReportInterval = 5 * time.Second        // between two reports of an unconfirmed endpoint list
)

// leaseManager renews the leases on workers: from confirmations of the endpoint list, from the workers'
// answers and, while the list is unconfirmed, by health checks.
type leaseManager struct {
	leases        *lease.Table
	checksAllowed bool // the deployment allows health checks
	scanAt        time.Duration
	unconfirmed   bool          // the list was last reported as unconfirmed
	reportAt      time.Duration // when the report is repeated
	endpoints     *endpointTable
	out           *outbox
}

func newLeaseManager(r *Router) *leaseManager {
	return &leaseManager{
		leases:        r.endpoints.leases,
		checksAllowed: r.settings.ProbeAllowed,
		endpoints:     r.endpoints,
		out:           r.out,
	}
}

// leaseScan is the result of a scan for leases to renew.
type leaseScan struct {
	ready      int       // workers that are listed as Ready and not ejected
	usable     int       // of these, workers with a valid lease
	fresh      int       // of these, workers with a fresh lease or a health check in progress
	suspects   []*worker // newly suspected workers, to be checked at once
	candidates []*worker // other workers whose lease is due for renewal
}

// confirm records that the endpoint list was complete at asOf.
func (m *leaseManager) confirm(now, asOf time.Duration) {
	if !m.leases.Limited() {
		m.endpoints.correctStarts(now)
	}
	m.leases.Confirm(asOf)
}

// renew starts the health checks that are due while the endpoint list is unconfirmed. Workers that serve
// requests need none, since served requests renew their leases. The lease table limits the number of other
// workers to check; those that accepted requests most recently are checked first. A newly suspected worker is
// checked at once.
func (m *leaseManager) renew(now time.Duration, rng *rand.Rand) {
	if now < m.scanAt {
		return
	}
	m.scanAt = now + leaseScanInterval
	if !m.leases.ConfirmationOverdue(now) {
		m.reportConfirmed(now)
		return
	}
	scan := m.scan(now)
	m.reportUnconfirmed(now, scan)
	if !m.checksAllowed {
		return
	}
	for _, suspect := range scan.suspects {
		m.checkHealth(now, suspect)
	}
	wanted := min(len(scan.candidates), m.leases.RenewalTarget(scan.ready)-scan.fresh)
	if wanted <= 0 {
		return
	}
	sortForCheck(scan.candidates, rng)
	for _, candidate := range scan.candidates[:wanted] {
		m.checkHealth(now, candidate)
	}
}

// sortForCheck sorts workers by the time at which they last accepted a request, latest first. Ties are in
// random order, so that schedulers without such times do not all check the same workers.
func sortForCheck(workers []*worker, rng *rand.Rand) {
	rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Compare(b.lease.LastAcceptedAt(), a.lease.LastAcceptedAt())
	})
}

// scan searches the workers for leases to renew.
func (m *leaseManager) scan(now time.Duration) leaseScan {
	var found leaseScan
	for _, listed := range m.endpoints.list {
		if listed.State != Ready || !listed.health.Eligible(now, len(listed.inFlight)) {
			continue
		}
		found.ready++
		if m.leases.Valid(&listed.lease, now) {
			found.usable++
		}
		switch {
		case m.leases.IsFresh(&listed.lease, now) || listed.lease.CheckInFlight():
			found.fresh++
		case !m.leases.MayCheck(&listed.lease, now):
		case m.leases.NeedsFirstCheck(&listed.lease):
			found.suspects = append(found.suspects, listed)
		default:
			found.candidates = append(found.candidates, listed)
		}
	}
	return found
}

// checkHealth starts a health check of a worker.
func (m *leaseManager) checkHealth(now time.Duration, w *worker) {
	m.leases.BeginCheck(&w.lease, now)
	m.out.emit(Probe{w.ID})
}

// reportUnconfirmed reports that the list is unconfirmed: immediately, and again every
// unconfirmedReportInterval.
func (m *leaseManager) reportUnconfirmed(now time.Duration, scan leaseScan) {
	if m.unconfirmed && now < m.reportAt {
		return
	}
	m.unconfirmed = true
	m.reportAt = now + unconfirmedReportInterval
	age := now - m.leases.ConfirmedAt()
	m.out.emit(EndpointListStatus{Unconfirmed: true, Age: age, Ready: scan.ready, Usable: scan.usable})
}

// reportConfirmed reports that the list is confirmed again, if it was reported as unconfirmed.
func (m *leaseManager) reportConfirmed(now time.Duration) {
	if m.unconfirmed {
		m.unconfirmed = false
		m.out.emit(EndpointListStatus{Age: now - m.leases.ConfirmedAt()})
	}
}

// healthCheckEnded updates the lease on a worker from a health check. A check without an answer leaves the
// lease unchanged.
func (m *leaseManager) healthCheckEnded(now time.Duration, end ProbeEnded) {
	checked := m.endpoints.byID[end.Worker]
	if checked == nil || !checked.lease.CheckInFlight() {
		return
	}
	m.leases.EndCheck(&checked.lease, end.Outcome == Served)
	switch end.Outcome {
	case Served:
		m.recordAccepted(now, checked, cmp.Or(end.SentAt, now-end.Latency))
	case Errored:
		m.recordDown(now, checked, ReportedDown)
	case ConnectFailed:
		m.recordDown(now, checked, WorkerUnreachable)
	case Shed, TimedOut, ConnectionReset, Canceled, NotSent, NotLoaded: // no information about the worker
	}
}

// attemptEnded updates the lease on a worker from the outcome of an attempt.
func (m *leaseManager) attemptEnded(now time.Duration, ended *attempt, outcome Outcome) {
	target := ended.worker
	switch outcome {
	case Served:
		m.recordAccepted(now, target, ended.sentAt)
	case Shed:
		if m.leases.RecordRejected(&target.lease, now, ended.sentAt) {
			m.out.emit(WorkerSuspended{target.ID, RejectedRequests})
		}
	case ConnectionReset:
		if m.leases.RecordConnectionReset(&target.lease, now, ended.sentAt) {
			m.out.emit(WorkerSuspended{target.ID, ConnectionBroken})
		}
	case ConnectFailed:
		m.recordDown(now, target, WorkerUnreachable)
	case Errored, TimedOut, Canceled, NotSent, NotLoaded: // no information about draining
	}
}

// recordDown records that a worker is draining or unreachable.
func (m *leaseManager) recordDown(now time.Duration, w *worker, reason SuspendReason) {
	if m.leases.RecordDown(&w.lease, now) {
		m.out.emit(WorkerSuspended{w.ID, reason})
	}
}

// recordAccepted records that a worker accepted a request or health check sent at sentAt. A worker that was
// down before is assumed to have restarted: an unconfirmed list does not announce restarts, and a worker that
// is warming up is easily overloaded.
func (m *leaseManager) recordAccepted(now time.Duration, w *worker, sentAt time.Duration) {
	if m.leases.RecordAccepted(&w.lease, sentAt) {
		w.restart(m.endpoints.schedulers)
		w.Started = now
	}
}
