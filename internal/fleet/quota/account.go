package quota

import (
	"math"
	"slices"
	"time"
)

// lendableDivisor sets the largest share of its quota that a member lends: 1/lendableDivisor.
const lendableDivisor = 2

// budgetAccount is this member's account of one budget. It manages the leases granted to others (lender.go) and the
// leases borrowed from others (borrower.go).
type budgetAccount struct {
	Budget
	demand         int64                // units that this member needs
	limit          int64                // units that this member may use, as last announced by LimitChanged
	granted        []grantedLease       // leases granted to other members
	borrowed       []borrowedLease      // leases granted by other members
	requestedUnits int64                // units in the current lease request; 0 if there is none
	requestNumber  uint32               // number of the current lease request
	nextRequestAt  time.Duration        // earliest time of the next lease request
	lastRequests   map[string]requestID // latest lease request received from each member
}

func newBudgetAccount(budget Budget) *budgetAccount {
	return &budgetAccount{Budget: budget, lastRequests: map[string]requestID{}}
}

// setDemand sets the number of units that this member needs.
func (a *budgetAccount) setDemand(units int64) { a.demand = max(units, 0) }

// updateLimit recomputes the number of usable units. changed reports whether it differs from the last announcement.
func (a *budgetAccount) updateLimit(step *stepContext) (announcement LimitChanged, changed bool) {
	usable := a.usableUnits(step)
	changed = usable != a.limit
	a.limit = usable
	return LimitChanged{Budget: a.Name, Units: usable}, changed
}

// removeMember drops the state received from a member, except for the leases borrowed from it, which stay until they
// expire.
func (a *budgetAccount) removeMember(member string) { delete(a.lastRequests, member) }

// fixedQuota returns the number of units that each member owns. It depends on the configured fleet size and not on the
// reachable members, so that a network partition does not change it.
func (a *budgetAccount) fixedQuota(step *stepContext) int64 {
	if seeded == quotaFromSeenMembers {
		return a.Total / int64(len(a.lastRequests)+1)
	}
	return a.Total / int64(step.config.FleetSize)
}

// maxLendable returns the largest number of units that a member lends: half of its quota. After a restart, a member
// does not use that half until the leases granted by its previous incarnation have expired.
func maxLendable(quota int64) int64 { return quota / lendableDivisor }

// availableQuota returns the part of the fixed quota that this incarnation of the member may use or lend. It has no
// record of the previous incarnation: units taken then may remain in use for HoldTime, and leases granted then for
// LeaseDuration plus HoldTime.
func (a *budgetAccount) availableQuota(step *stepContext) int64 {
	quota := a.fixedQuota(step)
	if seeded == ignoresPreviousIncarnation {
		return quota
	}
	switch age := step.now - step.startedAt; {
	case age < step.previousUseTime(a.HoldTime):
		return 0
	case age < step.leaseUseTime(a.HoldTime):
		return quota - maxLendable(quota)
	default:
		return quota
	}
}

// usableUnits returns the number of units that this member may have in use now.
func (a *budgetAccount) usableUnits(step *stepContext) int64 {
	usable := a.availableQuota(step) - a.lentUnits()
	for _, lease := range a.borrowed {
		usable += lease.units
	}
	return max(usable, 0)
}

// lentUnits returns the number of units in granted leases that have not expired.
func (a *budgetAccount) lentUnits() int64 {
	if seeded == usesLentUnits {
		return 0
	}
	var units int64
	for _, lease := range a.granted {
		units += lease.Units
	}
	return units
}

// expireLeases drops granted and borrowed leases that have expired.
func (a *budgetAccount) expireLeases(now time.Duration) {
	a.granted = slices.DeleteFunc(a.granted, func(lease grantedLease) bool { return now >= lease.expiresAt })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(lease borrowedLease) bool { return now >= lease.expiresAt })
}

// nextChange returns the earliest time at which a lease expires, the next lease request is due, or more of the fixed
// quota becomes available after a restart.
func (a *budgetAccount) nextChange(step *stepContext) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, lease := range a.granted {
		next = min(next, lease.expiresAt)
	}
	for _, lease := range a.borrowed {
		next = min(next, lease.expiresAt)
	}
	if a.demand > a.limit {
		next = min(next, a.nextRequestAt)
	}
	for _, useTime := range []time.Duration{step.previousUseTime(a.HoldTime), step.leaseUseTime(a.HoldTime)} {
		if at := step.startedAt + useTime; at > step.now {
			next = min(next, at)
		}
	}
	return next
}
