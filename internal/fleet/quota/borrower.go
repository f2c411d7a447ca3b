package quota

import (
	"slices"
	"time"
)

const (
	renewalDivisor      = 2 // a lease is replaced once less than this part of its duration is left
	requestsPerDuration = 4 // lease requests of a budget in a lease duration
)

// borrowedLease holds units that another member lent.
type borrowedLease struct {
	lender      string
	lenderEpoch int64
	request     uint32 // number of the request that it answers
	units       int64
	expiresAt   time.Duration
}

// requestLog holds when lease requests were made, for those whose leases may still be used. Requests are numbered in
// order over all budgets.
type requestLog struct {
	latest uint32          // number of the latest request
	first  uint32          // number of the first request in times
	times  []time.Duration // when requests were made, in order
}

// add numbers a request that is made now, and drops those made a lease duration ago or before.
func (l *requestLog) add(now, leaseDuration time.Duration) uint32 {
	l.latest++
	if len(l.times) == 0 {
		l.first = l.latest
	}
	l.times = append(l.times, now)
	for len(l.times) > 0 && now-l.times[0] >= leaseDuration {
		l.times = l.times[1:]
		l.first++
	}
	return l.latest
}

// madeAt returns when a request was made; ok is false if it is not in the log.
func (l *requestLog) madeAt(number uint32) (at time.Duration, ok bool) {
	if number < l.first || number-l.first >= uint32(len(l.times)) {
		return 0, false
	}
	return l.times[number-l.first], true
}

// requestLease asks for the units that this member lacks, and those that it will lack once half a lease duration has
// passed.
func (a *budgetAccount) requestLease(step *stepContext, requests *requestLog) {
	lacking := a.demand - a.ownQuota(step) + a.lentUnits()
	for _, lease := range a.borrowed {
		if lease.expiresAt-step.now > step.config.LeaseDuration/renewalDivisor {
			lacking -= lease.units
		}
	}
	if lacking <= 0 {
		a.requestedUnits = 0
		return
	}
	if step.now < a.nextRequestAt {
		return
	}
	a.requestedUnits = lacking
	a.requestNumber = requests.add(step.now, step.config.LeaseDuration)
	a.nextRequestAt = step.now + step.config.LeaseDuration/requestsPerDuration
}

// sumLeases adds up the units of this budget in received leases. The sum is capped above Total, so that the figures of
// a peer can't make it overflow.
func (a *budgetAccount) sumLeases(leases []Lease) int64 {
	limit := a.Total + 1
	var sum int64
	for _, lease := range leases {
		if lease.Budget == a.Name {
			sum = min(sum, limit) + min(max(lease.Units, 0), limit)
		}
	}
	return sum
}

// acceptLeases accepts the leases of a budget that are for this start of this member.
func (a *budgetAccount) acceptLeases(step *stepContext, requests *requestLog, received StatementReceived) {
	for _, lease := range received.Leases {
		isOurs := lease.Borrower == step.config.Self && lease.BorrowerEpoch == step.config.Epoch
		if isOurs && lease.Budget == a.Name && lease.Units > 0 {
			a.acceptLease(step, requests, received, lease)
		}
	}
}

// acceptLease borrows the units of a lease, once however often it is received. The lease counts from when the request
// was made, which was before anybody granted it: so it expires here before it does at the lender, whatever the clocks
// show.
func (a *budgetAccount) acceptLease(step *stepContext, requests *requestLog, received StatementReceived, lease Lease) {
	requestedAt, ok := requests.madeAt(lease.Request)
	if seeded == leaseFromArrival {
		requestedAt = step.now
		ok = true
	}
	isDuplicate := slices.ContainsFunc(a.borrowed, func(known borrowedLease) bool {
		return known.lender == received.From && known.lenderEpoch == received.Epoch && known.request == lease.Request
	})
	if seeded == acceptsDuplicates {
		isDuplicate = false
	}
	expiresAt := requestedAt + step.config.LeaseDuration
	if !ok || isDuplicate || expiresAt <= step.now {
		return
	}
	a.borrowed = append(a.borrowed, borrowedLease{
		lender:      received.From,
		lenderEpoch: received.Epoch,
		request:     lease.Request,
		units:       lease.Units,
		expiresAt:   expiresAt,
	})
}
