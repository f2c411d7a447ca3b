package nodeagent

import (
	"time"

	"calicohill/routing"
)

const (
	// maxOutboundBytes is how much may wait unsent on a connection until the agent counts as not reading.
	maxOutboundBytes = 256 << 10
	// maxUnansweredCancels is how many calls in a row may be canceled on a connection on which nothing was received
	// meanwhile: the calls of impatient clients end before unresponsiveTimeout.
	maxUnansweredCancels = 3
	// minUnansweredCancelAge is how long a canceled call must have been in flight to count as unanswered. Clients that
	// cancel hundreds at once are no evidence of a fault of the worker.
	minUnansweredCancelAge = 200 * time.Millisecond
)

// usable reports whether new calls may be written to a connection.
func (c *conn) usable(now time.Duration) bool {
	if c.draining || c.partialAnswer || c.calls.unresponsive(c.lastReadAt, now) {
		return false
	}
	if c.calls.isFull() {
		return false
	}
	// What waits in the outbound buffer can't be taken back: by the time that it is sent its client may have left, or
	// its worker begun to drain.
	if c.socket.OutboundBuffered() > 0 {
		return false
	}
	return c.calls.len() > 0 || c.pool.idle.allowsUse(c.idleFor(now))
}

// write writes a call. From here on it may have run, unless the operating system accepted nothing of it.
func (c *conn) write(outgoing *call) {
	pool := c.pool
	now := pool.loop.Now()
	outgoing.beginWrite(c, now)
	if c.calls.len() == 0 {
		c.idleBeforeUse = c.idleFor(now)
		c.idleReuseUnresolved = true
	}
	c.lastWriteAt = now
	// The call joins those in flight only after the write: Closed, called from within it, must not end it. Nothing
	// waits in the outbound buffer before this, so an error with no byte written means that nothing was sent.
	written, err := c.socket.Write(pool.commands.start(outgoing))
	if err == nil {
		c.calls.add(outgoing)
		return
	}
	if written != 0 {
		pool.calls.finish(outgoing, withoutAnswer(routing.ConnectionReset))
		return
	}
	// The agent may be healthy, since connections are reset at any time. Another connection shows it.
	if outgoing.writeFailed() {
		pool.assign(outgoing)
		return
	}
	pool.calls.finish(outgoing, withoutAnswer(routing.ConnectFailed))
}

// writeControl writes a command that has no answer. It closes a connection whose agent does not read.
func (c *conn) writeControl(command []byte) {
	// An error closes the connection and is reported by Closed.
	_, err := c.socket.Write(command)
	if err == nil && c.socket != nil && c.socket.OutboundBuffered() > maxOutboundBytes {
		c.pool.log.WithField("worker", c.target.id).Warn("agent connection closed: agent does not read")
		c.close()
	}
}

// countUnansweredCancel drains the connection if too many calls, or one that was in flight for long, are canceled
// with nothing received since they were written.
func (c *conn) countUnansweredCancel(canceled *call) {
	age := c.pool.loop.Now() - canceled.writtenAt
	if c.lastReadAt >= canceled.writtenAt || age < minUnansweredCancelAge {
		return
	}
	c.unansweredCancels++
	if c.unansweredCancels >= maxUnansweredCancels || age > unresponsiveTimeout {
		c.drain(drainUnresponsive)
	}
}
