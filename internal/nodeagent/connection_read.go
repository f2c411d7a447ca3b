package nodeagent

import (
	"errors"
	"fmt"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

// partialResponseTimeout limits the wait for the rest of a response after its first part was received.
const partialResponseTimeout = 250 * time.Millisecond

// outcomes maps the status of a response to the outcome of its call.
var outcomes = map[string]routing.Outcome{
	statusOK:      routing.Served,
	statusMiss:    routing.NotLoaded,
	statusBusy:    routing.Shed,
	statusError:   routing.Errored,
	statusVoid:    routing.NotSent,
	statusHealthy: routing.Served,
	statusDown:    routing.Errored,
}

// outcome returns the outcome of the call that a response belongs to. One whose body is dropped has failed.
func (r *response) outcome() routing.Outcome {
	if r.skippedBytes > 0 {
		return routing.Errored
	}
	return outcomes[r.status]
}

// Readable handles all complete responses and keeps the rest of what was received, so that nothing stays in the socket's
// receive buffer. An error closes the connection.
func (c *conn) Readable(socket gnet.Conn) (more bool, err error) {
	c.lastReadAt = c.pool.loop.Now()
	c.unansweredCancels = 0
	if c.idleReuseUnresolved {
		c.resolveIdleReuse(false)
	}
	received, _ := socket.Peek(-1) // Peek fails only if more is requested than is buffered
	if _, err := c.ReceiveMore(received); err != nil {
		return false, err
	}
	if c.socket == nil {
		return false, nil
	}
	if _, err := socket.Discard(len(received)); err != nil {
		return false, fmt.Errorf("resuming reads: %w", err)
	}
	return true, nil
}

// ReceiveMore handles further bytes, like Readable.
func (c *conn) ReceiveMore(received []byte) (handled int, err error) {
	if err := c.handleReceived(received); err != nil {
		c.logInvalid(err)
		return 0, err
	}
	return len(received), nil
}

// logInvalid logs why the connection is closed because of what was received.
func (c *conn) logInvalid(err error) {
	message := "agent connection closed: malformed response"
	if errors.Is(err, errResponseMemory) {
		message = "agent connection closed: incomplete response"
	}
	c.pool.log.WithError(err).WithField("worker", c.target.id).Warn(message)
}

// handleReceived handles all complete responses in received bytes, which may begin with the rest of an incomplete one.
func (c *conn) handleReceived(received []byte) error {
	if len(c.partial) > 0 {
		if c.keepPartial(received) {
			return c.handlePartial()
		}
		if err := c.dropResponse(c.partial); err != nil {
			return err
		}
	}
	handled, err := c.handleResponses(received)
	if err != nil || c.socket == nil || handled == len(received) {
		return err
	}
	incomplete := received[handled:]
	if c.keepPartial(incomplete) {
		return nil
	}
	return c.dropResponse(incomplete)
}

// handlePartial handles all complete responses in partial.
func (c *conn) handlePartial() error {
	handled, err := c.handleResponses(c.partial)
	if err == nil && c.socket != nil {
		c.removePartial(handled)
	}
	return err
}

// handleResponses handles all complete responses at the start of a buffer and returns their total size. It stops when
// the connection is closed.
func (c *conn) handleResponses(buffer []byte) (handled int, err error) {
	for handled < len(buffer) {
		if c.skippedBytes > 0 {
			handled += c.skip(len(buffer) - handled)
			continue
		}
		resp, size, err := parseResponse(buffer[handled:], c.pool.options.MaxResponseBytes)
		if err != nil {
			return handled, err
		}
		if size == 0 {
			c.awaitRestOfResponse()
			return handled, nil
		}
		handled += size
		if resp.skippedBytes > 0 {
			c.startSkip(&resp, errResponseTooLong)
		} else {
			c.responseComplete()
		}
		c.handleResponse(resp)
		if c.socket != nil {
			c.closeIfDrained()
		}
		if c.socket == nil {
			return handled, nil
		}
	}
	return handled, nil
}

// startSkip begins to drop the body that follows a response. The reason is logged.
func (c *conn) startSkip(resp *response, reason error) {
	c.pool.log.WithError(reason).WithFields(logrus.Fields{"worker": c.target.id, "bytes": resp.skippedBytes}).Warn("agent response dropped")
	c.skippedBytes = resp.skippedBytes
	c.awaitRestOfResponse()
}

// skip drops up to the given number of received bytes of a body, and returns how many it dropped.
func (c *conn) skip(received int) int {
	skipped := min(received, c.skippedBytes)
	c.skippedBytes -= skipped
	if c.skippedBytes == 0 {
		c.responseComplete()
	}
	return skipped
}

// awaitRestOfResponse starts the timer for the rest of a response. An agent that stops in the middle of a response
// would otherwise block all later responses on the connection.
func (c *conn) awaitRestOfResponse() {
	if c.partialResponse {
		return
	}
	c.partialResponse = true
	c.pool.loop.SetDeadline(&c.partialResponseTimer, c.lastReadAt+partialResponseTimeout)
}

// responseComplete stops the timer of awaitRestOfResponse.
func (c *conn) responseComplete() {
	if !c.partialResponse {
		return
	}
	c.partialResponse = false
	c.pool.loop.ClearDeadline(&c.partialResponseTimer)
}

// onPartialResponseTimeout closes the connection because the rest of a response was not received in time.
func (c *conn) onPartialResponseTimeout() {
	c.pool.log.WithField("worker", c.target.id).Warn("agent connection closed: incomplete response")
	c.close()
}

// handleResponse ends the call that a response belongs to.
func (c *conn) handleResponse(resp response) {
	answered := c.calls.take(resp.id)
	if answered == nil {
		return // the call was canceled
	}
	outcome := resp.outcome()
	if resp.status != statusOK || outcome != routing.Served { // no later attempt reuses the ID of a served one
		c.pool.ended.add(endedCall{c, resp.id, c.pool.loop.Now()})
	}
	result := dispatch.AttemptResult{
		Outcome:             outcome,
		Body:                resp.body,
		InFlightForFunction: dispatch.InFlightUnknown,
		Report:              resp.loadReport,
	}
	if resp.status == statusOK || resp.status == statusBusy {
		result.InFlightForFunction = resp.inFlightForFunction
	}
	c.pool.calls.finish(answered, result)
}
