package nodeagent

import (
	"errors"
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

// idleRecheckDivisor sets the minimum interval between idle checks of a connection: the idle timeout divided by it.
const idleRecheckDivisor = 8

// drainReason is the logged reason why a connection gets no new calls.
type drainReason string

const (
	drainWorkerGone   drainReason = "worker gone"
	drainUnresponsive drainReason = "unresponsive"
	drainTooManyEnded drainReason = "too many calls have ended recently"
)

// errConnClosed is logged if the scheduler closed a connection with calls in flight.
var errConnClosed = errors.New("closed by the scheduler")

// conn is a connection to a worker's agent from dial to close. It implements eventloop.ConnHandler and is used only on
// the event loop. It carries at most Options.PipelineDepth calls.
type conn struct {
	pool   *Pool
	target *worker
	socket gnet.Conn // nil until the dial succeeds and after the connection has closed
	calls  pipeline

	openedAt    time.Duration
	lastWriteAt time.Duration // when the last call was written
	lastReadAt  time.Duration // when bytes were last received

	unansweredCancels   int           // calls canceled without a response since lastReadAt
	idleBeforeUse       time.Duration // idle time before the latest call that was written while none was in flight
	idleReuseUnresolved bool          // nothing has been received since that call was written
	draining            bool          // no new calls are written
	partialResponse     bool          // the last received response is incomplete
	partial             []byte        // received bytes of that response; maintained by keepPartial
	skippedBytes        int           // rest of a body that is dropped as it is received

	idleTimer            deadline.Timer
	partialResponseTimer deadline.Timer // limits the wait for the rest of that response
}

// Opened adds the established connection to its worker, or closes it if the worker is no longer listed.
func (c *conn) Opened(socket gnet.Conn) {
	pool, target := c.pool, c.target
	c.socket = socket
	c.openedAt = pool.loop.Now()
	c.lastReadAt = c.openedAt
	pool.dialer.opened(c)
	target.addConn(c)
	c.idleTimer.Fire = c.onIdleTimer
	c.partialResponseTimer.Fire = c.onPartialResponseTimeout
	c.checkIdleAt(c.lastReadAt + pool.idle.timeout())
	defer pool.dialer.startQueued()
	if target.isGone() {
		c.close()
		return
	}
	pool.writePending(target)
	if len(target.pending) > 0 && target.dials.inProgress == 0 {
		pool.dialer.dial(target)
	}
}

// Closed ends all calls in flight with ConnectionReset: they were written, so they may have run.
func (c *conn) Closed(_ gnet.Conn, err error) {
	pool, target := c.pool, c.target
	c.socket = nil
	c.releasePartial()
	pool.unsent.Remove(c)
	pool.dialer.closed(c)
	pool.loop.ClearDeadline(&c.idleTimer)
	pool.loop.ClearDeadline(&c.partialResponseTimer)
	target.removeConn(c)
	lost := c.calls.len()
	if c.idleReuseUnresolved && lost > 0 && err != nil { // without an error, the scheduler closed it
		c.resolveIdleReuse(true)
	}
	c.calls.removeAll(func(dropped *call) { pool.calls.finish(dropped, resultWithoutResponse(routing.ConnectionReset)) })
	if lost > 0 {
		if err == nil {
			err = errConnClosed
		}
		pool.log.WithError(err).WithFields(logrus.Fields{"worker": target.id, "lost": lost}).Warn("agent connection lost")
	}
	pool.dialer.startQueued()
}

// drain stops new calls on the connection. closeIfDrained closes it after the last call in flight.
func (c *conn) drain(reason drainReason) {
	if c.draining {
		return
	}
	c.draining = true
	c.pool.log.WithFields(logrus.Fields{"worker": c.target.id, "why": string(reason)}).Info("agent connection draining")
}

// closeIfDrained closes a draining connection that has no calls in flight.
func (c *conn) closeIfDrained() {
	if c.draining && c.calls.len() == 0 {
		c.close()
	}
}

// close closes the connection if it is open. On the event loop, gnet calls Closed before close returns.
func (c *conn) close() {
	if c.socket == nil {
		return
	}
	// Closed handles the result. An error here means that the connection was already closed.
	_ = c.socket.EventLoop().Close(c.socket)
}

// lastActivity returns when a call was last written or bytes were last received.
func (c *conn) lastActivity() time.Duration { return max(c.lastWriteAt, c.lastReadAt) }

// idleFor returns the time since lastActivity.
func (c *conn) idleFor(now time.Duration) time.Duration { return now - c.lastActivity() }

// checkIdleAt schedules the next check of the idle timeout.
func (c *conn) checkIdleAt(at time.Duration) { c.pool.loop.SetDeadline(&c.idleTimer, at) }

// onIdleTimer closes the connection if it has reached the idle timeout. Otherwise it schedules the next check.
func (c *conn) onIdleTimer() {
	now := c.pool.loop.Now()
	timeout := c.pool.idle.timeout()
	if idle := c.idleFor(now); idle < timeout || c.calls.len() > 0 {
		c.checkIdleAt(now + max(timeout-idle, timeout/idleRecheckDivisor))
		return
	}
	c.close()
}

// resolveIdleReuse records whether the first call after an idle time met a connection reset.
func (c *conn) resolveIdleReuse(reset bool) {
	c.idleReuseUnresolved = false
	if c.pool.idle.record(c.pool.loop.Now(), c.idleBeforeUse, reset) {
		c.pool.idleLimitChanged()
	}
}
