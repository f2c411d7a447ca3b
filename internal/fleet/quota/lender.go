package quota

import (
	"fmt"
	"time"

	"calicohill/internal/stats/rendezvous"
)

// targetOfferRatio is the ratio of units that all members together offer to the units requested, if every member can
// lend its full share. It is above 1 because some members have no spare units.
const targetOfferRatio = 2.0

// earlyReclaimDivisor sets the time after which the seeded fault reclaimsEarly takes units back: LeaseDuration divided
// by it.
const earlyReclaimDivisor = 2

// grantedLease is a lease granted to another member.
type grantedLease struct {
	Lease
	expiresAt time.Duration // time until which the units count as lent
}

// requestID identifies a lease request of a member.
type requestID struct {
	epoch  int64
	number uint32
}

// supersedes reports whether the request is the same as or later than another request of the same member.
func (r requestID) supersedes(other requestID) bool {
	return r.epoch > other.epoch || r.epoch == other.epoch && r.number >= other.number
}

// answerRequest grants a lease of this member's spare units. It processes each request at most once. mayGrant is false
// if the limit of granted leases is reached.
func (a *budgetAccount) answerRequest(step *stepContext, received StatementReceived, request LeaseRequest, mayGrant bool) {
	id := requestID{epoch: received.Epoch, number: request.Number}
	if latest, ok := a.lastRequests[received.From]; ok && latest.supersedes(id) {
		return
	}
	a.lastRequests[received.From] = id
	if !a.isSelectedToAnswer(step, received.From, request) {
		return
	}
	units := min(a.spareUnits(step), request.Units)
	if units <= 0 || !mayGrant {
		return
	}
	expiresAt := step.now + step.leaseUseTime(a.HoldTime)
	if seeded == reclaimsEarly {
		expiresAt = step.now + step.config.LeaseDuration/earlyReclaimDivisor
	}
	lease := Lease{
		Budget:        a.Name,
		Borrower:      received.From,
		BorrowerEpoch: received.Epoch,
		Request:       request.Number,
		Units:         units,
	}
	a.granted = append(a.granted, grantedLease{Lease: lease, expiresAt: expiresAt})
}

// isSelectedToAnswer reports whether this member is selected to answer a request. Each member decides by a hash of the
// request and its own name. The probability is such that the selected members together offer about targetOfferRatio
// times the requested units rather than all their spare units.
func (a *budgetAccount) isSelectedToAnswer(step *stepContext, borrower string, request LeaseRequest) bool {
	fleetLendable := float64(maxLendable(a.fixedQuota(step))) * float64(step.config.FleetSize)
	sample := rendezvous.Uniform(fmt.Sprint(borrower, request.Number), step.config.Self)
	return sample*fleetLendable <= targetOfferRatio*float64(request.Units)
}

// spareUnits returns the number of units that this member can lend now. It is 0 until the leases granted by the
// previous incarnation have expired.
func (a *budgetAccount) spareUnits(step *stepContext) int64 {
	if step.now-step.startedAt < step.leaseUseTime(a.HoldTime) && seeded != ignoresPreviousIncarnation {
		return 0
	}
	return min(maxLendable(a.fixedQuota(step))-a.lentUnits(), a.usableUnits(step)-a.demand)
}
