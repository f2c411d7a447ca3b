// Package pollplan decides when a scheduler asks the list service, so that hundreds of schedulers which all lost it at
// the same moment do not all come back at the same moment. No clock, no I/O: Step takes events and gives actions.
//
// A scheduler comes back to the service at times of its own: each window of the clock has one, at a place that it
// draws at its start. So no trouble, however often it strikes the whole fleet, has more than the fleet's size come in a
// window, or brings those into step that were not. A place by rank would be more even, and hundreds that were all told
// the same rank would come as one; see docs/design/coldstart.md.
package pollplan

import (
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/ratelimit"
)

const (
	// PollTimeout is how long an ask has the service wait for news, in the mean. Short, so that one which has fallen
	// silent is noticed well before what it has to tell counts as told.
	PollTimeout = 2 * time.Second
	// patienceOff is how far the first ask after an event may be off that: an event answers the polls of the whole
	// fleet at once, and asks that all last as long would stay in step for good.
	patienceOff = time.Second
	// longest is how long the protocol lets an ask wait. Asks of a large fleet do, whenever the last answer was late
	// or none: the service may be behind, and more asks help it as little as they help against silence.
	longest = 5 * time.Second
	// overdue is how long after the end of its wait an ask counts as late, and another is made beside it. What a
	// silent service has to tell counts as told 2 s after that end, so that the longest may be late for longer.
	overdue, longOverdue = 500 * time.Millisecond, 1500 * time.Millisecond
	// forsaken is how long after its making a late ask gives way to the next. Until then it keeps its place, in the
	// queue of a service that is behind.
	forsaken = 20 * time.Second
	// window is how far apart the times at most are at which a scheduler of a fleet may come back: what the service
	// tells has to be known 2 s after a break. windowEach is what each scheduler adds.
	window, windowEach = 1900 * time.Millisecond, 20 * time.Millisecond
	// newsWindow and newsWindowEach are the same where nothing shows that the service is ill: at a start, and when
	// it has just answered all at once. What it tells next may be a drain, which counts as told whether anybody
	// asks or not, and has to be heeded within a grace that the settings give: no more than newsPart of that passes.
	newsWindow, newsWindowEach = 700 * time.Millisecond, 3 * time.Millisecond
	newsPart                   = 0.7
	// againMin and againMax are the pauses before the next ask where asks fail and nobody else is there.
	againMin, againMax = 10 * time.Millisecond, 640 * time.Millisecond
	// heeded is the longest that a service may send a scheduler away for: what it has to tell counts as told 7 s
	// later.
	heeded = 4 * time.Second
	// hasty is how long after an ask the next may be made if the answer brought nothing, hastyPart how much of that
	// grace at the most.
	hasty, hastyPart = 500 * time.Millisecond, 0.5
	// blindFor is how long the word of the service is waited for after a stall.
	blindFor = 250 * time.Millisecond
	// rate and burst bound the asks of a second, whatever the answers bring.
	rate, burst = 20, 40
)

// Event is what happened: a Started, Connected, Answered, Failed, AddressChanged or Stalled.
type Event any

// Started is the start. Listed reports that a list of workers is known already, Restored that it is from an earlier life.
type Started struct{ HasEndpoints, Restored bool }

// Connected is a connection that came up.
type Connected struct{ Conn int }

// Answered is a whole answer. News reports that it brought events not known before, ConnectionClosing that the connection ends
// with it.
type Answered struct {
	Conn                          int
	HasUpdates, ConnectionClosing bool
}

// Failed is a connection that did not come up or is lost, or an answer that is none. After is how long the service
// asked to be left alone; 0 if it did not.
type Failed struct {
	Conn       int
	RetryAfter time.Duration
}

// AddressChanged says that the service is at another address.
type AddressChanged struct{}

// Stalled says that the process did nothing for a while: it was stopped, or had no processor.
type Stalled struct{}

// Action is what is to be done: a Dial, Poll, Close, PollOverdue or MarkStale.
type Action any

// Dial opens a connection, which gets that number. Up or Failed follows.
type Dial struct{ Conn int }

// Poll has the service asked over a connection, to wait that long for news. Answered or Failed follows, or neither.
type Poll struct {
	Conn    int
	Timeout time.Duration
}

// Close ends a connection. Nothing of it is reported any more.
type Close struct{ Conn int }

// PollOverdue says that an ask is late and another is made beside it.
type PollOverdue struct{}

// MarkStale says that the list may be old for so long from now, unless another MarkStale says 0 before: nobody listened to the
// service, and what it told meanwhile counts as told.
type MarkStale struct{ Duration time.Duration }

type phase int

const (
	dialing phase = iota
	asked
	resting
)

// ask is a connection and what it is used for.
type ask struct {
	conn    int
	phase   phase
	at      time.Duration // when the ask was made; while resting, when the next is
	till    time.Duration // how long the service may wait with the answer
	overdue time.Duration // when it counts as late
}

// Core decides for one scheduler.
type Core struct {
	window, newsWindow time.Duration
	hasty              time.Duration
	patience, grace    time.Duration // of an ask, and after it, while the service may be behind
	rng                *rand.Rand
	place              time.Duration // within the window
	late               *ask          // one that got no answer in time; nil if none
	current            *ask          // nil while the next one waits for its time
	again              time.Duration // that time; 0 if none
	pause              time.Duration // after the next failure; 0 if the last ask went well
	inStep             bool          // the whole fleet may just have been answered
	slow               bool          // the last answer came late, or there was none yet
	blind              bool          // the service's word on what came during a stall is waited for
	asks               ratelimit.TokenBucket
	conns              int
	out                []Action
}

// New returns a Core of one of so many schedulers, which have to heed a drain within a grace of when it is told. The
// seed is the scheduler's own.
func New(schedulers int, grace time.Duration, seed uint64) *Core {
	others := time.Duration(max(schedulers, 1) - 1)
	part := func(p float64) time.Duration { return time.Duration(p * float64(grace)) }
	c := &Core{
		window: min(window, others*windowEach), newsWindow: min(newsWindow, others*newsWindowEach, part(newsPart)),
		hasty: min(hasty, part(hastyPart)),
		slow:  true, rng: rand.New(rand.NewPCG(seed, 0x706f6c6c)),
	}
	c.place = c.within(c.window)
	c.patience = PollTimeout + (longest-PollTimeout)*c.window/window
	c.grace = overdue + (longOverdue-overdue)*c.window/window
	return c
}

// Step takes in what happened and says what is to be done, in order. now never goes back; it is Unix time, or any
// other that began long ago.
func (c *Core) Step(now time.Duration, events ...Event) []Action {
	c.out = c.out[:0]
	for _, e := range events {
		switch e := e.(type) {
		case Started:
			c.again, c.inStep = now, true
			if e.HasEndpoints { // one that has none is of no use to anybody, and asks first
				c.again += c.within(c.newsWindow)
			}
			if e.Restored {
				c.blind = true
				c.out = append(c.out, MarkStale{c.newsWindow + blindFor})
			}
		case Connected:
			if c.current != nil && c.current.conn == e.Conn {
				c.ask(now)
			}
		case Answered:
			c.answered(now, e)
		case Failed:
			c.failed(now, e)
		case AddressChanged:
			c.shut(&c.late)
			c.shut(&c.current)
			c.pause, c.again = 0, c.turn(now)
		case Stalled:
			c.stalled(now)
		}
	}
	for at, ok := c.Next(); ok && at <= now; at, ok = c.Next() {
		c.due(now)
	}
	return c.out
}

// Next is when Step is to be called at the latest though nothing happens; false if that need not be.
func (c *Core) Next() (time.Duration, bool) {
	switch {
	case c.current == nil:
		return c.again, c.again > 0
	case c.current.phase == asked:
		return c.current.overdue, true
	default:
		return c.current.at, c.current.phase == resting
	}
}

// due does what its time has come for.
func (c *Core) due(now time.Duration) {
	switch {
	case c.current == nil:
		c.conns++
		c.again, c.current = 0, &ask{conn: c.conns}
		c.out = append(c.out, Dial{c.conns})
	case c.current.phase == resting:
		c.ask(now)
	default:
		if c.late != nil && now-c.late.at >= forsaken {
			c.shut(&c.late)
		}
		if c.late == nil {
			c.late, c.current = c.current, nil
		}
		c.shut(&c.current)
		c.again, c.slow = now, true
		c.out = append(c.out, PollOverdue{})
	}
}

// ask asks over the current connection, as soon as the bound on asks allows.
func (c *Core) ask(now time.Duration) {
	a := c.current
	if !c.asks.Take(now, 1, rate, burst) {
		a.phase, a.at = resting, now+time.Second/rate
		return
	}
	patience, grace := PollTimeout, overdue
	if c.slow {
		patience, grace = c.patience, c.grace
	}
	if c.inStep {
		off := min(patienceOff, c.window)
		patience = min(patience, longest-off) + c.within(2*off) - off
	}
	if c.blind { // whether it has news or not
		patience = 0
	}
	a.phase, a.at, a.till, a.overdue = asked, now, now+patience, now+patience+grace
	c.inStep = false
	c.out = append(c.out, Poll{a.conn, patience})
}

func (c *Core) answered(now time.Duration, e Answered) {
	if c.late != nil && c.late.conn == e.Conn {
		if c.current != nil && c.current.phase == asked { // that one waits already
			c.shut(&c.late)
			c.pause, c.inStep = 0, true
			return
		}
		c.shut(&c.current)
		c.current, c.late = c.late, nil
	}
	a := c.current
	if a == nil || a.conn != e.Conn || a.phase != asked {
		return
	}
	if c.blind {
		c.blind = a.at < a.till // a wait that began before the stall
		if !c.blind {
			c.out = append(c.out, MarkStale{0})
		}
	}
	c.slow = c.late != nil || now > a.overdue
	c.shut(&c.late)
	c.pause = 0
	next := now
	if !e.HasUpdates && a.at < a.till {
		next = max(now, a.at+c.hasty)
	}
	if c.inStep = c.inStep || e.HasUpdates || c.slow; c.inStep && !c.blind {
		next += c.within(c.newsWindow)
	}
	if e.ConnectionClosing {
		c.shut(&c.current)
		c.again = next
		return
	}
	a.phase, a.at = resting, next
}

// stalled has the service asked at once, unless it waits with an answer: what it told would be there to be read.
func (c *Core) stalled(now time.Duration) {
	a := c.current
	if a != nil && a.phase == asked && now < a.till {
		return
	}
	c.blind = true
	c.out = append(c.out, MarkStale{blindFor})
	switch {
	case a == nil && c.pause == 0:
		c.again = now
	case a != nil && a.phase == resting:
		a.at = now
	case a != nil: // its answer may not be read yet
		a.overdue = max(a.overdue, now+blindFor)
	}
}

func (c *Core) failed(now time.Duration, e Failed) {
	if c.late != nil && c.late.conn == e.Conn {
		c.shut(&c.late)
		return
	}
	if c.current == nil || c.current.conn != e.Conn {
		return
	}
	c.shut(&c.current)
	c.pause, c.slow = min(max(2*c.pause, againMin), againMax), true
	c.again = c.turn(now + max(c.pause, min(e.RetryAfter, heeded)))
}

// turn is the scheduler's next own time, from a time on.
func (c *Core) turn(from time.Duration) time.Duration {
	if c.window == 0 {
		return from
	}
	return from + (c.place-from%c.window+c.window)%c.window
}

// shut ends a connection, if there is one.
func (c *Core) shut(a **ask) {
	if *a != nil {
		c.out = append(c.out, Close{(*a).conn})
		*a = nil
	}
}

// within draws a time from 0 to d.
func (c *Core) within(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}
