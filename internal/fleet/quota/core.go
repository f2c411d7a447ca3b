// Package quota shares budgets among the schedulers of a fleet. A budget limits the total number of units of a resource
// that all schedulers together may use. Each member owns a fixed quota, which is the total divided by the configured
// fleet size. Members lend spare units to members that need more, as leases. The design follows the demarcation
// protocol (Barbara and Garcia-Molina, 1992) and leases (Gray and Cheriton, 1989).
//
// Core implements the protocol without I/O and without reading a clock: the caller passes the events and the current
// time to Step, which returns the statement to broadcast and the number of usable units.
//
// Safety property: the units that all members may use, plus the units still in use, never exceed the total. It holds
// even if messages are lost, duplicated, delayed or reordered, and if members stop or restart. It requires that each
// clock runs at a rate between 1 - MaxClockDrift and 1 + MaxClockDrift of true time, and that every running member is
// configured with a fleet size of at least the number of running members. The argument is in docs/design/shared.md, and
// the checker in this package's tests searches for a history that violates the property.
package quota

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxBudgetTotal is the largest valid Budget.Total. Sums of two totals do not overflow.
const maxBudgetTotal = math.MaxInt64 / 4

// ErrInvalidConfig is wrapped by every error that New returns.
var ErrInvalidConfig = errors.New("quota: invalid settings")

// Budget is a limit on the units of a resource that all members together may have in use.
type Budget struct {
	Name     string
	Total    int64         // maximum units in use across all members
	HoldTime time.Duration // maximum time for which a unit stays in use once taken
}

// Config holds the settings of a Core.
type Config struct {
	Self          string // name of this member
	Epoch         int64  // epoch of this incarnation; it increases with every restart
	FleetSize     int    // number of members; during a resize, the largest size configured at any member
	Budgets       []Budget
	LeaseDuration time.Duration
	MaxClockDrift float64 // maximum relative deviation of a clock's rate from true time; below 1
}

// Core holds the accounts of one member. It is not safe for concurrent use.
type Core struct {
	stepContext
	started         bool
	accounts        []*budgetAccount
	requests        requestLog
	latestStatement Statement
	distrusted      map[string]bool // members that lent more than they own
}

// New returns a Core without demand and leases. Errors wrap ErrInvalidConfig.
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

// Step applies events in order at the time now and returns the actions to carry out. After the process was suspended,
// the caller must not use any units before it has called Step, because leases may have expired in the meantime.
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
	case MemberRemoved:
		delete(c.distrusted, event.Name)
		for _, account := range c.accounts {
			account.removeMember(event.Name)
		}
	}
	return nil
}

// Next returns the time by which Step must be called again.
func (c *Core) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, account := range c.accounts {
		next = min(next, account.nextChange(&c.stepContext))
	}
	return next
}

// findAccount returns the account of the named budget, or nil if there is none.
func (c *Core) findAccount(name string) *budgetAccount {
	i := slices.IndexFunc(c.accounts, func(account *budgetAccount) bool { return account.Name == name })
	if i < 0 {
		return nil
	}
	return c.accounts[i]
}

// receive validates the leases in a member's statement, accepts those granted to this member and answers lease
// requests.
func (c *Core) receive(received StatementReceived) []Action {
	var actions []Action
	for _, account := range c.accounts {
		lent := account.sumLeases(received.Leases)
		// A sender configured with a smaller fleet size computes a larger quota. That alone does not make it
		// distrusted, but leases above the quota computed here are not accepted.
		senderQuota := account.Total / int64(max(received.FleetSize, 1))
		if lent > maxLendable(senderQuota) && !c.distrusted[received.From] {
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

// grantedLeases returns the number of granted leases across all budgets.
func (c *Core) grantedLeases() int {
	count := 0
	for _, account := range c.accounts {
		count += len(account.granted)
	}
	return count
}
