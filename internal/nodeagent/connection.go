package nodeagent

import (
	"errors"
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

// idleRecheckDivisor gives the least pause between two checks of a connection: the idle timeout divided by it.
const idleRecheckDivisor = 8

// drainReason is why a connection gets no new calls, as logged.
type drainReason string

const (
	drainWorkerGone   drainReason = "worker gone"
	drainUnresponsive drainReason = "unresponsive"
)

// errConnClosed is logged for calls in flight on a connection that was closed from this side.
var errConnClosed = errors.New("closed")

// conn is a connection to a worker's agent, from its dial to its close. It implements eventloop.ConnHandler and is used on
// the event loop only. It carries Options.PipelineDepth calls at most.
type conn struct {
	pool   *Pool
	target *worker
	socket gnet.Conn // nil until the dial succeeds and after the connection has closed
	calls  pipeline

	openedAt    time.Duration
	lastWriteAt time.Duration // when the last call was written
	lastReadAt  time.Duration // when something was last received

	unansweredCancels   int           // canceled calls since lastReadAt
	idleBeforeUse       time.Duration // before the latest call that found nothing else in flight
	idleReuseUnresolved bool          // nothing was received since that call was written
	draining            bool          // gets no new calls
	partialAnswer       bool          // part of an answer was received, the rest was not

	idleTimer          deadline.Timer
	partialAnswerTimer deadline.Timer // for the rest of that answer
}

// Opened adds the established connection to those of its worker, or closes it if the worker is gone by now.
func (c *conn) Opened(socket gnet.Conn) {
	pool, target := c.pool, c.target
	c.socket = socket
	c.openedAt = pool.loop.Now()
	c.lastReadAt = c.openedAt
	pool.dialer.opened(c)
	target.addConn(c)
	c.idleTimer.Fire = c.onIdleTimer
	c.partialAnswerTimer.Fire = c.onPartialAnswerTimeout
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

// Closed ends all calls in flight. They were written, so they may have run.
func (c *conn) Closed(_ gnet.Conn, err error) {
	pool, target := c.pool, c.target
	c.socket = nil
	pool.dialer.closed(c)
	pool.loop.ClearDeadline(&c.idleTimer)
	pool.loop.ClearDeadline(&c.partialAnswerTimer)
	target.removeConn(c)
	lost := c.calls.len()
	if c.idleReuseUnresolved && lost > 0 && err != nil { // without an error it was closed from this side
		c.resolveIdleReuse(true)
	}
	c.calls.drop(func(dropped *call) { pool.calls.finish(dropped, withoutAnswer(routing.ConnectionReset)) })
	if lost > 0 {
		if err == nil {
			err = errConnClosed
		}
		pool.log.WithError(err).WithFields(logrus.Fields{"worker": target.id, "lost": lost}).Warn("agent connection lost")
	}
	pool.dialer.startQueued()
}

// drain stops new calls on the connection. closeIfDrained closes it after the last one in flight.
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

// close closes the connection, if it is open. gnet calls Closed before this returns, since it runs on the event loop.
func (c *conn) close() {
	if c.socket == nil {
		return
	}
	// Closed has the outcome; an error here means that the connection was gone already.
	_ = c.socket.EventLoop().Close(c.socket)
}

// lastActivity is when something was last written or received.
func (c *conn) lastActivity() time.Duration { return max(c.lastWriteAt, c.lastReadAt) }

// idleFor is how long nothing was written or received.
func (c *conn) idleFor(now time.Duration) time.Duration { return now - c.lastActivity() }

// checkIdleAt sets when it is next checked whether the connection has reached the idle timeout.
func (c *conn) checkIdleAt(at time.Duration) { c.pool.loop.SetDeadline(&c.idleTimer, at) }

// onIdleTimer closes a connection that has reached the idle timeout, or sets the timer again.
func (c *conn) onIdleTimer() {
	now := c.pool.loop.Now()
	timeout := c.pool.idle.timeout()
	if idle := c.idleFor(now); idle < timeout || c.calls.len() > 0 {
		c.checkIdleAt(now + max(timeout-idle, timeout/idleRecheckDivisor))
		return
	}
	c.close()
}

// resolveIdleReuse records whether the connection survived its first use after being idle.
func (c *conn) resolveIdleReuse(reset bool) {
	c.idleReuseUnresolved = false
	if c.pool.idle.record(c.pool.loop.Now(), c.idleBeforeUse, reset) {
		c.pool.idleLimitChanged()
	}
}
