package nodeagent

import (
	"time"

	"calicohill/internal/runtime/outbound"
	"calicohill/routing"
)

const (
	// maxOutboundBytes is the maximum number of unsent bytes on a connection. An agent above it counts as not reading.
	maxOutboundBytes = 256 << 10
	// maxUnansweredCancels is the number of consecutive canceled calls, with nothing received in between, at which a
	// connection is drained. It covers calls with short budgets, which end before unresponsiveTimeout.
	maxUnansweredCancels = 3
	// minUnansweredCancelAge is the minimum time in flight of a canceled call that counts as unanswered. Clients may
	// cancel hundreds of calls at once, which is no evidence of a worker fault.
	minUnansweredCancelAge = 200 * time.Millisecond
)

// usable reports whether new calls may be written to the connection.
func (c *conn) usable(now time.Duration) bool {
	if c.draining || c.partialResponse || c.calls.unresponsive(c.lastReadAt, now) {
		return false
	}
	if c.calls.isFull() {
		return false
	}
	// Buffered bytes cannot be withdrawn. By the time they are sent, the client may have disconnected or the worker may
	// have started draining.
	if c.socket.OutboundBuffered() > 0 {
		return false
	}
	return c.calls.len() > 0 || c.pool.idle.allowsUse(c.idleFor(now))
}

// write writes a call. Unless the write fails with no byte written, the call may run.
func (c *conn) write(outgoing *call) {
	pool := c.pool
	now := pool.loop.Now()
	outgoing.beginWrite(c, now)
	if c.calls.len() == 0 {
		c.idleBeforeUse = c.idleFor(now)
		c.idleReuseUnresolved = true
	}
	c.lastWriteAt = now
	// The call is added to the pipeline only after the write, because Closed, which a failed write calls, must not end
	// it. The outbound buffer is empty before the write, so an error with no byte written means that nothing was sent.
	written, err := outbound.Write(c.socket, pool.commands.start(outgoing))
	if err == nil {
		c.calls.add(outgoing)
		c.limitUnsent()
		return
	}
	if written != 0 {
		pool.calls.finish(outgoing, resultWithoutResponse(routing.ConnectionReset))
		return
	}
	// A connection can be reset although the agent is healthy, so try another connection.
	if outgoing.writeFailed() {
		pool.assign(outgoing)
		return
	}
	pool.calls.finish(outgoing, resultWithoutResponse(routing.ConnectFailed))
}

// writeControl writes a command that has no response. It closes the connection if the agent does not read.
func (c *conn) writeControl(command []byte) {
	// After an error, gnet closes the connection and calls Closed.
	_, err := outbound.Write(c.socket, command)
	if err != nil || c.socket == nil {
		return
	}
	if c.UnsentBytes() > maxOutboundBytes {
		c.closeUnread()
		return
	}
	c.limitUnsent()
}

// UnsentBytes implements outbound.Conn.
func (c *conn) UnsentBytes() int { return c.socket.OutboundBuffered() }

// limitUnsent closes connections, the one with the most unsent bytes first, if the connection has unsent bytes and the
// memory for those of all connections is above its limit.
func (c *conn) limitUnsent() {
	pool := c.pool
	if pool.options.UnsentMemory == 0 || c.UnsentBytes() == 0 {
		return
	}
	pool.unsent.Add(c)
	for pool.unsent.Memory() > pool.options.UnsentMemory {
		largest, ok := pool.unsent.Largest()
		if !ok {
			return
		}
		largest.closeUnread()
	}
}

// closeUnread closes the connection because the agent does not read.
func (c *conn) closeUnread() {
	c.pool.log.WithField("worker", c.target.id).Warn("agent connection closed: agent does not read")
	c.close()
}

// countUnansweredCancel counts a canceled call if nothing was received since the call was written. It drains the
// connection after maxUnansweredCancels such calls, or after one that was in flight longer than unresponsiveTimeout.
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
