package fastcgi

import (
	"fmt"
	"math"

	"calicohill/internal/runtime/eventloop"

	"github.com/panjf2000/gnet/v2"
)

// Readable handles all bytes that the event loop has read, so that none stay in the socket's receive buffer: that buffer
// has no limit, and a copy of it is made each time more is received. An error closes the connection.
func (c *conn) Readable(socket gnet.Conn) (more bool, err error) {
	c.server.recordReceived()
	if c.lingering {
		discardAll(socket)
		return true, nil
	}
	c.budget.startTurn(c.server.loop.Now())
	c.recordFirstRead()
	input, _ := socket.Peek(-1) // Peek fails only if more is requested than is buffered
	c.startBacklog(len(input))
	handled, err := c.receive(input, math.MaxInt)
	c.backlog.bytes -= handled
	if err != nil || c.socket == nil {
		return false, err
	}
	discardAll(socket)
	return c.budget.left > 0, nil
}

// recordFirstRead records how long the first bytes of the connection have waited.
func (c *conn) recordFirstRead() {
	if !c.hasRead {
		c.hasRead = true
		c.server.longestFirstRead = max(c.server.longestFirstRead, eventloop.UnreadFor(c.socket))
	}
}

// ReceiveMore handles records until the budget of the turn is used up.
func (c *conn) ReceiveMore(received []byte) (handled int, err error) {
	if c.lingering {
		return len(received), nil
	}
	handled, err = c.receive(received, c.budget.left)
	c.backlog.bytes -= handled
	return handled, err
}

// receive handles received bytes, up to a number of records, and returns how many bytes it has handled.
func (c *conn) receive(input []byte, maxRecords int) (handled int, err error) {
	c.reading = true
	handled, err = c.handleReceived(input, maxRecords)
	c.reading = false
	c.updateTable()
	c.writeReplies()
	if err != nil {
		c.server.warn("client connection closed: protocol error", err)
	}
	c.closeIfDrained()
	return handled, err
}

// handleReceived handles the parts of records that were received, and limits the wait for the rest of the last one.
func (c *conn) handleReceived(input []byte, maxRecords int) (handled int, err error) {
	left := input
	for records := 0; len(left) > 0 && !c.lingering && records < maxRecords; records++ {
		part, rest, ok, err := c.parser.next(left)
		if err != nil {
			return 0, err
		}
		left = rest
		if !ok {
			break
		}
		c.budget.left--
		c.server.records++
		if part.last && c.established {
			c.stopInputTimer()
		}
		if err := c.handlePart(part); err != nil {
			return 0, err
		}
		if c.socket == nil {
			return len(input), nil // handling the record closed the connection
		}
	}
	if c.lingering {
		return len(input), nil
	}
	if c.parser.midRecord() {
		c.startInputTimer()
	}
	return len(input) - len(left), nil
}

// discardAll drops the received bytes. Errors do not matter: they can occur only if the connection has ended.
func discardAll(socket gnet.Conn) { _, _ = socket.Discard(-1) }

// handlePart handles a part of a record. Records of requests that are not open and records of streams that have ended
// are ignored. An error wraps errFraming and means that the rest of the connection cannot be parsed.
func (c *conn) handlePart(part recordPart) error {
	if part.kind.isKnown() {
		c.unknownSince = 0
	}
	if part.id == noRequest {
		return c.handleManagementPart(part)
	}
	switch part.kind {
	case typeBeginRequest:
		return c.handleBeginPart(part)
	case typeAbortRequest, typeParams, typeStdin, typeData:
		if req := c.requests[part.id]; req != nil {
			req.handlePart(part)
		}
	default:
		c.rejectUnknownType(part)
	}
	return nil
}

// handleManagementPart handles a part of a record that belongs to no request.
func (c *conn) handleManagementPart(part recordPart) error {
	switch part.kind {
	case typeGetValues:
		return c.handleGetValuesPart(part)
	case typeBeginRequest, typeAbortRequest, typeParams, typeStdin, typeData:
		return fmt.Errorf("%w: record of type %d without a request", errFraming, part.kind)
	default:
		c.rejectUnknownType(part)
	}
	return nil
}

// rejectUnknownType answers a record of an unknown type at its end. A connection on which nothing else was received for
// requestTimeout is closed once its open requests have ended.
func (c *conn) rejectUnknownType(part recordPart) {
	if !part.last {
		return
	}
	c.write(appendUnknownType(c.server.scratch[:0], part.kind))
	now := c.server.loop.Now()
	if c.unknownSince == 0 {
		c.unknownSince = now
	}
	if c.closeWhenIdle || now-c.unknownSince < requestTimeout {
		return
	}
	c.server.warn("client connection closed: only records of unknown types", nil)
	c.closeWhenIdle = true
	if len(c.requests) == 0 {
		c.closeWhenSent()
	}
}

// handleBeginPart handles a part of a BEGIN_REQUEST record.
func (c *conn) handleBeginPart(part recordPart) error {
	if part.contentLen != controlBodyLen {
		return fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", errFraming, part.contentLen)
	}
	if content, complete := c.collectControl(part); complete {
		return c.beginRequest(part.id, content)
	}
	return nil
}

// handleGetValuesPart handles a part of a GET_VALUES record.
func (c *conn) handleGetValuesPart(part recordPart) error {
	if part.contentLen > maxGetValuesLen {
		return fmt.Errorf("%w: GET_VALUES of %d bytes", errFraming, part.contentLen)
	}
	content, complete := c.collectControl(part)
	if !complete {
		return nil
	}
	answer, err := appendGetValuesResult(c.server.scratch[:0], content, c.server.conns.maxConns)
	if err != nil {
		return fmt.Errorf("%w: %w", errFraming, err)
	}
	c.write(answer)
	return nil
}

// collectControl returns the content of a control record at its end. Until then, it keeps the parts. The caller bounds
// the length of the record.
func (c *conn) collectControl(part recordPart) (content []byte, complete bool) {
	if part.first && part.last {
		return part.content, true
	}
	c.control = append(c.control, part.content...)
	if !part.last {
		return nil, false
	}
	content = c.control
	c.control = nil
	return content, true
}
