package quota

import (
	"fmt"
	"time"

	"calicohill/internal/stats/rendezvous"
)

// targetOfferRatio is how many times the requested units all members together offer, if each has all that it may lend
// to spare. It is above 1 since some have nothing to spare.
const targetOfferRatio = 2.0

// earlyReclaimDivisor is the part of a lease duration after which the seeded fault reclaimsEarly takes units back.
const earlyReclaimDivisor = 2

// grantedLease holds units that this member lent.
type grantedLease struct {
	Lease
	expiresAt time.Duration // until when the units count as lent
}

// answeredRequest identifies a lease request that was received and needs no further answer.
type answeredRequest struct {
	epoch  int64
	number uint32
}

// supersedes reports whether the request is the same as another one of the same member, or later.
func (r answeredRequest) supersedes(other answeredRequest) bool {
	return r.epoch > other.epoch || r.epoch == other.epoch && r.number >= other.number
}

// answerRequest grants a lease of what this member can spare, at most once for a request, if another lease may be
// granted at all.
func (a *budgetAccount) answerRequest(step *stepContext, received StatementReceived, request LeaseRequest, mayGrant bool) {
	id := answeredRequest{epoch: received.Epoch, number: request.Number}
	if latest, ok := a.answered[received.From]; ok && latest.supersedes(id) {
		return
	}
	a.answered[received.From] = id
	if !a.isDrawnToAnswer(step, received.From, request) {
		return
	}
	units := min(a.spareUnits(step), request.Units)
	if units <= 0 || !mayGrant {
		return
	}
	expiresAt := step.now + step.leaseReservation(a.HoldTime)
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

// isDrawnToAnswer reports whether this member is one of those that answer a request. Each member draws by a hash of the
// request and its own name, with such odds that together they offer targetOfferRatio of it and not all that they have.
func (a *budgetAccount) isDrawnToAnswer(step *stepContext, borrower string, request LeaseRequest) bool {
	fleetLendable := float64(maxLendable(a.fixedQuota(step))) * float64(step.config.FleetSize)
	draw := rendezvous.Uniform(fmt.Sprint(borrower, request.Number), step.config.Self)
	return draw*fleetLendable <= targetOfferRatio*float64(request.Units)
}

// spareUnits is how many units this member can lend now: none until leases of the start before have expired.
func (a *budgetAccount) spareUnits(step *stepContext) int64 {
	if step.now-step.startedAt < step.leaseReservation(a.HoldTime) && seeded != ignoresPreviousStart {
		return 0
	}
	return min(maxLendable(a.fixedQuota(step))-a.lentUnits(), a.usableUnits(step)-a.demand)
}
