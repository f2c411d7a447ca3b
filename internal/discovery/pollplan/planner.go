// Package pollplan decides when a scheduler polls the list service. It prevents hundreds of schedulers that lose the
// service at the same time from reconnecting at the same time. It has no clock and performs no I/O: Step takes events
// and returns actions.
//
// Each scheduler reconnects in its own time slot. Time is divided into reconnect windows, and a scheduler draws the
// offset of its slot within each window once, at startup. Faults that hit the whole fleet, however often, therefore
// cause at most one connection per scheduler and window, and do not synchronize the schedulers. Offsets derived from
// the rank would be distributed more evenly, but hundreds of schedulers misconfigured with the same rank would connect
// at the same time; see docs/design/coldstart.md.
package pollplan

import (
	"time"

	"calicohill/internal/stats/ratelimit"
)

// The long poll.
const (
	// PollTimeout is the mean time that the service waits for an update before it answers a poll. It is short so that
	// an unresponsive service is detected well before an undelivered change counts as delivered.
	PollTimeout = 2 * time.Second
	// maxPollTimeout is the longest timeout that the protocol allows. A large fleet uses it after a late or missing
	// response, because the service may be overloaded and frequent polls would add to its load.
	maxPollTimeout = 5 * time.Second
	// maxConfirmationAge is the age of the list's last confirmation at which a poll must be answered. A change counts
	// as delivered 7 s after it was published, so a list that is not confirmed by then may be outdated.
	maxConfirmationAge = 6 * time.Second
	// minPollTimeout is the shortest timeout of a poll that is shortened because of maxConfirmationAge.
	minPollTimeout = 500 * time.Millisecond
	// overdueAfter is the time from a poll's timeout until the poll is overdue and another one is sent in parallel.
	overdueAfter = 500 * time.Millisecond
	// maxOverdueAfter is the longest overdueAfter, used while the service may be overloaded. A change counts as
	// delivered 2 s after the longest poll timeout, whether it is polled or not, which limits how late a response may
	// be.
	maxOverdueAfter = 1500 * time.Millisecond
	// abandonAfter is the age at which an overdue poll is closed and replaced by the next overdue poll. Until then it
	// keeps its position in the queue of an overloaded service.
	abandonAfter = 20 * time.Second
	// minPollInterval is the minimum time from a poll to the next after a response without updates.
	minPollInterval = 500 * time.Millisecond
	// pollIntervalGraceFraction limits that interval to a fraction of the drain grace.
	pollIntervalGraceFraction = 0.5
	// maxPollsPerSecond and maxPollBurst limit the poll rate of one scheduler, whatever the responses contain.
	maxPollsPerSecond = 20
	maxPollBurst      = 40
)

// Failures.
const (
	// maxRetryAfter limits the Retry-After that is respected, because a change counts as delivered 7 s after it was
	// published.
	maxRetryAfter = 4 * time.Second
	// staleAfterStall limits how long the list is marked stale after a stall if the service does not answer.
	staleAfterStall = 250 * time.Millisecond
)

// Planner plans the polls of one scheduler. It keeps at most two connections open: the current one and one with an
// overdue poll. Its components spread polls over the fleet (fleetSpread) and delay polls after failures (backoff). It
// is not safe for concurrent use.
type Planner struct {
	spread           fleetSpread
	pollInterval     time.Duration // minimum time to the next poll after a response without updates
	slowPollTimeout  time.Duration // replaces PollTimeout while the service may be overloaded
	slowOverdueAfter time.Duration // replaces overdueAfter while the service may be overloaded

	current      *connection   // nil until the next dial
	dialAt       time.Duration // when to dial next; 0 if no dial is planned
	overdue      *connection   // connection with an overdue poll; nil if none
	lastConn     int           // number of the last connection dialed
	backoff      backoff
	synchronized bool          // the service may just have answered the whole fleet
	serviceSlow  bool          // the last response was late, or there was none yet
	stale        bool          // no poll made after the last stall has been answered yet
	hadUpdates   bool          // the last response contained updates
	confirmedAt  time.Duration // latest time at which the list was known to be complete
	pollLimit    ratelimit.TokenBucket
	actions      []Action // returned by Step, and reused by the next
}

// New returns the Planner of one scheduler in a fleet. Each scheduler must stop sending requests to a draining worker
// within drainGrace after the drain was published. The seed must be different for each scheduler.
func New(schedulers int, drainGrace time.Duration, seed uint64) *Planner {
	spread := newFleetSpread(schedulers, drainGrace, seed)
	return &Planner{
		spread:           spread,
		pollInterval:     min(minPollInterval, scaled(drainGrace, pollIntervalGraceFraction)),
		slowPollTimeout:  spread.interpolate(PollTimeout, maxPollTimeout),
		slowOverdueAfter: spread.interpolate(overdueAfter, maxOverdueAfter),
		serviceSlow:      true,
	}
}

// Step applies events and returns the actions to perform, in order. The slice is valid until the next Step. now must
// not decrease between calls and must be a time since a distant origin, such as Unix time.
func (p *Planner) Step(now time.Duration, events ...Event) []Action {
	p.actions = p.actions[:0]
	for _, event := range events {
		p.handle(now, event)
	}
	for at, ok := p.Next(); ok && at <= now; at, ok = p.Next() {
		p.timerExpired(now)
	}
	return p.actions
}

// handle applies one event.
func (p *Planner) handle(now time.Duration, event Event) {
	switch event := event.(type) {
	case Started:
		p.started(now, event)
	case Connected:
		if p.current.hasNumber(event.Conn) {
			p.poll(now)
		}
	case Answered:
		p.answered(now, event)
	case Failed:
		p.failed(now, event)
	case AddressChanged:
		p.closeConnection(&p.overdue)
		p.closeConnection(&p.current)
		p.backoff.reset()
		p.dialAt = p.spread.nextSlot(now)
	case Stalled:
		p.stalled(now)
	}
}

// Next returns the time at which Step must be called if no event occurs before. It returns false if there is no such
// time.
func (p *Planner) Next() (time.Duration, bool) {
	if p.current == nil {
		return p.dialAt, p.dialAt > 0
	}
	return p.current.next()
}

// started plans the first poll.
func (p *Planner) started(now time.Duration, event Started) {
	p.dialAt = now
	p.synchronized = true
	if event.HasEndpoints { // a scheduler without endpoints cannot serve requests, so it polls without delay
		p.dialAt += p.spread.afterUpdate()
	}
	switch {
	case event.Restored: // changes since the snapshot are unknown
		p.actions = append(p.actions, Confirm{0})
	case event.HasEndpoints:
		p.confirm(now)
	}
	if event.Restored {
		p.stale = true
		p.actions = append(p.actions, MarkStale{p.spread.updateWindow + staleAfterStall})
	}
}

// timerExpired performs the work that is due at the time returned by Next.
func (p *Planner) timerExpired(now time.Duration) {
	switch {
	case p.current == nil:
		p.lastConn++
		p.dialAt = 0
		p.current = &connection{number: p.lastConn}
		p.actions = append(p.actions, Dial{p.lastConn})
	case p.current.isIdle():
		p.poll(now)
	default:
		p.pollOverdue(now)
	}
}

// pollOverdue plans a new poll to replace an overdue one. The overdue poll stays open to keep its position in the
// service's queue. If an earlier overdue poll is still open and not yet abandoned, that one is kept and the current one
// is closed.
func (p *Planner) pollOverdue(now time.Duration) {
	if p.overdue != nil && now-p.overdue.at >= abandonAfter {
		p.closeConnection(&p.overdue)
	}
	if p.overdue == nil {
		p.overdue = p.current
		p.current = nil
	}
	p.closeConnection(&p.current)
	p.dialAt = now
	p.serviceSlow = true
	p.actions = append(p.actions, PollOverdue{})
}

// poll polls on the current connection, as soon as the rate limit allows.
func (p *Planner) poll(now time.Duration) {
	conn := p.current
	if !p.pollLimit.Take(now, 1, maxPollsPerSecond, maxPollBurst) {
		conn.pollAt(now + time.Second/maxPollsPerSecond)
		return
	}
	timeout := PollTimeout
	lateness := overdueAfter
	if p.serviceSlow {
		timeout = p.slowPollTimeout
		lateness = p.slowOverdueAfter
	}
	if p.synchronized {
		timeout = p.spread.jittered(timeout)
	}
	if p.hadUpdates { // the response confirmed the list only as of the start of its poll, perhaps long ago
		timeout = min(timeout, max(minPollTimeout, p.confirmedAt+maxConfirmationAge-now))
	}
	if p.stale { // the service must answer at once, even without updates
		timeout = 0
	}
	conn.startPoll(now, timeout, lateness)
	p.synchronized = false
	p.hadUpdates = false
	p.actions = append(p.actions, Poll{conn.number, timeout})
}

// stalled plans an immediate poll, unless a poll is still waiting at the service. A change published during the stall
// would have answered that poll.
func (p *Planner) stalled(now time.Duration) {
	conn := p.current
	if conn.isPolling() && now < conn.timeoutAt {
		return
	}
	p.stale = true
	p.actions = append(p.actions, MarkStale{staleAfterStall})
	switch {
	case conn == nil && p.backoff.isZero():
		p.dialAt = now
	case conn.isIdle():
		conn.pollAt(now)
	case conn != nil: // a response may have been received but not read yet
		conn.postponeOverdue(now + staleAfterStall)
	}
}

// failed plans the next dial after the current connection failed.
func (p *Planner) failed(now time.Duration, event Failed) {
	if p.overdue.hasNumber(event.Conn) {
		p.closeConnection(&p.overdue)
		return
	}
	if !p.current.hasNumber(event.Conn) {
		return
	}
	p.closeConnection(&p.current)
	p.serviceSlow = true
	p.dialAt = p.spread.nextSlot(now + max(p.backoff.increase(), min(event.RetryAfter, maxRetryAfter)))
}

// closeConnection closes the connection in a field of the Planner, if any, and clears the field.
func (p *Planner) closeConnection(field **connection) {
	if *field != nil {
		p.actions = append(p.actions, Close{(*field).number})
		*field = nil
	}
}
