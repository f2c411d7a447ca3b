package pollplan

import "time"

// phase is the state of a connection.
type phase int

const (
	dialing phase = iota
	polling       // a poll is in flight
	idle          // waiting for the time of the next poll
)

// connection is a connection to the service with at most one poll in flight. It belongs to a Planner. The methods
// hasNumber, isPolling and isIdle accept a nil connection, which means no connection.
type connection struct {
	number    int
	phase     phase
	at        time.Duration // when the poll was sent; while idle, when the next poll is due
	timeoutAt time.Duration // when the service must answer the poll
	overdueAt time.Duration // when the poll becomes overdue
}

// startPoll records that a poll is sent. The poll is overdue when lateness has passed after its timeout.
func (c *connection) startPoll(now, timeout, lateness time.Duration) {
	c.phase = polling
	c.at = now
	c.timeoutAt = now + timeout
	c.overdueAt = c.timeoutAt + lateness
}

// pollAt schedules the next poll.
func (c *connection) pollAt(at time.Duration) {
	c.phase = idle
	c.at = at
}

// postponeOverdue postpones the time at which the poll in flight becomes overdue to at, if that is later.
func (c *connection) postponeOverdue(at time.Duration) { c.overdueAt = max(c.overdueAt, at) }

// next returns when the connection needs attention: its poll becomes overdue or its next poll is due. It returns false
// while dialing.
func (c *connection) next() (time.Duration, bool) {
	if c.phase == polling {
		return c.overdueAt, true
	}
	return c.at, c.phase == idle
}

// hasNumber reports whether the connection is not nil and has the given number.
func (c *connection) hasNumber(number int) bool { return c != nil && c.number == number }

// isPolling reports whether the connection is not nil and has a poll in flight.
func (c *connection) isPolling() bool { return c != nil && c.phase == polling }

// isIdle reports whether the connection is not nil and waits for the time of its next poll.
func (c *connection) isIdle() bool { return c != nil && c.phase == idle }

// isLongPoll reports whether the poll has a timeout above 0, so that the service may delay its response.
func (c *connection) isLongPoll() bool { return c.at < c.timeoutAt }
