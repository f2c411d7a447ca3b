// Package quota shares budgets among the schedulers of a fleet: how much each may use of something that all of them
// together must not use more of than a whole. Each owns a fixed part of it, by the size of the fleet in the settings. What
// one has to spare it lends to one that lacks it, for a time, after the demarcation protocol (Barbara and Garcia-Molina,
// 1992) and the leases of Gray and Cheriton (1989).
//
// Core decides all of it and does no I/O: Step is told what came and what time it is, and returns what is to be said and
// what may be used.
//
// What holds whatever is lost, doubled, late, out of order, stopped or started anew, as long as each clock runs between 1 -
// MaxClockDrift and 1 + MaxClockDrift of true time and all members that run are told sizes of the fleet no smaller than their number: the
// sum of what all may use, and of what is still in use, is never above the whole. The argument is in docs/design/shared.md, and
// the checker in this package's tests looks for a course that breaks it.
package quota

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"calicohill/internal/stats/rendezvous"
)

// Budget is something that all members together may have so many units of in use.
type Budget struct {
	Name     string
	Total    int64         // units, of all members together
	HoldTime time.Duration // for how long a unit may stay in use once taken
}

// Config is what a Core works with.
type Config struct {
	Self          string
	Epoch         int64 // of this start; later ones are greater
	FleetSize     int   // of the fleet, as told: while that changes, the largest that any of them may still be told
	Budgets       []Budget
	LeaseDuration time.Duration // for how long units are lent
	MaxClockDrift float64       // by which part of true time a clock may be fast or slow, below 1
}

var ErrInvalidConfig = errors.New("allowance: unusable settings")

const (
	maxStatementEntries = 8                 // loans, and wants, that a statement holds
	maxBudgetTotal      = math.MaxInt64 / 4 // sums of two stay in range
	// Of those that hear a want so many times what it takes answer it: some have nothing to spare.
	targetOfferRatio = 2.0
)

// Statement is what a member tells all others. A later one takes the place of an earlier one.
type Statement struct {
	FleetSize int            `cbor:"1,keyasint"` // as it was told
	Requests  []LeaseRequest `cbor:"2,keyasint,omitempty"`
	Leases    []Lease        `cbor:"3,keyasint,omitempty"` // all that it counts as lent
}

// LeaseRequest asks for units of a budget.
type LeaseRequest struct {
	Budget string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"` // of the want; later ones are greater
	Units  int64  `cbor:"3,keyasint"`
}

// Lease lends units to a member, in answer to a want of it.
type Lease struct {
	Budget        string `cbor:"1,keyasint"`
	Borrower      string `cbor:"2,keyasint"`
	BorrowerEpoch int64  `cbor:"3,keyasint"` // the borrower's
	Request       uint32 `cbor:"4,keyasint"`
	Units         int64  `cbor:"5,keyasint"`
}

// Event is something that a Core is told. The concrete types are DemandChanged, StatementReceived, FleetResized and MemberForgotten.
type Event interface{ event() }

// DemandChanged says how many units of a budget this member has a use for, those in use included.
type DemandChanged struct {
	Budget string
	Units  int64
}

// StatementReceived brings the statement of another member, which is known to be its own.
type StatementReceived struct {
	From  string
	Epoch int64
	Statement
}

// FleetResized says that another size of the fleet is told.
type FleetResized struct{ FleetSize int }

// MemberForgotten says that a member is forgotten. What it lent lasts.
type MemberForgotten struct{ Name string }

func (MemberForgotten) event()   {}
func (DemandChanged) event()     {}
func (StatementReceived) event() {}
func (FleetResized) event()      {}

// Action is something that a Core asks for. The concrete types are Broadcast, LimitChanged and OverlendingDetected.
type Action interface{ action() }

// Broadcast has a statement told to all others, in place of the one before.
type Broadcast struct{ Statement }

// LimitChanged says how many units may be in use from now on.
type LimitChanged struct {
	Budget string
	Units  int64
}

// OverlendingDetected says that a member lends what it does not own. Nothing is borrowed from it.
type OverlendingDetected struct{ From string }

func (Broadcast) action()           {}
func (LimitChanged) action()        {}
func (OverlendingDetected) action() {}

// Core is one member's books. It is not safe for concurrent use.
type Core struct {
	config             Config
	now                time.Duration
	startedAt          time.Duration // the first Step
	started            bool
	requestNumber      uint32          // of the latest want
	requestTimes       []time.Duration // when wants were said, the latest last
	firstRequestNumber uint32          // number of the first of those
	budgets            []*budget
	latestStatement    Statement
	distrusted         map[string]bool
}

type budget struct {
	Budget
	demand, limit  int64
	granted        []grantedLease
	borrowed       []borrowedLease
	requestedUnits int64 // units that the latest want asks for, 0 for none
	requestNumber  uint32
	nextRequestAt  time.Duration // when the next may be made
	answered       map[string]answeredRequest
}

type grantedLease struct {
	Lease
	expiresAt time.Duration // until when it counts as gone
}

type borrowedLease struct {
	lender      string
	lenderEpoch int64
	request     uint32
	units       int64
	expiresAt   time.Duration
}

type answeredRequest struct {
	epoch  int64
	number uint32
}

// New returns a Core that has heard nobody.
func New(c Config) (*Core, error) {
	if c.Self == "" || c.FleetSize < 1 || c.LeaseDuration <= 0 || c.MaxClockDrift < 0 || c.MaxClockDrift >= 1 {
		return nil, fmt.Errorf("%w: %+v", ErrInvalidConfig, c)
	}
	k := &Core{config: c, distrusted: map[string]bool{}}
	for _, b := range c.Budgets {
		if b.Total < 0 || b.Total > maxBudgetTotal || b.HoldTime < 0 || slices.ContainsFunc(k.budgets, func(o *budget) bool { return o.Name == b.Name }) {
			return nil, fmt.Errorf("%w: budget %+v", ErrInvalidConfig, b)
		}
		k.budgets = append(k.budgets, &budget{Budget: b, answered: map[string]answeredRequest{}})
	}
	return k, nil
}

// Step tells the Core what happened at one moment, in order, and returns what is to be done. Time must not be used
// between a stop of the process and the Step after it: what was allowed before may have lapsed.
func (c *Core) Step(now time.Duration, events []Event) (acts []Action) {
	if c.now = max(c.now, now); !c.started {
		c.started, c.startedAt = true, c.now
	}
	for _, b := range c.budgets {
		c.expireLeases(b)
	}
	for _, e := range events {
		switch e := e.(type) {
		case DemandChanged:
			if b := c.findBudget(e.Budget); b != nil {
				b.demand = max(e.Units, 0)
			}
		case StatementReceived:
			if e.From != c.config.Self {
				acts = append(acts, c.receive(e)...)
			}
		case FleetResized:
			c.config.FleetSize = max(e.FleetSize, 1)
		case MemberForgotten:
			delete(c.distrusted, e.Name)
			for _, b := range c.budgets {
				delete(b.answered, e.Name)
			}
		}
	}
	for _, b := range c.budgets {
		c.requestLease(b)
		if n := c.usableUnits(b); n != b.limit {
			b.limit = n
			acts = append(acts, LimitChanged{b.Name, n})
		}
	}
	if s := c.currentStatement(); !equalStatements(s, c.latestStatement) {
		c.latestStatement = s
		acts = append(acts, Broadcast{s})
	}
	return acts
}

// Next is when Step must be called at the latest.
func (c *Core) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, b := range c.budgets {
		for _, l := range b.granted {
			next = min(next, l.expiresAt)
		}
		for _, l := range b.borrowed {
			next = min(next, l.expiresAt)
		}
		if b.demand > b.limit {
			next = min(next, b.nextRequestAt)
		}
		for _, at := range []time.Duration{c.startedAt + c.reservationTime(0, b.HoldTime), c.startedAt + c.reservationTime(c.config.LeaseDuration, b.HoldTime)} {
			if at > c.now {
				next = min(next, at)
			}
		}
	}
	return next
}

// Part is what a member owns of a budget.
func (c *Core) fixedQuota(b *budget) int64 {
	if seeded == quotaFromHeardMembers {
		return b.Total / int64(len(b.answered)+1)
	}
	return b.Total / int64(c.config.FleetSize)
}

// lendable is what a member lends of a part at the most, and begins a new start without: half.
func maxLendable(part int64) int64 { return part / 2 }

// gone is for how long what another may use for a time, and hold, counts as gone by this member's clock: that may be the
// fastest while the other's is the slowest.
func (c *Core) reservationTime(lease, hold time.Duration) time.Duration {
	d := c.config.MaxClockDrift
	if seeded == ignoresClockDrift {
		d = 0
	}
	return time.Duration(math.Ceil(float64(lease+hold) * (1 + d) / (1 - d)))
}

// own is what this member has of its part. A new start knows nothing of what the one before it had in use, which lasts
// for HoldTime, and lent, which lasts for a lease more.
func (c *Core) ownQuota(b *budget) int64 {
	switch age := c.now - c.startedAt; {
	case seeded == ignoresPreviousStart:
	case age < c.reservationTime(0, b.HoldTime):
		return 0
	case age < c.reservationTime(c.config.LeaseDuration, b.HoldTime):
		return c.fixedQuota(b) - maxLendable(c.fixedQuota(b))
	}
	return c.fixedQuota(b)
}

func (c *Core) usableUnits(b *budget) int64 {
	n := c.ownQuota(b) - b.lentUnits()
	for _, l := range b.borrowed {
		n += l.units
	}
	return max(n, 0)
}

// out is what is lent.
func (b *budget) lentUnits() (n int64) {
	if seeded == usesLentUnits {
		return 0
	}
	for _, l := range b.granted {
		n += l.Units
	}
	return n
}

// lapse ends loans whose time is past.
func (c *Core) expireLeases(b *budget) {
	b.granted = slices.DeleteFunc(b.granted, func(l grantedLease) bool { return c.now >= l.expiresAt })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowedLease) bool { return c.now >= l.expiresAt })
}

// ask wants what is lacking, and what will be once half a lease is past.
func (c *Core) requestLease(b *budget) {
	lacks := b.demand - c.ownQuota(b) + b.lentUnits()
	for _, l := range b.borrowed {
		if l.expiresAt-c.now > c.config.LeaseDuration/2 {
			lacks -= l.units
		}
	}
	if lacks <= 0 {
		b.requestedUnits = 0
		return
	}
	if c.now < b.nextRequestAt {
		return
	}
	c.requestNumber++
	b.requestedUnits, b.requestNumber, b.nextRequestAt = lacks, c.requestNumber, c.now+c.config.LeaseDuration/4
	if len(c.requestTimes) == 0 {
		c.firstRequestNumber = c.requestNumber
	}
	c.requestTimes = append(c.requestTimes, c.now)
	for len(c.requestTimes) > 0 && c.now-c.requestTimes[0] >= c.config.LeaseDuration {
		c.requestTimes, c.firstRequestNumber = c.requestTimes[1:], c.firstRequestNumber+1
	}
}

// askedAt is when a want was said, if what is lent for it may still be used.
func (c *Core) requestTime(number uint32) (time.Duration, bool) {
	if number < c.firstRequestNumber || number-c.firstRequestNumber >= uint32(len(c.requestTimes)) {
		return 0, false
	}
	return c.requestTimes[number-c.firstRequestNumber], true
}

func (c *Core) receive(e StatementReceived) (acts []Action) {
	for _, b := range c.budgets {
		var sum int64
		for _, l := range e.Leases {
			if l.Budget == b.Name {
				sum = min(sum, b.Total+1) + min(max(l.Units, 0), b.Total+1) // which a peer's figures can't make overflow
			}
		}
		// One that was told a smaller fleet owns more by what it knows: it lies not, and is not believed either.
		if theirs := b.Total / int64(max(e.FleetSize, 1)); sum > maxLendable(theirs) && !c.distrusted[e.From] {
			c.distrusted[e.From] = true
			acts = append(acts, OverlendingDetected{e.From})
		}
		if c.distrusted[e.From] || sum > maxLendable(c.fixedQuota(b)) {
			continue
		}
		for _, l := range e.Leases {
			if l.Budget == b.Name && l.Borrower == c.config.Self && l.Units > 0 && l.BorrowerEpoch == c.config.Epoch {
				c.acceptLease(b, e, l)
			}
		}
	}
	for _, w := range e.Requests {
		if b := c.findBudget(w.Budget); b != nil && w.Units > 0 {
			c.answerRequest(b, e, w)
		}
	}
	return acts
}

// borrow takes in a loan to this member. It lasts from when the want was said, which was before anybody lent for it: so
// it ends here before it does there, whatever the clocks show.
func (c *Core) acceptLease(b *budget, e StatementReceived, l Lease) {
	at, ok := c.requestTime(l.Request)
	if seeded == leaseFromArrival {
		at, ok = c.now, true
	}
	known := slices.ContainsFunc(b.borrowed, func(o borrowedLease) bool {
		return o.lender == e.From && o.lenderEpoch == e.Epoch && o.request == l.Request
	})
	if till := at + c.config.LeaseDuration; ok && (!known || seeded == acceptsDuplicates) && till > c.now {
		b.borrowed = append(b.borrowed, borrowedLease{e.From, e.Epoch, l.Request, l.Units, till})
	}
}

// lend answers a want with what can be spared, once. Who answers is drawn by all alike, so that not all do.
func (c *Core) answerRequest(b *budget, e StatementReceived, w LeaseRequest) {
	if old, ok := b.answered[e.From]; ok && (e.Epoch < old.epoch || e.Epoch == old.epoch && w.Number <= old.number) {
		return
	}
	b.answered[e.From] = answeredRequest{e.Epoch, w.Number}
	most := float64(maxLendable(c.fixedQuota(b))) * float64(c.config.FleetSize)
	if rendezvous.Uniform(fmt.Sprint(e.From, w.Number), c.config.Self)*most > targetOfferRatio*float64(w.Units) {
		return
	}
	spare := min(maxLendable(c.fixedQuota(b))-b.lentUnits(), c.usableUnits(b)-b.demand, w.Units)
	if c.now-c.startedAt < c.reservationTime(c.config.LeaseDuration, b.HoldTime) && seeded != ignoresPreviousStart {
		spare = 0
	}
	lentInAll := 0
	for _, o := range c.budgets {
		lentInAll += len(o.granted)
	}
	if spare <= 0 || lentInAll >= maxStatementEntries {
		return
	}
	till := c.now + c.reservationTime(c.config.LeaseDuration, b.HoldTime)
	if seeded == reclaimsEarly {
		till = c.now + c.config.LeaseDuration/2
	}
	b.granted = append(b.granted, grantedLease{Lease{b.Name, e.From, e.Epoch, w.Number, spare}, till})
}

func (c *Core) findBudget(name string) *budget {
	if i := slices.IndexFunc(c.budgets, func(b *budget) bool { return b.Name == name }); i >= 0 {
		return c.budgets[i]
	}
	return nil
}

func (c *Core) currentStatement() Statement {
	s := Statement{FleetSize: c.config.FleetSize}
	for _, b := range c.budgets {
		if b.requestedUnits > 0 && len(s.Requests) < maxStatementEntries {
			s.Requests = append(s.Requests, LeaseRequest{b.Name, b.requestNumber, b.requestedUnits})
		}
		for _, l := range b.granted {
			s.Leases = append(s.Leases, l.Lease)
		}
	}
	return s
}

func equalStatements(a, b Statement) bool {
	return a.FleetSize == b.FleetSize && slices.Equal(a.Requests, b.Requests) && slices.Equal(a.Leases, b.Leases)
}
