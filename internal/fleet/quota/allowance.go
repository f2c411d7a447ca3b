// Package quota shares budgets among the schedulers of a fleet: how much each may use of something that all of them
// together must not use more of than a whole. Each owns a fixed part of it, by the size of the fleet in the settings. What
// one has to spare it lends to one that lacks it, for a time, after the demarcation protocol (Barbara and Garcia-Molina,
// 1992) and the leases of Gray and Cheriton (1989).
//
// Core decides all of it and does no I/O: Step is told what came and what time it is, and returns what is to be said and
// what may be used.
//
// What holds whatever is lost, doubled, late, out of order, stopped or started anew, as long as each clock runs between 1 -
// Drift and 1 + Drift of true time and all members that run are told sizes of the fleet no smaller than their number: the
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
	Name  string
	Whole int64         // units, of all members together
	Hold  time.Duration // for how long a unit may stay in use once taken
}

// Config is what a Core works with.
type Config struct {
	Self    string
	Epoch   int64 // of this start; later ones are greater
	Members int   // of the fleet, as told: while that changes, the largest that any of them may still be told
	Budgets []Budget
	Lease   time.Duration // for how long units are lent
	Drift   float64       // by which part of true time a clock may be fast or slow, below 1
}

var errConfig = errors.New("allowance: unusable settings")

const (
	saysMost  = 8                 // loans, and wants, that a statement holds
	mostWhole = math.MaxInt64 / 4 // sums of two stay in range
	// Of those that hear a want so many times what it takes answer it: some have nothing to spare.
	answers = 2.0
)

// Statement is what a member tells all others. A later one takes the place of an earlier one.
type Statement struct {
	Members int    `cbor:"1,keyasint"` // as it was told
	Wants   []Want `cbor:"2,keyasint,omitempty"`
	Loans   []Loan `cbor:"3,keyasint,omitempty"` // all that it counts as lent
}

// Want asks for units of a budget.
type Want struct {
	Budget string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"` // of the want; later ones are greater
	Units  int64  `cbor:"3,keyasint"`
}

// Loan lends units to a member, in answer to a want of it.
type Loan struct {
	Budget string `cbor:"1,keyasint"`
	To     string `cbor:"2,keyasint"`
	Epoch  int64  `cbor:"3,keyasint"` // the borrower's
	Want   uint32 `cbor:"4,keyasint"`
	Units  int64  `cbor:"5,keyasint"`
}

// Event is something that a Core is told. The concrete types are Needs, Heard, Resize and Gone.
type Event interface{ event() }

// Needs says how many units of a budget this member has a use for, those in use included.
type Needs struct {
	Budget string
	Units  int64
}

// Heard brings the statement of another member, which is known to be its own.
type Heard struct {
	From  string
	Epoch int64
	Statement
}

// Resize says that another size of the fleet is told.
type Resize struct{ Members int }

// Gone says that a member is forgotten. What it lent lasts.
type Gone struct{ Name string }

func (Gone) event()   {}
func (Needs) event()  {}
func (Heard) event()  {}
func (Resize) event() {}

// Action is something that a Core asks for. The concrete types are Say, Allow and Lied.
type Action interface{ action() }

// Say has a statement told to all others, in place of the one before.
type Say struct{ Statement }

// Allow says how many units may be in use from now on.
type Allow struct {
	Budget string
	Units  int64
}

// Lied says that a member lends what it does not own. Nothing is borrowed from it.
type Lied struct{ From string }

func (Say) action()   {}
func (Allow) action() {}
func (Lied) action()  {}

// Core is one member's books. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	now     time.Duration
	born    time.Duration // the first Step
	started bool
	number  uint32          // of the latest want
	asked   []time.Duration // when wants were said, the latest last
	from    uint32          // number of the first of those
	budgets []*budget
	said    Statement
	liars   map[string]bool
}

type budget struct {
	Budget
	need, allowed int64
	lent          []lent
	borrowed      []borrowed
	wants         int64 // units that the latest want asks for, 0 for none
	number        uint32
	next          time.Duration // when the next may be made
	served        map[string]servedWant
}

type lent struct {
	Loan
	till time.Duration // until when it counts as gone
}

type borrowed struct {
	from  string
	epoch int64
	want  uint32
	units int64
	till  time.Duration
}

type servedWant struct {
	epoch  int64
	number uint32
}

// New returns a Core that has heard nobody.
func New(c Config) (*Core, error) {
	if c.Self == "" || c.Members < 1 || c.Lease <= 0 || c.Drift < 0 || c.Drift >= 1 {
		return nil, fmt.Errorf("%w: %+v", errConfig, c)
	}
	k := &Core{cfg: c, liars: map[string]bool{}}
	for _, b := range c.Budgets {
		if b.Whole < 0 || b.Whole > mostWhole || b.Hold < 0 || slices.ContainsFunc(k.budgets, func(o *budget) bool { return o.Name == b.Name }) {
			return nil, fmt.Errorf("%w: budget %+v", errConfig, b)
		}
		k.budgets = append(k.budgets, &budget{Budget: b, served: map[string]servedWant{}})
	}
	return k, nil
}

// Step tells the Core what happened at one moment, in order, and returns what is to be done. Time must not be used
// between a stop of the process and the Step after it: what was allowed before may have lapsed.
func (c *Core) Step(now time.Duration, events []Event) (acts []Action) {
	if c.now = max(c.now, now); !c.started {
		c.started, c.born = true, c.now
	}
	for _, b := range c.budgets {
		c.lapse(b)
	}
	for _, e := range events {
		switch e := e.(type) {
		case Needs:
			if b := c.budget(e.Budget); b != nil {
				b.need = max(e.Units, 0)
			}
		case Heard:
			if e.From != c.cfg.Self {
				acts = append(acts, c.heard(e)...)
			}
		case Resize:
			c.cfg.Members = max(e.Members, 1)
		case Gone:
			delete(c.liars, e.Name)
			for _, b := range c.budgets {
				delete(b.served, e.Name)
			}
		}
	}
	for _, b := range c.budgets {
		c.ask(b)
		if n := c.usable(b); n != b.allowed {
			b.allowed = n
			acts = append(acts, Allow{b.Name, n})
		}
	}
	if s := c.statement(); !same(s, c.said) {
		c.said = s
		acts = append(acts, Say{s})
	}
	return acts
}

// Next is when Step must be called at the latest.
func (c *Core) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, b := range c.budgets {
		for _, l := range b.lent {
			next = min(next, l.till)
		}
		for _, l := range b.borrowed {
			next = min(next, l.till)
		}
		if b.need > b.allowed {
			next = min(next, b.next)
		}
		for _, at := range []time.Duration{c.born + c.gone(0, b.Hold), c.born + c.gone(c.cfg.Lease, b.Hold)} {
			if at > c.now {
				next = min(next, at)
			}
		}
	}
	return next
}

// Part is what a member owns of a budget.
func (c *Core) part(b *budget) int64 {
	if seeded == partOfThoseHeard {
		return b.Whole / int64(len(b.served)+1)
	}
	return b.Whole / int64(c.cfg.Members)
}

// lendable is what a member lends of a part at the most, and begins a new start without: half.
func lendable(part int64) int64 { return part / 2 }

// gone is for how long what another may use for a time, and hold, counts as gone by this member's clock: that may be the
// fastest while the other's is the slowest.
func (c *Core) gone(lease, hold time.Duration) time.Duration {
	d := c.cfg.Drift
	if seeded == noDrift {
		d = 0
	}
	return time.Duration(math.Ceil(float64(lease+hold) * (1 + d) / (1 - d)))
}

// own is what this member has of its part. A new start knows nothing of what the one before it had in use, which lasts
// for Hold, and lent, which lasts for a lease more.
func (c *Core) own(b *budget) int64 {
	switch age := c.now - c.born; {
	case seeded == forgetsOnRestart:
	case age < c.gone(0, b.Hold):
		return 0
	case age < c.gone(c.cfg.Lease, b.Hold):
		return c.part(b) - lendable(c.part(b))
	}
	return c.part(b)
}

func (c *Core) usable(b *budget) int64 {
	n := c.own(b) - b.out()
	for _, l := range b.borrowed {
		n += l.units
	}
	return max(n, 0)
}

// out is what is lent.
func (b *budget) out() (n int64) {
	if seeded == keepsWhatItLent {
		return 0
	}
	for _, l := range b.lent {
		n += l.Units
	}
	return n
}

// lapse ends loans whose time is past.
func (c *Core) lapse(b *budget) {
	b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return c.now >= l.till })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowed) bool { return c.now >= l.till })
}

// ask wants what is lacking, and what will be once half a lease is past.
func (c *Core) ask(b *budget) {
	lacks := b.need - c.own(b) + b.out()
	for _, l := range b.borrowed {
		if l.till-c.now > c.cfg.Lease/2 {
			lacks -= l.units
		}
	}
	if lacks <= 0 {
		b.wants = 0
		return
	}
	if c.now < b.next {
		return
	}
	c.number++
	b.wants, b.number, b.next = lacks, c.number, c.now+c.cfg.Lease/4
	if len(c.asked) == 0 {
		c.from = c.number
	}
	c.asked = append(c.asked, c.now)
	for len(c.asked) > 0 && c.now-c.asked[0] >= c.cfg.Lease {
		c.asked, c.from = c.asked[1:], c.from+1
	}
}

// askedAt is when a want was said, if what is lent for it may still be used.
func (c *Core) askedAt(number uint32) (time.Duration, bool) {
	if number < c.from || number-c.from >= uint32(len(c.asked)) {
		return 0, false
	}
	return c.asked[number-c.from], true
}

func (c *Core) heard(e Heard) (acts []Action) {
	for _, b := range c.budgets {
		var sum int64
		for _, l := range e.Loans {
			if l.Budget == b.Name {
				sum = min(sum, b.Whole+1) + min(max(l.Units, 0), b.Whole+1) // which a peer's figures can't make overflow
			}
		}
		// One that was told a smaller fleet owns more by what it knows: it lies not, and is not believed either.
		if theirs := b.Whole / int64(max(e.Members, 1)); sum > lendable(theirs) && !c.liars[e.From] {
			c.liars[e.From] = true
			acts = append(acts, Lied{e.From})
		}
		if c.liars[e.From] || sum > lendable(c.part(b)) {
			continue
		}
		for _, l := range e.Loans {
			if l.Budget == b.Name && l.To == c.cfg.Self && l.Units > 0 && l.Epoch == c.cfg.Epoch {
				c.borrow(b, e, l)
			}
		}
	}
	for _, w := range e.Wants {
		if b := c.budget(w.Budget); b != nil && w.Units > 0 {
			c.lend(b, e, w)
		}
	}
	return acts
}

// borrow takes in a loan to this member. It lasts from when the want was said, which was before anybody lent for it: so
// it ends here before it does there, whatever the clocks show.
func (c *Core) borrow(b *budget, e Heard, l Loan) {
	at, ok := c.askedAt(l.Want)
	if seeded == leaseFromArrival {
		at, ok = c.now, true
	}
	known := slices.ContainsFunc(b.borrowed, func(o borrowed) bool {
		return o.from == e.From && o.epoch == e.Epoch && o.want == l.Want
	})
	if till := at + c.cfg.Lease; ok && (!known || seeded == countsTwice) && till > c.now {
		b.borrowed = append(b.borrowed, borrowed{e.From, e.Epoch, l.Want, l.Units, till})
	}
}

// lend answers a want with what can be spared, once. Who answers is drawn by all alike, so that not all do.
func (c *Core) lend(b *budget, e Heard, w Want) {
	if old, ok := b.served[e.From]; ok && (e.Epoch < old.epoch || e.Epoch == old.epoch && w.Number <= old.number) {
		return
	}
	b.served[e.From] = servedWant{e.Epoch, w.Number}
	most := float64(lendable(c.part(b))) * float64(c.cfg.Members)
	if rendezvous.Uniform(fmt.Sprint(e.From, w.Number), c.cfg.Self)*most > answers*float64(w.Units) {
		return
	}
	spare := min(lendable(c.part(b))-b.out(), c.usable(b)-b.need, w.Units)
	if c.now-c.born < c.gone(c.cfg.Lease, b.Hold) && seeded != forgetsOnRestart {
		spare = 0
	}
	lentInAll := 0
	for _, o := range c.budgets {
		lentInAll += len(o.lent)
	}
	if spare <= 0 || lentInAll >= saysMost {
		return
	}
	till := c.now + c.gone(c.cfg.Lease, b.Hold)
	if seeded == endsEarly {
		till = c.now + c.cfg.Lease/2
	}
	b.lent = append(b.lent, lent{Loan{b.Name, e.From, e.Epoch, w.Number, spare}, till})
}

func (c *Core) budget(name string) *budget {
	if i := slices.IndexFunc(c.budgets, func(b *budget) bool { return b.Name == name }); i >= 0 {
		return c.budgets[i]
	}
	return nil
}

func (c *Core) statement() Statement {
	s := Statement{Members: c.cfg.Members}
	for _, b := range c.budgets {
		if b.wants > 0 && len(s.Wants) < saysMost {
			s.Wants = append(s.Wants, Want{b.Name, b.number, b.wants})
		}
		for _, l := range b.lent {
			s.Loans = append(s.Loans, l.Loan)
		}
	}
	return s
}

func same(a, b Statement) bool {
	return a.Members == b.Members && slices.Equal(a.Wants, b.Wants) && slices.Equal(a.Loans, b.Loans)
}
