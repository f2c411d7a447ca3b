package quota

import (
	"math"
	"slices"
	"time"
)

// lendableDivisor is the part of its quota that a member lends at most.
const lendableDivisor = 2

// budgetAccount is the account of one budget. It owns the leases, as a lender (lender.go) and as a borrower
// (borrower.go).
type budgetAccount struct {
	Budget
	demand         int64                      // units that this member has a use for
	limit          int64                      // units that it may use, as last announced by LimitChanged
	granted        []grantedLease             // units lent to others
	borrowed       []borrowedLease            // units borrowed from others
	requestedUnits int64                      // units that the current lease request asks for, 0 without one
	requestNumber  uint32                     // of the current lease request
	nextRequestAt  time.Duration              // when the next one may be made
	answered       map[string]answeredRequest // the latest lease request received, by member
}

func newBudgetAccount(budget Budget) *budgetAccount {
	return &budgetAccount{Budget: budget, answered: map[string]answeredRequest{}}
}

// setDemand replaces the number of units that this member has a use for.
func (a *budgetAccount) setDemand(units int64) { a.demand = max(units, 0) }

// updateLimit returns the units that may be used now; changed is false if they are those that were announced last.
func (a *budgetAccount) updateLimit(step *stepContext) (announcement LimitChanged, changed bool) {
	usable := a.usableUnits(step)
	changed = usable != a.limit
	a.limit = usable
	return LimitChanged{Budget: a.Name, Units: usable}, changed
}

// forget drops what was received from a member. What it has lent stays borrowed until it expires.
func (a *budgetAccount) forget(member string) { delete(a.answered, member) }

// fixedQuota is what a member owns of a budget. It follows from the configured size of the fleet and never from the
// members that are reachable, so that a partition doesn't change it.
func (a *budgetAccount) fixedQuota(step *stepContext) int64 {
	if seeded == quotaFromSeenMembers {
		return a.Total / int64(len(a.answered)+1)
	}
	return a.Total / int64(step.config.FleetSize)
}

// maxLendable is the most that a member lends of its quota: half. A new start does without that half until leases of
// the start before have expired.
func maxLendable(quota int64) int64 { return quota / lendableDivisor }

// ownQuota is the part of the fixed quota that this start of the member may count on. It has no record of the start
// before, whose units may be in use for HoldTime and whose leases last for a lease duration more.
func (a *budgetAccount) ownQuota(step *stepContext) int64 {
	quota := a.fixedQuota(step)
	if seeded == ignoresPreviousStart {
		return quota
	}
	switch age := step.now - step.startedAt; {
	case age < step.previousUseReservation(a.HoldTime):
		return 0
	case age < step.leaseReservation(a.HoldTime):
		return quota - maxLendable(quota)
	default:
		return quota
	}
}

// usableUnits is how many units this member may have in use now.
func (a *budgetAccount) usableUnits(step *stepContext) int64 {
	usable := a.ownQuota(step) - a.lentUnits()
	for _, lease := range a.borrowed {
		usable += lease.units
	}
	return max(usable, 0)
}

// lentUnits is the sum of the granted leases that have not expired.
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

// expireLeases drops the granted and borrowed leases that have ended.
func (a *budgetAccount) expireLeases(now time.Duration) {
	a.granted = slices.DeleteFunc(a.granted, func(lease grantedLease) bool { return now >= lease.expiresAt })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(lease borrowedLease) bool { return now >= lease.expiresAt })
}

// nextChange is when a lease of the budget ends, more is requested, or more of the own quota becomes usable after a
// start.
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
	for _, reservation := range []time.Duration{step.previousUseReservation(a.HoldTime), step.leaseReservation(a.HoldTime)} {
		if at := step.startedAt + reservation; at > step.now {
			next = min(next, at)
		}
	}
	return next
}
