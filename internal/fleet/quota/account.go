package quota

import (
	"math"
	"slices"
	"time"
)

// lendableDivisor is the part of its quota that a member lends at most.
const lendableDivisor = 2

// fixedQuota is what a member owns of a budget. It follows from the configured size of the fleet and never from the
// members that are reachable, so that a partition doesn't change it.
func (c *Core) fixedQuota(account *budgetAccount) int64 {
	if seeded == quotaFromSeenMembers {
		return account.Total / int64(len(account.answered)+1)
	}
	return account.Total / int64(c.config.FleetSize)
}

// maxLendable is the most that a member lends of its quota: half. A new start does without that half until leases of
// the start before have expired.
func maxLendable(quota int64) int64 { return quota / lendableDivisor }

// ownQuota is the part of the fixed quota that this start of the member may count on. It has no record of the start
// before, whose units may be in use for HoldTime and whose leases last for a lease duration more.
func (c *Core) ownQuota(account *budgetAccount) int64 {
	quota := c.fixedQuota(account)
	if seeded == ignoresPreviousStart {
		return quota
	}
	switch age := c.now - c.startedAt; {
	case age < c.previousUseReservation(account):
		return 0
	case age < c.leaseReservation(account):
		return quota - maxLendable(quota)
	default:
		return quota
	}
}

// usableUnits is how many units this member may have in use now.
func (c *Core) usableUnits(account *budgetAccount) int64 {
	usable := c.ownQuota(account) - account.lentUnits()
	for _, lease := range account.borrowed {
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
func (c *Core) expireLeases(account *budgetAccount) {
	account.granted = slices.DeleteFunc(account.granted, func(lease grantedLease) bool { return c.now >= lease.expiresAt })
	account.borrowed = slices.DeleteFunc(account.borrowed, func(lease borrowedLease) bool { return c.now >= lease.expiresAt })
}

// previousUseReservation is how long after a start units may still be in use that the start before took.
func (c *Core) previousUseReservation(account *budgetAccount) time.Duration {
	return c.reservationTime(account.HoldTime)
}

// leaseReservation is how long after a lease was granted units of it may still be in use at the borrower.
func (c *Core) leaseReservation(account *budgetAccount) time.Duration {
	return c.reservationTime(c.config.LeaseDuration + account.HoldTime)
}

// reservationTime converts a duration by another member's clock into the time by this member's clock after which it
// has surely passed there: this clock may be the fastest while the other is the slowest.
func (c *Core) reservationTime(theirs time.Duration) time.Duration {
	drift := c.config.MaxClockDrift
	if seeded == ignoresClockDrift {
		drift = 0
	}
	return time.Duration(math.Ceil(float64(theirs) * (1 + drift) / (1 - drift)))
}
