package routing

import (
	"cmp"
	"slices"
	"time"

	"calicohill/routing/lease"
)

const (
	leaseSweepInterval  = 100 * time.Millisecond // between two searches for leases that have to be renewed
	doubtReportInterval = 5 * time.Second        // between two reports that the endpoint list is in doubt
)

// leaseKeeper renews the leases on workers by health checks while the endpoint list is in doubt.
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

// confirmEndpoints takes in that the endpoint list was complete at a time.
func (r *Router) confirmEndpoints(event EndpointsConfirmed) {
	if !r.endpoints.leases.Limited() {
		r.endpoints.correctStarts(r.now)
	}
	r.endpoints.leases.Confirm(event.AsOf)
	r.refreshCapacity()
}

// renewLeases asks workers for their health whose leases have to be renewed, while the endpoint list is in
// doubt. Those that serve requests renew them by that; of the others as many are asked as Held says, first
// those that took requests last. A worker that has just come under suspicion is asked at once.
func (r *Router) renewLeases() {
	keeper := r.leaseKeeper
	if r.now < keeper.sweepAt {
		return
	}
	keeper.sweepAt = r.now + leaseSweepInterval
	if !keeper.leases.InDoubt(r.now) {
		keeper.reportConfirmed(r.now)
		return
	}
	survey := keeper.survey(r.now)
	keeper.reportDoubt(r.now, survey)
	if !keeper.allowed {
		return
	}
	for _, w := range survey.suspects {
		keeper.checkHealth(r.now, w)
	}
	wanted := min(len(survey.candidates), keeper.leases.Held(survey.ready)-survey.fresh)
	if wanted <= 0 {
		return
	}
	r.sortForCheck(survey.candidates)
	for _, w := range survey.candidates[:wanted] {
		keeper.checkHealth(r.now, w)
	}
}

// sortForCheck puts workers into the order in which they are asked for their health. Schedulers that know
// equally little of all workers must not all ask the same.
func (r *Router) sortForCheck(workers []*worker) {
	r.rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Compare(b.lease.ProvenAt(), a.lease.ProvenAt())
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
func (r *Router) healthCheckEnded(end ProbeEnded) {
	w := r.endpoints.byID[end.Worker]
	if w == nil || !w.lease.IsChecked() {
		return
	}
	r.leaseKeeper.leases.EndCheck(&w.lease, end.Outcome == Served)
	switch end.Outcome {
	case Served:
		r.recordAccepted(w, r.now-end.Latency)
	case Errored:
		r.leaseKeeper.recordDown(r.now, w, ReportedDown)
	case ConnectFailed:
		r.leaseKeeper.recordDown(r.now, w, CouldNotBeReached)
	case Shed, TimedOut, ConnectionReset, Canceled, NotSent, NotLoaded: // nothing is known of the worker
	}
	r.refreshCapacity()
}

// renewByAttempt learns from the outcome of an attempt whether its worker takes requests.
func (r *Router) renewByAttempt(ended *attempt, outcome Outcome) {
	target := ended.worker
	switch outcome {
	case Served:
		r.recordAccepted(target, ended.sentAt)
	case Shed:
		if r.leaseKeeper.leases.RecordRejected(&target.lease, r.now, ended.sentAt) {
			r.out.emit(WorkerSuspended{target.ID, RejectedRequests})
		}
	case ConnectionReset:
		if r.leaseKeeper.leases.RecordBroken(&target.lease, r.now, ended.sentAt) {
			r.out.emit(WorkerSuspended{target.ID, ConnectionBroke})
		}
	case ConnectFailed:
		r.leaseKeeper.recordDown(r.now, target, CouldNotBeReached)
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
func (r *Router) recordAccepted(w *worker, sentAt time.Duration) {
	if r.leaseKeeper.leases.RecordAccepted(&w.lease, sentAt) {
		w.restart(r.settings.Schedulers)
		w.Started = r.now
	}
}
