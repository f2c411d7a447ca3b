package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/routing/lease"
)

const (
	leaseSweepInterval  = 100 * time.Millisecond // between two searches for leases that have to be renewed
	doubtReportInterval = 5 * time.Second        // between two reports that the endpoint list is in doubt
)

// leaseKeeper renews the leases on workers: by what discovery and the workers' answers prove, and by health
// checks while the endpoint list is in doubt.
type leaseKeeper struct {
	leases    *lease.Table
	allowed   bool // health checks are allowed
	sweepAt   time.Duration
	inDoubt   bool          // was reported so
	reportAt  time.Duration // when that is reported again
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

// leaseSurvey is what a search for leases that have to be renewed has found.
type leaseSurvey struct {
	ready      int // workers that are listed as ready and not ejected
	usable     int // of these, workers that may be sent requests
	fresh      int // of these, workers that need no health check, or are being asked
	suspects   []*worker
	candidates []*worker
}

// confirm takes in that the endpoint list was complete at a time.
func (k *leaseKeeper) confirm(now, asOf time.Duration) {
	if !k.leases.Limited() {
		k.endpoints.correctStarts(now)
	}
	k.leases.Confirm(asOf)
}

// renew asks workers for their health whose leases have to be renewed, while the endpoint list is in doubt.
// Those that serve requests renew them by that; of the others as many are asked as Held says, first those
// that took requests last. A worker that has just come under suspicion is asked at once.
func (k *leaseKeeper) renew(now time.Duration, rng *rand.Rand) {
	if now < k.sweepAt {
		return
	}
	k.sweepAt = now + leaseSweepInterval
	if !k.leases.ConfirmationOverdue(now) {
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
	wanted := min(len(survey.candidates), k.leases.RenewalTarget(survey.ready)-survey.fresh)
	if wanted <= 0 {
		return
	}
	sortForCheck(survey.candidates, rng)
	for _, candidate := range survey.candidates[:wanted] {
		k.checkHealth(now, candidate)
	}
}

// sortForCheck puts workers into the order in which they are asked for their health. Schedulers that know
// equally little of all workers must not all ask the same.
func sortForCheck(workers []*worker, rng *rand.Rand) {
	rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Compare(b.lease.LastAcceptedAt(), a.lease.LastAcceptedAt())
	})
}

// survey looks through the workers for leases that have to be renewed.
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
		case k.leases.IsFresh(&listed.lease, now) || listed.lease.CheckInFlight():
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

// checkHealth asks a worker whether it takes requests.
func (k *leaseKeeper) checkHealth(now time.Duration, w *worker) {
	k.leases.BeginCheck(&w.lease, now)
	k.out.emit(Probe{w.ID})
}

// reportDoubt says that the list is in doubt: at once, and again from time to time.
func (k *leaseKeeper) reportDoubt(now time.Duration, survey leaseSurvey) {
	if k.inDoubt && now < k.reportAt {
		return
	}
	k.inDoubt = true
	k.reportAt = now + doubtReportInterval
	age := now - k.leases.ConfirmedAt()
	k.out.emit(EndpointsDoubted{InDoubt: true, Age: age, Ready: survey.ready, Usable: survey.usable})
}

// reportConfirmed says that the list is confirmed again, if it was in doubt.
func (k *leaseKeeper) reportConfirmed(now time.Duration) {
	if k.inDoubt {
		k.inDoubt = false
		k.out.emit(EndpointsDoubted{Age: now - k.leases.ConfirmedAt()})
	}
}

// healthCheckEnded learns from a health check whether a worker takes requests. No answer proves nothing.
func (k *leaseKeeper) healthCheckEnded(now time.Duration, end ProbeEnded) {
	checked := k.endpoints.byID[end.Worker]
	if checked == nil || !checked.lease.CheckInFlight() {
		return
	}
	k.leases.EndCheck(&checked.lease, end.Outcome == Served)
	switch end.Outcome {
	case Served:
		k.recordAccepted(now, checked, cmp.Or(end.SentAt, now-end.Latency))
	case Errored:
		k.recordDown(now, checked, ReportedDown)
	case ConnectFailed:
		k.recordDown(now, checked, CouldNotBeReached)
	case Shed, TimedOut, ConnectionReset, Canceled, NotSent, NotLoaded: // nothing is known of the worker
	}
}

// attemptEnded learns from the outcome of an attempt whether its worker takes requests.
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
		if k.leases.RecordConnectionReset(&target.lease, now, ended.sentAt) {
			k.out.emit(WorkerSuspended{target.ID, ConnectionBroke})
		}
	case ConnectFailed:
		k.recordDown(now, target, CouldNotBeReached)
	case Errored, TimedOut, Canceled, NotSent, NotLoaded: // that does not tell whether it drains
	}
}

// recordDown notes that a worker drains or cannot be reached.
func (k *leaseKeeper) recordDown(now time.Duration, w *worker, reason SuspendReason) {
	if k.leases.RecordDown(&w.lease, now) {
		k.out.emit(WorkerSuspended{w.ID, reason})
	}
}

// recordAccepted notes that a worker took what was sent to it at a time. One that had been down before is
// taken to have restarted: while the list is in doubt nobody tells, and a worker that warms up is easily
// overloaded.
func (k *leaseKeeper) recordAccepted(now time.Duration, w *worker, sentAt time.Duration) {
	if k.leases.RecordAccepted(&w.lease, sentAt) {
		w.restart(k.endpoints.schedulers)
		w.Started = now
	}
}
