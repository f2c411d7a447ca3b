// Package quota shares budgets among the schedulers of a fleet: how many units each may use of a resource of which all
// of them together must not use more than a total. Each member owns a fixed quota, by the configured size of the fleet.
// What it does not need it lends to members that need more, as leases, after the demarcation protocol (Barbara and
// Garcia-Molina, 1992) and the leases of Gray and Cheriton (1989).
//
// Core decides all of it, does no I/O and reads no clock: Step is given the events and the current time, and returns
// the statement to broadcast and the units that may be used.
//
// The safety property: the units that all members may use, together with those still in use, never exceed the total.
// It holds whatever messages are lost, duplicated, late or reordered and whichever members stop or restart, as long as
// each clock runs between 1 - MaxClockDrift and 1 + MaxClockDrift of true time, and every running member is configured
// with a fleet size no smaller than the number of running members. The argument is in docs/design/shared.md, and the
// checker in this package's tests searches for a history that violates it.
package quota

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxBudgetTotal is the largest Budget.Total: sums of two stay in range.
const maxBudgetTotal = math.MaxInt64 / 4

// ErrInvalidConfig is wrapped by every error of New.
var ErrInvalidConfig = errors.New("quota: invalid settings")

// Budget is a resource of which all members together may have a number of units in use.
type Budget struct {
	Name     string
	Total    int64         // units, of all members together
	HoldTime time.Duration // how long a unit may stay in use once it is taken
}

// Config holds the settings of a Core.
type Config struct {
	Self          string // name of this member
	Epoch         int64  // of this start of the member; later starts have greater ones
	FleetSize     int    // number of members; while it changes, the largest that any member may still be configured with
	Budgets       []Budget
	LeaseDuration time.Duration
	MaxClockDrift float64 // fraction of true time by which a clock may be fast or slow, below 1
}

// Core holds one member's accounts. It is not safe for concurrent use.
type Core struct {
	stepContext
	started         bool
	accounts        []*budgetAccount
	requests        requestLog
	latestStatement Statement
	distrusted      map[string]bool // members that lent more than they own
}

// New returns a Core that has received nothing. Errors wrap ErrInvalidConfig.
func New(config Config) (*Core, error) {
	invalidDrift := config.MaxClockDrift < 0 || config.MaxClockDrift >= 1
	if config.Self == "" || config.FleetSize < 1 || config.LeaseDuration <= 0 || invalidDrift {
		return nil, fmt.Errorf("%w: %+v", ErrInvalidConfig, config)
	}
	c := &Core{stepContext: stepContext{config: config}, distrusted: map[string]bool{}}
	for _, settings := range config.Budgets {
		validTotal := settings.Total >= 0 && settings.Total <= maxBudgetTotal
		if !validTotal || settings.HoldTime < 0 || c.findAccount(settings.Name) != nil {
			return nil, fmt.Errorf("%w: budget %+v", ErrInvalidConfig, settings)
		}
		c.accounts = append(c.accounts, newBudgetAccount(settings))
	}
	return c, nil
}

// Step applies the events of one moment in order and returns the actions to carry out. After the process was suspended
// nothing may be used until Step has returned: what was usable before may have expired.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	c.now = max(c.now, now)
	if !c.started {
		c.started = true
		c.startedAt = c.now
	}
	for _, account := range c.accounts {
		account.expireLeases(c.now)
	}
	var actions []Action
	for _, event := range events {
		actions = append(actions, c.apply(event)...)
	}
	for _, account := range c.accounts {
		account.requestLease(&c.stepContext, &c.requests)
		if announcement, changed := account.updateLimit(&c.stepContext); changed {
			actions = append(actions, announcement)
		}
	}
	if statement := c.currentStatement(); !equalStatements(statement, c.latestStatement) {
		c.latestStatement = statement
		actions = append(actions, Broadcast{statement})
	}
	return actions
}

func (c *Core) apply(event Event) []Action {
	switch event := event.(type) {
	case DemandChanged:
		if account := c.findAccount(event.Budget); account != nil {
			account.setDemand(event.Units)
		}
	case StatementReceived:
		if event.From != c.config.Self {
			return c.receive(event)
		}
	case FleetResized:
		c.config.FleetSize = max(event.FleetSize, 1)
	case MemberForgotten:
		delete(c.distrusted, event.Name)
		for _, account := range c.accounts {
			account.forget(event.Name)
		}
	}
	return nil
}

// Next is the time by which Step must be called again.
func (c *Core) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, account := range c.accounts {
		next = min(next, account.nextChange(&c.stepContext))
	}
	return next
}

// findAccount returns the account of a budget, nil if there is none of this name.
func (c *Core) findAccount(name string) *budgetAccount {
	i := slices.IndexFunc(c.accounts, func(account *budgetAccount) bool { return account.Name == name })
	if i < 0 {
		return nil
	}
	return c.accounts[i]
}

// receive checks the leases of a member's statement, accepts those for this member and answers the requests.
func (c *Core) receive(received StatementReceived) []Action {
	var actions []Action
	for _, account := range c.accounts {
		lent := account.sumLeases(received.Leases)
		// A member that is configured with a smaller fleet owns more by what it knows: it is not distrusted for that, but
		// its leases are not accepted either.
		theirQuota := account.Total / int64(max(received.FleetSize, 1))
		if lent > maxLendable(theirQuota) && !c.distrusted[received.From] {
			c.distrusted[received.From] = true
			actions = append(actions, OverlendingDetected{From: received.From})
		}
		if c.distrusted[received.From] || lent > maxLendable(account.fixedQuota(&c.stepContext)) {
			continue
		}
		account.acceptLeases(&c.stepContext, &c.requests, received)
	}
	for _, request := range received.Requests {
		if account := c.findAccount(request.Budget); account != nil && request.Units > 0 {
			mayGrant := c.grantedLeases() < maxStatementEntries
			account.answerRequest(&c.stepContext, received, request, mayGrant)
		}
	}
	return actions
}

// grantedLeases is the number of granted leases of all budgets.
func (c *Core) grantedLeases() int {
	count := 0
	for _, account := range c.accounts {
		count += len(account.granted)
	}
	return count
}
