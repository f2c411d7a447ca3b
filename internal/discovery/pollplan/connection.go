package pollplan

import "time"

// phase is what a connection is used for at the moment.
type phase int

const (
	dialing phase = iota
	polling       // a poll is in flight
	idle          // the next poll waits for its time
)

// connection is a connection to the service and its poll, one at a time. It belongs to a Planner. Methods that say so accept
// a nil connection, which stands for none.
type connection struct {
	number    int
	phase     phase
	at        time.Duration // when the poll was made; while idle, when the next is due
	timeoutAt time.Duration // until when the service may wait with the response
	overdueAt time.Duration // when the poll is overdue
}

// startPoll notes that a poll is made. It is overdue lateness after the end of its wait.
func (c *connection) startPoll(now, timeout, lateness time.Duration) {
	c.phase = polling
	c.at = now
	c.timeoutAt = now + timeout
	c.overdueAt = c.timeoutAt + lateness
}

// pollAt plans the next poll.
func (c *connection) pollAt(at time.Duration) {
	c.phase = idle
	c.at = at
}

// allowUntil has the poll in flight be overdue at a time at the earliest.
func (c *connection) allowUntil(at time.Duration) { c.overdueAt = max(c.overdueAt, at) }

// next returns when something is due on the connection; false if nothing is.
func (c *connection) next() (time.Duration, bool) {
	if c.phase == polling {
		return c.overdueAt, true
	}
	return c.at, c.phase == idle
}

// hasNumber reports whether the connection, which may be nil, has a number.
func (c *connection) hasNumber(number int) bool { return c != nil && c.number == number }

// isPolling reports whether a poll is in flight on the connection, which may be nil.
func (c *connection) isPolling() bool { return c != nil && c.phase == polling }

// isIdle reports whether the next poll waits for its time on the connection, which may be nil.
func (c *connection) isIdle() bool { return c != nil && c.phase == idle }

// hasWait reports whether the service may wait with the response to the poll.
func (c *connection) hasWait() bool { return c.at < c.timeoutAt }
