package nodeagent

import (
	"errors"
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

const (
	// idleCloseFraction is the part of Options.IdleCloseAfter for which an idle connection is kept: a command that
	// is written just as the agent closes it may or may not have run.
	idleCloseFraction = 0.85
	// idleRecheckDivisor gives the least pause between two checks of a connection: the idle timeout divided by it.
	idleRecheckDivisor = 8
	// maxOutboundBytes is how much may wait unsent on a connection until the agent counts as not reading.
	maxOutboundBytes = 256 << 10
)

// drainReason is why a connection gets no new calls, as logged.
type drainReason string

const (
	drainWorkerGone   drainReason = "worker gone"
	drainUnresponsive drainReason = "unresponsive"
)

// errConnClosed is logged for calls in flight on a connection that was closed from this side.
var errConnClosed = errors.New("closed")

// conn is a connection to a worker's agent. It implements eventloop.ConnHandler.
type conn struct {
	ref    slotmap.Ref
	pool   *Pool
	target *worker
	socket gnet.Conn // nil until the dial succeeds and after the connection has closed

	inFlight      map[string]*call         // by call id
	recentlyEnded map[string]time.Duration // when a call ended, by its id: another answer may still come

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
	target.dialsInProgress--
	pool.dialsInProgress--
	c.socket = socket
	c.openedAt = pool.loop.Now()
	c.lastReadAt = c.openedAt
	c.ref = pool.conns.Insert(c)
	target.conns = append(target.conns, c)
	c.idleTimer.Fire = c.onIdleTimer
	c.partialAnswerTimer.Fire = c.onPartialAnswerTimeout
	pool.loop.SetDeadline(&c.idleTimer, c.lastReadAt+pool.idleTimeout())
	defer pool.startQueuedDials()
	if target.state == routing.Gone {
		c.close()
		return
	}
	pool.writePending(target)
	if len(target.pending) > 0 && target.dialsInProgress == 0 {
		pool.dial(target)
	}
}

// Closed ends all calls in flight. They were written, so they may have run.
func (c *conn) Closed(_ gnet.Conn, err error) {
	pool, target := c.pool, c.target
	c.socket = nil
	pool.conns.Remove(c.ref)
	pool.loop.ClearDeadline(&c.idleTimer)
	pool.loop.ClearDeadline(&c.partialAnswerTimer)
	target.conns = without(target.conns, c)
	lost := len(c.inFlight)
	if c.idleReuseUnresolved && lost > 0 && err != nil { // without an error it was closed from this side
		pool.recordIdleReuse(c, true)
	}
	for id, lostCall := range c.inFlight {
		delete(c.inFlight, id)
		pool.finish(lostCall, withoutAnswer(routing.ConnectionReset))
	}
	if lost > 0 {
		if err == nil {
			err = errConnClosed
		}
		pool.log.WithError(err).WithFields(logrus.Fields{"worker": target.id, "lost": lost}).Warn("agent connection lost")
	}
	pool.startQueuedDials()
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
	if c.draining && len(c.inFlight) == 0 {
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

// writeControl writes a command that has no answer. It closes a connection whose agent does not read.
func (c *conn) writeControl(command []byte) {
	// An error closes the connection and is reported by Closed.
	_, err := c.socket.Write(command)
	if err == nil && c.socket != nil && c.socket.OutboundBuffered() > maxOutboundBytes {
		c.pool.log.WithField("worker", c.target.id).Warn("agent connection closed: agent does not read")
		c.close()
	}
}

// lastActivity is when something was last written or received.
func (c *conn) lastActivity() time.Duration { return max(c.lastWriteAt, c.lastReadAt) }

// idleFor is how long nothing was written or received.
func (c *conn) idleFor(now time.Duration) time.Duration { return now - c.lastActivity() }

// idleTimeout is how long a connection may be idle until it is closed.
func (p *Pool) idleTimeout() time.Duration {
	timeout := time.Duration(idleCloseFraction * float64(p.options.IdleCloseAfter))
	if p.maxIdle > 0 {
		timeout = min(timeout, p.maxIdle)
	}
	return timeout
}

// onIdleTimer closes a connection that has reached the idle timeout, or sets the timer again.
func (c *conn) onIdleTimer() {
	now := c.pool.loop.Now()
	timeout := c.pool.idleTimeout()
	if idle := c.idleFor(now); idle < timeout || len(c.inFlight) > 0 {
		c.pool.loop.SetDeadline(&c.idleTimer, now+max(timeout-idle, timeout/idleRecheckDivisor))
		return
	}
	c.close()
}

// recordIdleReuse records whether a connection survived its first use after being idle. If that changes how long
// connections may be idle, it checks all of them at once.
func (p *Pool) recordIdleReuse(used *conn, reset bool) {
	used.idleReuseUnresolved = false
	now := p.loop.Now()
	p.idleResets.record(now, used.idleBeforeUse, reset)
	maxIdle := p.idleResets.maxIdle(p.maxIdle)
	if maxIdle == p.maxIdle {
		return
	}
	p.maxIdle = maxIdle
	p.log.WithField("rest", maxIdle).Info("agent connections: maximum idle time changed")
	for _, w := range p.workers {
		for _, c := range w.conns {
			p.loop.SetDeadline(&c.idleTimer, now)
		}
	}
}
