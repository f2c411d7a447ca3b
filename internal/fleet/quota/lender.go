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

// answerRequest grants a lease of what this member can spare, at most once for a request.
func (c *Core) answerRequest(account *budgetAccount, received StatementReceived, request LeaseRequest) {
	id := answeredRequest{epoch: received.Epoch, number: request.Number}
	if latest, ok := account.answered[received.From]; ok && latest.supersedes(id) {
		return
	}
	account.answered[received.From] = id
	if !c.isDrawnToAnswer(account, received.From, request) {
		return
	}
	units := min(c.spareUnits(account), request.Units)
	if units <= 0 || c.grantedLeases() >= maxStatementEntries {
		return
	}
	expiresAt := c.now + c.leaseReservation(account)
	if seeded == reclaimsEarly {
		expiresAt = c.now + c.config.LeaseDuration/earlyReclaimDivisor
	}
	lease := Lease{
		Budget:        account.Name,
		Borrower:      received.From,
		BorrowerEpoch: received.Epoch,
		Request:       request.Number,
		Units:         units,
	}
	account.granted = append(account.granted, grantedLease{Lease: lease, expiresAt: expiresAt})
}

// isDrawnToAnswer reports whether this member is one of those that answer a request. Each member draws by a hash of the
// request and its own name, with such odds that together they offer targetOfferRatio of it and not all that they have.
func (c *Core) isDrawnToAnswer(account *budgetAccount, borrower string, request LeaseRequest) bool {
	fleetLendable := float64(maxLendable(c.fixedQuota(account))) * float64(c.config.FleetSize)
	draw := rendezvous.Uniform(fmt.Sprint(borrower, request.Number), c.config.Self)
	return draw*fleetLendable <= targetOfferRatio*float64(request.Units)
}

// spareUnits is how many units this member can lend now: none until leases of the start before have expired.
func (c *Core) spareUnits(account *budgetAccount) int64 {
	if c.now-c.startedAt < c.leaseReservation(account) && seeded != ignoresPreviousStart {
		return 0
	}
	return min(maxLendable(c.fixedQuota(account))-account.lentUnits(), c.usableUnits(account)-account.demand)
}

// grantedLeases is the number of granted leases of all budgets.
func (c *Core) grantedLeases() int {
	count := 0
	for _, account := range c.accounts {
		count += len(account.granted)
	}
	return count
}
