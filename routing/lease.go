package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/routing/lease"
)

const (
	leaseSweepInterval  = 100 * time.Millisecond // between two scans for leases to renew
	doubtReportInterval = 5 * time.Second        // between two reports of an unconfirmed endpoint list
)

// leaseKeeper renews the leases on workers: from confirmations of the endpoint list, from the workers'
// answers and, while the list is unconfirmed, by health checks.
type leaseKeeper struct {
	leases    *lease.Table
	allowed   bool // the deployment allows health checks
	sweepAt   time.Duration
	inDoubt   bool          // the list was last reported as unconfirmed
	reportAt  time.Duration // when the report is repeated
	endpoints *endpointTable
	out       *outbox
}

func newLeaseKeeper(r *Router) *leaseKeeper {
	return &leaseKeeper{
		leases:    r.endpoints.leases,
		allowed:   r.settings.ProbeAllowed,
		endpoints: r.endpoints,
		out:       r.out,
	}
}

// leaseSurvey is the result of a scan for leases to renew.
type leaseSurvey struct {
	ready      int       // workers that are listed as Ready and not ejected
	usable     int       // of these, workers with a valid lease
	fresh      int       // of these, workers with a fresh lease or a health check in progress
	suspects   []*worker // newly suspected workers, to be checked at once
	candidates []*worker // other workers whose lease is due for renewal
}

// confirm records that the endpoint list was complete at asOf.
func (k *leaseKeeper) confirm(now, asOf time.Duration) {
	if !k.leases.Limited() {
		k.endpoints.correctStarts(now)
	}
	k.leases.Confirm(asOf)
}

// renew starts the health checks that are due while the endpoint list is unconfirmed. Workers that serve
// requests need none, since served requests renew their leases. The lease table limits the number of other
// workers to check; those that accepted requests most recently are checked first. A newly suspected worker is
// checked at once.
func (k *leaseKeeper) renew(now time.Duration, rng *rand.Rand) {
	if now < k.sweepAt {
		return
	}
	k.sweepAt = now + leaseSweepInterval
	if !k.leases.InDoubt(now) {
		k.reportConfirmed(now)
		return
	}
	survey := k.survey(now)
	k.reportDoubt(now, survey)
	if !k.allowed {
		return
	}
	for _, suspect := range survey.suspects {
		k.checkHealth(now, suspect)
	}
	wanted := min(len(survey.candidates), k.leases.Held(survey.ready)-survey.fresh)
	if wanted <= 0 {
		return
	}
	sortForCheck(survey.candidates, rng)
	for _, candidate := range survey.candidates[:wanted] {
		k.checkHealth(now, candidate)
	}
}

// sortForCheck sorts workers by the time at which they last accepted a request, latest first. Ties are in
// random order, so that schedulers without such times do not all check the same workers.
func sortForCheck(workers []*worker, rng *rand.Rand) {
	rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Compare(b.lease.ProvenAt(), a.lease.ProvenAt())
	})
}

// survey scans the workers for leases to renew.
func (k *leaseKeeper) survey(now time.Duration) leaseSurvey {
	var found leaseSurvey
	for _, listed := range k.endpoints.list {
		if listed.State != Ready || !listed.health.Eligible(now, len(listed.inFlight)) {
			continue
		}
		found.ready++
		if k.leases.Valid(&listed.lease, now) {
			found.usable++
		}
		switch {
		case k.leases.IsFresh(&listed.lease, now) || listed.lease.IsChecked():
			found.fresh++
		case !k.leases.MayCheck(&listed.lease, now):
		case k.leases.NeedsFirstCheck(&listed.lease):
			found.suspects = append(found.suspects, listed)
		default:
			found.candidates = append(found.candidates, listed)
		}
	}
	return found
}

// checkHealth starts a health check of a worker.
func (k *leaseKeeper) checkHealth(now time.Duration, w *worker) {
	k.leases.BeginCheck(&w.lease, now)
	k.out.emit(Probe{w.ID})
}

// reportDoubt reports that the list is unconfirmed: immediately, and again every doubtReportInterval.
func (k *leaseKeeper) reportDoubt(now time.Duration, survey leaseSurvey) {
	if k.inDoubt && now < k.reportAt {
		return
	}
	k.inDoubt = true
	k.reportAt = now + doubtReportInterval
	age := now - k.leases.ConfirmedAt()
	k.out.emit(EndpointListStatus{Unconfirmed: true, Age: age, Ready: survey.ready, Usable: survey.usable})
}

// reportConfirmed reports that the list is confirmed again, if it was reported as unconfirmed.
func (k *leaseKeeper) reportConfirmed(now time.Duration) {
	if k.inDoubt {
		k.inDoubt = false
		k.out.emit(EndpointListStatus{Age: now - k.leases.ConfirmedAt()})
	}
}

// healthCheckEnded updates the lease on a worker from a health check. A check without an answer leaves the
// lease unchanged.
func (k *leaseKeeper) healthCheckEnded(now time.Duration, end ProbeEnded) {
	checked := k.endpoints.byID[end.Worker]
	if checked == nil || !checked.lease.IsChecked() {
		return
	}
	k.leases.EndCheck(&checked.lease, end.Outcome == Served)
	switch end.Outcome {
	case Served:
		k.recordAccepted(now, checked, cmp.Or(end.SentAt, now-end.Latency))
	case Errored:
		k.recordDown(now, checked, ReportedDown)
	case ConnectFailed:
		k.recordDown(now, checked, WorkerUnreachable)
	case Shed, TimedOut, ConnectionReset, Canceled, NotSent, NotLoaded: // no information about the worker
	}
}

// attemptEnded updates the lease on a worker from the outcome of an attempt.
func (k *leaseKeeper) attemptEnded(now time.Duration, ended *attempt, outcome Outcome) {
	target := ended.worker
	switch outcome {
	case Served:
		k.recordAccepted(now, target, ended.sentAt)
	case Shed:
		if k.leases.RecordRejected(&target.lease, now, ended.sentAt) {
			k.out.emit(WorkerSuspended{target.ID, RejectedRequests})
		}
	case ConnectionReset:
		if k.leases.RecordBroken(&target.lease, now, ended.sentAt) {
			k.out.emit(WorkerSuspended{target.ID, ConnectionBroken})
		}
	case ConnectFailed:
		k.recordDown(now, target, WorkerUnreachable)
	case Errored, TimedOut, Canceled, NotSent, NotLoaded: // no information about draining
	}
}

// recordDown records that a worker is draining or unreachable.
func (k *leaseKeeper) recordDown(now time.Duration, w *worker, reason SuspendReason) {
	if k.leases.RecordDown(&w.lease, now) {
		k.out.emit(WorkerSuspended{w.ID, reason})
	}
}

// recordAccepted records that a worker accepted a request or health check sent at sentAt. A worker that was
// down before is assumed to have restarted: an unconfirmed list does not announce restarts, and a worker that
// is warming up is easily overloaded.
func (k *leaseKeeper) recordAccepted(now time.Duration, w *worker, sentAt time.Duration) {
	if k.leases.RecordAccepted(&w.lease, sentAt) {
		w.restart(k.endpoints.schedulers)
		w.Started = now
	}
}
