package nodeagent

import (
	"fmt"
	"maps"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
)

const (
	// unresponsiveTimeout is how long a call may be in flight with nothing received since until new calls go to other
	// connections: a machine that was cut off gives no sign on the old one.
	unresponsiveTimeout = time.Second
	// maxUnansweredCancels is how many calls in a row may be canceled on a connection on which nothing was received
	// meanwhile: the calls of impatient clients end before unresponsiveTimeout.
	maxUnansweredCancels = 3
	// minUnansweredCancelAge is how long a canceled call must have been in flight to count as unanswered. Clients that
	// cancel hundreds at once are no evidence of a fault of the worker.
	minUnansweredCancelAge = 200 * time.Millisecond
	// lateAnswerWindow is how long after a call was canceled, or answered, another answer to it may still come.
	lateAnswerWindow = 3 * time.Second
	// partialAnswerTimeout is how long the rest of an answer may take once part of it was received.
	partialAnswerTimeout = 250 * time.Millisecond
	// maxWriteAttempts is how many connections may turn out to be dead when a call is written until the call fails.
	maxWriteAttempts = 3
)

// outcomes maps the status of an answer to the outcome of its call.
var outcomes = map[string]routing.Outcome{
	statusOK:      routing.Served,
	statusMiss:    routing.NotLoaded,
	statusBusy:    routing.Shed,
	statusError:   routing.Errored,
	statusVoid:    routing.NotSent,
	statusHealthy: routing.Served,
	statusDown:    routing.Errored,
}

// usable reports whether new calls may be written to a connection.
func (c *conn) usable(now time.Duration) bool {
	if c.draining || c.partialAnswer || c.unresponsive(now) {
		return false
	}
	if len(c.inFlight) >= c.pool.options.PipelineDepth {
		return false
	}
	// What waits in the outbound buffer can't be taken back: by the time that it is sent its client may have left, or
	// its worker begun to drain.
	if c.socket.OutboundBuffered() > 0 {
		return false
	}
	maxIdle := c.pool.maxIdle
	return maxIdle == 0 || len(c.inFlight) > 0 || c.idleFor(now) < maxIdle
}

// unresponsive reports whether some call is in flight for long with nothing received since it was written.
func (c *conn) unresponsive(now time.Duration) bool {
	for _, waiting := range c.inFlight {
		if waiting.writtenAt > c.lastReadAt && now-waiting.writtenAt > unresponsiveTimeout {
			return true
		}
	}
	return false
}

// knowsID reports whether an answer with this id could be meant for another call. Two attempts of one request cannot
// be told apart on one connection, and one that was canceled or answered may be answered there once more.
func (c *conn) knowsID(id string, now time.Duration) bool {
	if _, inFlight := c.inFlight[id]; inFlight {
		return true
	}
	endedAt, ended := c.recentlyEnded[id]
	return ended && now-endedAt < lateAnswerWindow
}

// write writes a call. From here on it may have run, unless the operating system accepted nothing of it.
func (c *conn) write(outgoing *call) {
	pool := c.pool
	outgoing.conn = c
	outgoing.writtenAt = pool.loop.Now()
	if len(c.inFlight) == 0 {
		c.idleBeforeUse = c.idleFor(outgoing.writtenAt)
		c.idleReuseUnresolved = true
	}
	c.lastWriteAt = outgoing.writtenAt
	if outgoing.isHealthCheck {
		pool.writeBuffer = appendHealthCheck(pool.writeBuffer[:0], outgoing.ID)
	} else {
		pool.writeBuffer = appendStart(pool.writeBuffer[:0], &outgoing.Attempt, pool.options.Classes[outgoing.Class])
	}
	// The call joins those in flight only after the write: Closed, called from within it, must not end it. Nothing
	// waits in the outbound buffer before this, so an error with no byte written means that nothing was sent.
	written, err := c.socket.Write(pool.writeBuffer)
	if err == nil {
		c.inFlight[outgoing.ID] = outgoing
		return
	}
	if written != 0 {
		pool.finish(outgoing, withoutAnswer(routing.ConnectionReset))
		return
	}
	// The agent may be healthy, since connections are reset at any time. Another connection shows it.
	outgoing.conn = nil
	outgoing.writeAttempts++
	if outgoing.writeAttempts < maxWriteAttempts {
		pool.assign(outgoing)
		return
	}
	pool.finish(outgoing, withoutAnswer(routing.ConnectFailed))
}

// abandon removes a call from those in flight.
func (c *conn) abandon(canceled *call) {
	delete(c.inFlight, canceled.ID)
	c.recordEnded(canceled.ID)
}

// recordEnded remembers the id of an ended call for as long as a late answer could be taken for that of another
// attempt. Once there are as many ids as the pipeline is deep, expired ones are deleted.
func (c *conn) recordEnded(id string) {
	now := c.pool.loop.Now()
	if len(c.recentlyEnded) >= c.pool.options.PipelineDepth {
		maps.DeleteFunc(c.recentlyEnded, func(_ string, endedAt time.Duration) bool {
			return now-endedAt >= lateAnswerWindow
		})
	}
	c.recentlyEnded[id] = now
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

// Readable reads all complete answers. An error closes the connection.
func (c *conn) Readable(socket gnet.Conn) error {
	c.lastReadAt = c.pool.loop.Now()
	c.unansweredCancels = 0
	if c.idleReuseUnresolved {
		c.pool.recordIdleReuse(c, false)
	}
	for {
		received, _ := socket.Peek(-1) // it is an error only to ask for more than there is
		if len(received) == 0 {
			return nil
		}
		ans, size, err := parseAnswer(received, c.pool.options.MaxAnswerBytes)
		if err != nil {
			c.pool.log.WithError(err).WithField("worker", c.target.id).Warn("agent connection closed: malformed answer")
			return err
		}
		if size == 0 {
			c.awaitRestOfAnswer()
			return nil
		}
		c.answerComplete()
		c.handleAnswer(ans)
		if c.socket == nil {
			return nil
		}
		if _, err := socket.Discard(size); err != nil {
			return fmt.Errorf("resuming reads: %w", err)
		}
		c.closeIfDrained()
		if c.socket == nil {
			return nil
		}
	}
}

// awaitRestOfAnswer starts the timer for the rest of an answer. It guards against an agent that stops in the middle
// of one: nothing else is received on the connection until the rest has come.
func (c *conn) awaitRestOfAnswer() {
	if c.partialAnswer {
		return
	}
	c.partialAnswer = true
	c.pool.loop.SetDeadline(&c.partialAnswerTimer, c.lastReadAt+partialAnswerTimeout)
}

// answerComplete stops the timer of awaitRestOfAnswer.
func (c *conn) answerComplete() {
	if !c.partialAnswer {
		return
	}
	c.partialAnswer = false
	c.pool.loop.ClearDeadline(&c.partialAnswerTimer)
}

// onPartialAnswerTimeout closes a connection on which the rest of an answer was not received.
func (c *conn) onPartialAnswerTimeout() {
	c.pool.log.WithField("worker", c.target.id).Warn("agent connection closed: incomplete answer")
	c.close()
}

// handleAnswer ends the call that an answer is for.
func (c *conn) handleAnswer(ans answer) {
	answered, ok := c.inFlight[ans.id]
	if !ok {
		return // it was canceled before
	}
	delete(c.inFlight, ans.id)
	if ans.status != statusOK { // OK ends the request, so that no further attempt has its id
		c.recordEnded(ans.id)
	}
	result := dispatch.AttemptResult{
		Outcome:             outcomes[ans.status],
		Body:                ans.body,
		InFlightForFunction: dispatch.InFlightUnknown,
		Report:              ans.loadReport,
	}
	if ans.status == statusOK || ans.status == statusBusy {
		result.InFlightForFunction = ans.inFlightForFunction
	}
	c.pool.finish(answered, result)
}
