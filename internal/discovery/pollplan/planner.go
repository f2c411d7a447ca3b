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
	firstPollJitter = time.Second
	// longest is how long the protocol lets an ask wait. Asks of a large fleet do, whenever the last answer was late
	// or none: the service may be behind, and more asks help it as little as they help against silence.
	maxPollTimeout = 5 * time.Second
	// overdue is how long after the end of its wait an ask counts as late, and another is made beside it. What a
	// silent service has to tell counts as told 2 s after that end, so that the longest may be late for longer.
	overdueAfter, maxOverdueAfter = 500 * time.Millisecond, 1500 * time.Millisecond
	// forsaken is how long after its making a late ask gives way to the next. Until then it keeps its place, in the
	// queue of a service that is behind.
	abandonAfter = 20 * time.Second
	// window is how far apart the times at most are at which a scheduler of a fleet may come back: what the service
	// tells has to be known 2 s after a break. windowEach is what each scheduler adds.
	maxReconnectWindow, reconnectWindowPerPeer = 1900 * time.Millisecond, 20 * time.Millisecond
	// newsWindow and newsWindowEach are the same where nothing shows that the service is ill: at a start, and when
	// it has just answered all at once. What it tells next may be a drain, which counts as told whether anybody
	// asks or not, and has to be heeded within a grace that the settings give: no more than newsPart of that passes.
	maxUpdateWindow, updateWindowPerPeer = 700 * time.Millisecond, 3 * time.Millisecond
	updateWindowGraceFraction            = 0.7
	// againMin and againMax are the pauses before the next ask where asks fail and nobody else is there.
	minBackoff, maxBackoff = 10 * time.Millisecond, 640 * time.Millisecond
	// heeded is the longest that a service may send a scheduler away for: what it has to tell counts as told 7 s
	// later.
	maxRetryAfter = 4 * time.Second
	// hasty is how long after an ask the next may be made if the answer brought nothing, hastyPart how much of that
	// grace at the most.
	minPollInterval, pollIntervalGraceFraction = 500 * time.Millisecond, 0.5
	// blindFor is how long the word of the service is waited for after a stall.
	staleAfterStall = 250 * time.Millisecond
	// rate and burst bound the asks of a second, whatever the answers bring.
	maxPollsPerSecond, maxPollBurst = 20, 40
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
	polling
	idle
)

// ask is a connection and what it is used for.
type connection struct {
	number    int
	phase     phase
	at        time.Duration // when the ask was made; while resting, when the next is
	timeoutAt time.Duration // how long the service may wait with the answer
	overdueAt time.Duration // when it counts as late
}

// Planner decides for one scheduler.
type Planner struct {
	reconnectWindow, updateWindow     time.Duration
	pollInterval                      time.Duration
	slowPollTimeout, slowOverdueAfter time.Duration // of an ask, and after it, while the service may be behind
	rng                               *rand.Rand
	slot                              time.Duration // within the window
	overdue                           *connection   // one that got no answer in time; nil if none
	current                           *connection   // nil while the next one waits for its time
	dialAt                            time.Duration // that time; 0 if none
	backoff                           time.Duration // after the next failure; 0 if the last ask went well
	synchronized                      bool          // the whole fleet may just have been answered
	serviceSlow                       bool          // the last answer came late, or there was none yet
	stale                             bool          // the service's word on what came during a stall is waited for
	pollLimit                         ratelimit.TokenBucket
	lastConn                          int
	actions                           []Action
}

// New returns a Planner of one of so many schedulers, which have to heed a drain within a grace of when it is told. The
// seed is the scheduler's own.
func New(schedulers int, grace time.Duration, seed uint64) *Planner {
	others := time.Duration(max(schedulers, 1) - 1)
	part := func(p float64) time.Duration { return time.Duration(p * float64(grace)) }
	c := &Planner{
		reconnectWindow: min(maxReconnectWindow, others*reconnectWindowPerPeer), updateWindow: min(maxUpdateWindow, others*updateWindowPerPeer, part(updateWindowGraceFraction)),
		pollInterval: min(minPollInterval, part(pollIntervalGraceFraction)),
		serviceSlow:  true, rng: rand.New(rand.NewPCG(seed, 0x706f6c6c)),
	}
	c.slot = c.draw(c.reconnectWindow)
	c.slowPollTimeout = PollTimeout + (maxPollTimeout-PollTimeout)*c.reconnectWindow/maxReconnectWindow
	c.slowOverdueAfter = overdueAfter + (maxOverdueAfter-overdueAfter)*c.reconnectWindow/maxReconnectWindow
	return c
}

// Step takes in what happened and says what is to be done, in order. now never goes back; it is Unix time, or any
// other that began long ago.
func (c *Planner) Step(now time.Duration, events ...Event) []Action {
	c.actions = c.actions[:0]
	for _, e := range events {
		switch e := e.(type) {
		case Started:
			c.dialAt, c.synchronized = now, true
			if e.HasEndpoints { // one that has none is of no use to anybody, and asks first
				c.dialAt += c.draw(c.updateWindow)
			}
			if e.Restored {
				c.stale = true
				c.actions = append(c.actions, MarkStale{c.updateWindow + staleAfterStall})
			}
		case Connected:
			if c.current != nil && c.current.number == e.Conn {
				c.poll(now)
			}
		case Answered:
			c.answered(now, e)
		case Failed:
			c.failed(now, e)
		case AddressChanged:
			c.closeConnection(&c.overdue)
			c.closeConnection(&c.current)
			c.backoff, c.dialAt = 0, c.nextSlot(now)
		case Stalled:
			c.stalled(now)
		}
	}
	for at, ok := c.Next(); ok && at <= now; at, ok = c.Next() {
		c.timerExpired(now)
	}
	return c.actions
}

// Next is when Step is to be called at the latest though nothing happens; false if that need not be.
func (c *Planner) Next() (time.Duration, bool) {
	switch {
	case c.current == nil:
		return c.dialAt, c.dialAt > 0
	case c.current.phase == polling:
		return c.current.overdueAt, true
	default:
		return c.current.at, c.current.phase == idle
	}
}

// due does what its time has come for.
func (c *Planner) timerExpired(now time.Duration) {
	switch {
	case c.current == nil:
		c.lastConn++
		c.dialAt, c.current = 0, &connection{number: c.lastConn}
		c.actions = append(c.actions, Dial{c.lastConn})
	case c.current.phase == idle:
		c.poll(now)
	default:
		if c.overdue != nil && now-c.overdue.at >= abandonAfter {
			c.closeConnection(&c.overdue)
		}
		if c.overdue == nil {
			c.overdue, c.current = c.current, nil
		}
		c.closeConnection(&c.current)
		c.dialAt, c.serviceSlow = now, true
		c.actions = append(c.actions, PollOverdue{})
	}
}

// ask asks over the current connection, as soon as the bound on asks allows.
func (c *Planner) poll(now time.Duration) {
	a := c.current
	if !c.pollLimit.Take(now, 1, maxPollsPerSecond, maxPollBurst) {
		a.phase, a.at = idle, now+time.Second/maxPollsPerSecond
		return
	}
	patience, grace := PollTimeout, overdueAfter
	if c.serviceSlow {
		patience, grace = c.slowPollTimeout, c.slowOverdueAfter
	}
	if c.synchronized {
		off := min(firstPollJitter, c.reconnectWindow)
		patience = min(patience, maxPollTimeout-off) + c.draw(2*off) - off
	}
	if c.stale { // whether it has news or not
		patience = 0
	}
	a.phase, a.at, a.timeoutAt, a.overdueAt = polling, now, now+patience, now+patience+grace
	c.synchronized = false
	c.actions = append(c.actions, Poll{a.number, patience})
}

func (c *Planner) answered(now time.Duration, e Answered) {
	if c.overdue != nil && c.overdue.number == e.Conn {
		if c.current != nil && c.current.phase == polling { // that one waits already
			c.closeConnection(&c.overdue)
			c.backoff, c.synchronized = 0, true
			return
		}
		c.closeConnection(&c.current)
		c.current, c.overdue = c.overdue, nil
	}
	a := c.current
	if a == nil || a.number != e.Conn || a.phase != polling {
		return
	}
	if c.stale {
		c.stale = a.at < a.timeoutAt // a wait that began before the stall
		if !c.stale {
			c.actions = append(c.actions, MarkStale{0})
		}
	}
	c.serviceSlow = c.overdue != nil || now > a.overdueAt
	c.closeConnection(&c.overdue)
	c.backoff = 0
	next := now
	if !e.HasUpdates && a.at < a.timeoutAt {
		next = max(now, a.at+c.pollInterval)
	}
	if c.synchronized = c.synchronized || e.HasUpdates || c.serviceSlow; c.synchronized && !c.stale {
		next += c.draw(c.updateWindow)
	}
	if e.ConnectionClosing {
		c.closeConnection(&c.current)
		c.dialAt = next
		return
	}
	a.phase, a.at = idle, next
}

// stalled has the service asked at once, unless it waits with an answer: what it told would be there to be read.
func (c *Planner) stalled(now time.Duration) {
	a := c.current
	if a != nil && a.phase == polling && now < a.timeoutAt {
		return
	}
	c.stale = true
	c.actions = append(c.actions, MarkStale{staleAfterStall})
	switch {
	case a == nil && c.backoff == 0:
		c.dialAt = now
	case a != nil && a.phase == idle:
		a.at = now
	case a != nil: // its answer may not be read yet
		a.overdueAt = max(a.overdueAt, now+staleAfterStall)
	}
}

func (c *Planner) failed(now time.Duration, e Failed) {
	if c.overdue != nil && c.overdue.number == e.Conn {
		c.closeConnection(&c.overdue)
		return
	}
	if c.current == nil || c.current.number != e.Conn {
		return
	}
	c.closeConnection(&c.current)
	c.backoff, c.serviceSlow = min(max(2*c.backoff, minBackoff), maxBackoff), true
	c.dialAt = c.nextSlot(now + max(c.backoff, min(e.RetryAfter, maxRetryAfter)))
}

// turn is the scheduler's next own time, from a time on.
func (c *Planner) nextSlot(from time.Duration) time.Duration {
	if c.reconnectWindow == 0 {
		return from
	}
	return from + (c.slot-from%c.reconnectWindow+c.reconnectWindow)%c.reconnectWindow
}

// shut ends a connection, if there is one.
func (c *Planner) closeConnection(a **connection) {
	if *a != nil {
		c.actions = append(c.actions, Close{(*a).number})
		*a = nil
	}
}

// within draws a time from 0 to d.
func (c *Planner) draw(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}
