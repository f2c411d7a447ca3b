// Package pollplan decides when a scheduler polls the list service, so that hundreds of schedulers which all lost it at the
// same moment do not all reconnect at the same moment. It has no clock and does no I/O: Step takes events and returns
// actions.
//
// A scheduler reconnects to the service in a slot of its own: time is divided into reconnect windows, and each window has
// the scheduler's slot at the offset that it drew at its start. So a fault that hits the whole fleet, however often, brings
// no more than one connection of each scheduler within a window, and does not synchronize schedulers that were not. Offsets
// by rank would be more even, but hundreds of schedulers that were all given the same rank would connect at the same moment;
// see docs/design/coldstart.md.
package pollplan

import (
	"time"

	"calicohill/internal/stats/ratelimit"
)

// The long poll.
const (
	// PollTimeout is how long the service waits for an update before it answers a poll, in the mean. It is short so that an
	// unresponsive service is noticed well before a change that it should have delivered counts as delivered.
	PollTimeout = 2 * time.Second
	// maxPollTimeout is how long the protocol lets a poll wait. Polls of a large fleet wait that long after a response that
	// was late or missing: the service may be overloaded, and polling it more often would only add to that.
	maxPollTimeout = 5 * time.Second
	// maxConfirmationAge is the age of the list's last confirmation by which a poll is to be answered. A change counts as
	// delivered 7 s after it was published, so that an older list has to be taken for outdated soon after.
	maxConfirmationAge = 6 * time.Second
	// minPollTimeout is the shortest wait of a poll that is made for that reason.
	minPollTimeout = 500 * time.Millisecond
	// overdueAfter is how long after the end of its wait a poll is overdue, and another is made beside it.
	overdueAfter = 500 * time.Millisecond
	// maxOverdueAfter is the same where the service may be overloaded. A change counts as delivered 2 s after the end of the
	// wait, whether it was polled or not, so that the longest poll may be late for longer.
	maxOverdueAfter = 1500 * time.Millisecond
	// abandonAfter is the age at which an overdue poll is closed to make way for the next. Until then it keeps its position
	// in the queue of a service that is overloaded.
	abandonAfter = 20 * time.Second
	// minPollInterval is the least time from a poll to the next if the response had no updates.
	minPollInterval = 500 * time.Millisecond
	// pollIntervalGraceFraction bounds that interval by a fraction of the drain grace.
	pollIntervalGraceFraction = 0.5
	// maxPollsPerSecond and maxPollBurst bound the polls of one scheduler, whatever the responses bring.
	maxPollsPerSecond = 20
	maxPollBurst      = 40
)

// Failures.
const (
	// maxRetryAfter bounds the Retry-After that is obeyed: a change counts as delivered 7 s later.
	maxRetryAfter = 4 * time.Second
	// staleAfterStall is how long the service's response is waited for after a stall before the list counts as stale.
	staleAfterStall = 250 * time.Millisecond
)

// Planner decides for one scheduler. At most two connections are open: the current one and one whose poll is overdue. How
// polls are spread over the fleet (fleetSpread) and the pause after failures (backoff) are components of its own. It is not
// safe for concurrent use.
type Planner struct {
	spread           fleetSpread
	pollInterval     time.Duration // least time from a poll whose response had no updates to the next
	slowPollTimeout  time.Duration // of polls while the service may be overloaded
	slowOverdueAfter time.Duration // in place of overdueAfter while the service may be overloaded

	current      *connection   // nil while the next dial is waited for
	dialAt       time.Duration // when to dial next; 0 if no dial is planned
	overdue      *connection   // the one whose poll got no response in time; nil if none
	lastConn     int           // number of the last connection dialed
	backoff      backoff
	synchronized bool          // the whole fleet may just have been answered
	serviceSlow  bool          // the last response came late, or there was none yet
	stale        bool          // after a stall, no response to a later poll has come yet
	hadUpdates   bool          // the last response had some
	confirmedAt  time.Duration // the list is known to have been complete then
	pollLimit    ratelimit.TokenBucket
	actions      []Action // returned by Step, and reused by the next
}

// New returns the Planner of one of a number of schedulers, which have to obey a drain within drainGrace after it was
// published. The seed must differ between the schedulers.
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

// Step applies events and returns the actions to carry out, in order; the slice is valid until the next Step. now must not
// decrease between calls, and counts from long ago, as Unix time does.
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

// Next returns by when Step has to be called if there is no event before; false if it need not be.
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
	if event.HasEndpoints { // without endpoints a scheduler can serve nothing, and polls before the others
		p.dialAt += p.spread.afterUpdate()
	}
	switch {
	case event.Restored: // nobody knows what has changed since it was saved
		p.actions = append(p.actions, Confirm{0})
	case event.HasEndpoints:
		p.confirm(now)
	}
	if event.Restored {
		p.stale = true
		p.actions = append(p.actions, MarkStale{p.spread.updateWindow + staleAfterStall})
	}
}

// timerExpired does what is due at the time that Next returned.
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

// pollOverdue replaces a poll that is overdue by a new one. The overdue poll stays open, since it keeps its position in the
// service's queue; if an earlier overdue poll is still open, that one is kept instead until it is abandoned.
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

// poll polls over the current connection, as soon as the bound on polls allows.
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
	if p.hadUpdates { // a response with updates confirms the list as of its poll, which may have waited for long
		timeout = min(timeout, max(minPollTimeout, p.confirmedAt+maxConfirmationAge-now))
	}
	if p.stale { // a response is needed at once, with updates or without
		timeout = 0
	}
	conn.startPoll(now, timeout, lateness)
	p.synchronized = false
	p.hadUpdates = false
	p.actions = append(p.actions, Poll{conn.number, timeout})
}

// answered plans the poll after a response.
func (p *Planner) answered(now time.Duration, event Answered) {
	p.confirmBy(now, event)
	if p.overdue.hasNumber(event.Conn) && !p.resume() {
		return
	}
	conn := p.current
	if !conn.hasNumber(event.Conn) || !conn.isPolling() {
		return
	}
	if p.stale {
		p.stale = conn.hasWait() // a poll with a wait was made before the stall
		if !p.stale {
			p.actions = append(p.actions, MarkStale{0})
		}
	}
	p.serviceSlow = p.overdue != nil || now > conn.overdueAt
	p.closeConnection(&p.overdue)
	p.backoff.reset()
	p.hadUpdates = event.HasUpdates
	next := p.nextPoll(now, event)
	if event.ConnectionClosing {
		p.closeConnection(&p.current)
		p.dialAt = next
		return
	}
	conn.pollAt(next)
}

// confirmBy confirms the list by a response. It was complete when the poll was made, since the service had the poll after
// that; a response without updates came after the whole wait, if that is over.
func (p *Planner) confirmBy(now time.Duration, event Answered) {
	conn := p.current
	if p.overdue.hasNumber(event.Conn) {
		conn = p.overdue
	}
	if event.Incomplete || !conn.hasNumber(event.Conn) || !conn.isPolling() {
		return
	}
	if !event.HasUpdates && now >= conn.timeoutAt {
		p.confirm(conn.timeoutAt)
		return
	}
	p.confirm(conn.at)
}

// confirm notes that the list was complete at a time.
func (p *Planner) confirm(asOf time.Duration) {
	if asOf > p.confirmedAt {
		p.confirmedAt = asOf
		p.actions = append(p.actions, Confirm{asOf})
	}
}

// resume makes the connection of the overdue poll, which was answered after all, the current one again. It returns false if
// the poll that was to replace it is already in flight: then it closes the connection of the overdue poll.
func (p *Planner) resume() bool {
	if p.current.isPolling() {
		p.closeConnection(&p.overdue)
		p.backoff.reset()
		p.synchronized = true
		return false
	}
	p.closeConnection(&p.current)
	p.current = p.overdue
	p.overdue = nil
	return true
}

// nextPoll is when to poll after a response on the current connection.
func (p *Planner) nextPoll(now time.Duration, event Answered) time.Duration {
	next := now
	if !event.HasUpdates && p.current.hasWait() {
		next = max(now, p.current.at+p.pollInterval)
	}
	p.synchronized = p.synchronized || event.HasUpdates || p.serviceSlow
	if p.synchronized && !p.stale {
		next += p.spread.afterUpdate()
	}
	return next
}

// stalled polls the service at once, unless a poll is still waiting there: what the service published meanwhile would have
// answered it.
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
	case conn != nil: // its response may have come and not be read yet
		conn.allowUntil(now + staleAfterStall)
	}
}

// failed plans the next connection after the current one failed.
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
	p.dialAt = p.spread.nextSlot(now + max(p.backoff.grow(), min(event.RetryAfter, maxRetryAfter)))
}

// closeConnection closes the connection that a field of the Planner holds, if any, and clears the field.
func (p *Planner) closeConnection(field **connection) {
	if *field != nil {
		p.actions = append(p.actions, Close{(*field).number})
		*field = nil
	}
}
