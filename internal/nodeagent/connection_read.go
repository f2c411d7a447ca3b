package nodeagent

import (
	"fmt"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
)

// partialAnswerTimeout is how long the rest of an answer may take once part of it was received.
const partialAnswerTimeout = 250 * time.Millisecond

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

// Readable reads all complete answers. An error closes the connection.
func (c *conn) Readable(socket gnet.Conn) error {
	c.lastReadAt = c.pool.loop.Now()
	c.unansweredCancels = 0
	if c.idleReuseUnresolved {
		c.resolveIdleReuse(false)
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
	answered := c.calls.take(ans.id)
	if answered == nil {
		return // it was canceled before
	}
	if ans.status != statusOK { // OK ends the request, so that no further attempt has its id
		c.calls.recordEnded(ans.id, c.pool.loop.Now())
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
	c.pool.calls.finish(answered, result)
}
