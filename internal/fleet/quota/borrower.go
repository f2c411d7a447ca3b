package quota

import (
	"slices"
	"time"
)

const (
	renewalDivisor   = 2 // a lease is renewed when less than 1/renewalDivisor of its duration is left
	requestsPerLease = 4 // maximum lease requests per budget and lease duration
)

// borrowedLease is a lease granted by another member.
type borrowedLease struct {
	lender      string
	lenderEpoch int64
	request     uint32 // number of the lease request that was granted
	units       int64
	expiresAt   time.Duration
}

// requestLog records the times of the lease requests whose leases may not have expired yet. Requests are numbered
// consecutively across all budgets.
type requestLog struct {
	latest uint32          // number of the latest request
	first  uint32          // number of the first request in times
	times  []time.Duration // times of consecutive requests
}

// add records a request at the time now and returns its number. It drops requests that are at least leaseDuration old.
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

// requestTime returns the time of a request. ok is false if the request is not in the log.
func (l *requestLog) requestTime(number uint32) (at time.Duration, ok bool) {
	if number < l.first || number-l.first >= uint32(len(l.times)) {
		return 0, false
	}
	return l.times[number-l.first], true
}

// requestLease requests the units that this member lacks now or will lack within half a lease duration, when leases
// expire.
func (a *budgetAccount) requestLease(step *stepContext, requests *requestLog) {
	shortfall := a.demand - a.availableQuota(step) + a.lentUnits()
	for _, lease := range a.borrowed {
		if lease.expiresAt-step.now > step.config.LeaseDuration/renewalDivisor {
			shortfall -= lease.units
		}
	}
	if shortfall <= 0 {
		a.requestedUnits = 0
		return
	}
	if step.now < a.nextRequestAt {
		return
	}
	a.requestedUnits = shortfall
	a.requestNumber = requests.add(step.now, step.config.LeaseDuration)
	a.nextRequestAt = step.now + step.config.LeaseDuration/requestsPerLease
}

// sumLeases returns the total units of this budget in the received leases. It caps the sum above Total, because the
// units sent by a peer could make it overflow.
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

// acceptLeases accepts the leases of this budget that were granted to this incarnation of this member.
func (a *budgetAccount) acceptLeases(step *stepContext, requests *requestLog, received StatementReceived) {
	for _, lease := range received.Leases {
		isForThisIncarnation := lease.Borrower == step.config.Self && lease.BorrowerEpoch == step.config.Epoch
		if isForThisIncarnation && lease.Budget == a.Name && lease.Units > 0 {
			a.acceptLease(step, requests, received, lease)
		}
	}
}

// acceptLease adds a lease to the borrowed leases and ignores duplicates. The lease runs from the time of the request,
// which precedes the grant, so it expires here before it expires at the lender. This needs no synchronized clocks.
func (a *budgetAccount) acceptLease(step *stepContext, requests *requestLog, received StatementReceived, lease Lease) {
	requestedAt, ok := requests.requestTime(lease.Request)
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
