package fastcgi

import (
	"fmt"
	"net/http"
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"

	"github.com/panjf2000/gnet/v2"
)

const (
	// requestTimeout is how long a request may take from its first record to its last, a record from its first byte to
	// its last, and a new connection until its first request is complete. Whoever sends anything else, or nothing, is
	// owed an answer or a close within 3 s of connecting.
	requestTimeout = 2 * time.Second
	// lingerTimeout is how long a connection that is to be closed is kept for what has not been sent on it yet.
	lingerTimeout = 3 * time.Second
	// lingerPollInterval is how often a connection that is to be closed is checked for unsent bytes.
	lingerPollInterval = 20 * time.Millisecond
)

// conn is a client's connection, from its accept to its close: its records, the wait for input, and the wait for unsent
// answers before a close. It is an eventloop.ConnHandler and is used on the event loop only. It carries at most
// maxRequestsPerConn requests, and at most maxUnsentPerConn bytes wait on it.
type conn struct {
	server    *Server
	socket    gnet.Conn // nil once it is closed
	clientIP  string    // the client's address, once it was asked for
	requests  map[requestID]*request
	unreadFor time.Duration // how long the latest bytes had waited to be read

	established bool    // a request was complete on it, or was answered
	listing     listing // the connTable's

	reading       bool           // records that were read are being handled
	timer         deadline.Timer // for input or, while the connection lingers, for output
	awaitingInput bool           // timer is set for the first request, or for the rest of a record
	closeWhenIdle bool           // close it once no request is open
	lingerUntil   time.Duration  // it lingers: nothing more is read, and it is closed by then; 0 if it does not
}

// Opened does nothing: the client speaks first.
func (c *conn) Opened(gnet.Conn) {}

// Readable handles the records that have arrived. An error closes the connection.
func (c *conn) Readable(socket gnet.Conn) error {
	c.server.noteReceived()
	if c.lingerUntil > 0 {
		discardAll(socket)
		return nil
	}
	c.unreadFor = eventloop.UnreadFor(socket)
	c.reading = true
	for {
		more, err := c.readRecord(socket)
		if err != nil || !more {
			c.reading = false
			c.closeIfDrained()
			return err
		}
	}
}

// closeIfDrained closes a connection of a server that drains, if nothing is open on it: no request, no part of one that was
// read already, and no answer that is not sent.
func (c *conn) closeIfDrained() {
	if !c.server.draining || c.socket == nil || c.reading || c.awaitingInput || len(c.requests) > 0 {
		return
	}
	if c.socket.OutboundBuffered() == 0 {
		c.close()
	}
}

// readRecord handles the next record if all of it has arrived, and reports whether another may follow it.
func (c *conn) readRecord(socket gnet.Conn) (more bool, err error) {
	buf, _ := socket.Peek(-1) // it is an error only to ask for more than there is
	if len(buf) == 0 {
		return false, nil
	}
	rec, size, err := parseRecord(buf)
	if err == nil && size == 0 {
		c.startInputTimer() // for the rest of the record
		return false, nil
	}
	if c.established {
		c.stopInputTimer()
	}
	if err == nil {
		err = c.handleRecord(rec)
	}
	if err != nil {
		c.server.warn("client closed: protocol error", err)
		return false, err
	}
	if c.socket == nil {
		return false, nil // closed by the record
	}
	if c.lingerUntil > 0 {
		discardAll(socket)
		return false, nil
	}
	if _, err := socket.Discard(size); err != nil {
		return false, fmt.Errorf("resuming reads: %w", err)
	}
	return true, nil
}

// discardAll drops what a client has sent on a connection that is to be closed, whatever the result.
func discardAll(socket gnet.Conn) { _, _ = socket.Discard(-1) }

// handleRecord handles a record. An error, which wraps errFraming, means that what follows on the connection cannot be
// understood. Records of requests that are not open, or that have ended their streams, are ignored.
func (c *conn) handleRecord(rec record) error {
	if rec.id == noRequest {
		return c.handleManagementRecord(rec)
	}
	switch rec.kind {
	case typeBeginRequest:
		return c.beginRequest(rec)
	case typeAbortRequest, typeParams, typeStdin, typeData:
		if req := c.requests[rec.id]; req != nil {
			req.handleRecord(rec)
		}
	default:
		c.write(appendUnknownType(c.server.scratch[:0], rec.kind))
	}
	return nil
}

// handleManagementRecord handles a record that belongs to no request.
func (c *conn) handleManagementRecord(rec record) error {
	switch rec.kind {
	case typeGetValues:
		answer, err := appendGetValuesResult(c.server.scratch[:0], rec.content, c.server.conns.maxConns)
		if err != nil {
			return fmt.Errorf("%w: %w", errFraming, err)
		}
		c.write(answer)
	case typeBeginRequest, typeAbortRequest, typeParams, typeStdin, typeData:
		return fmt.Errorf("%w: record of type %d without a request", errFraming, rec.kind)
	default:
		c.write(appendUnknownType(c.server.scratch[:0], rec.kind))
	}
	return nil
}

// markEstablished notes that the client sends complete requests: from now on only the rest of a record is awaited.
func (c *conn) markEstablished() {
	if !c.established {
		c.established = true
		c.stopInputTimer()
	}
	c.server.conns.update(c, c.server.loop.Now())
}

// endRequest removes a request that has ended and writes its last records. The connection is closed after its last
// request if a client asked for that.
func (c *conn) endRequest(ended *request, records []byte) {
	delete(c.requests, ended.id)
	c.markEstablished()
	c.write(records)
	if !ended.keepConn {
		c.closeWhenIdle = true
	}
	if c.closeWhenIdle && len(c.requests) == 0 {
		c.closeWhenSent()
	}
	c.closeIfDrained()
}

// startInputTimer bounds the wait for the first request, or for the rest of a record. It does not extend a wait that has
// begun.
func (c *conn) startInputTimer() {
	if !c.awaitingInput {
		c.awaitingInput = true
		c.server.loop.SetDeadline(&c.timer, c.server.loop.Now()+requestTimeout)
	}
}

func (c *conn) stopInputTimer() {
	if c.awaitingInput {
		c.awaitingInput = false
		c.server.loop.ClearDeadline(&c.timer)
	}
}

// timerFired goes on with a lingering connection, and closes one whose input did not come. Requests that the dispatcher
// has are answered first.
func (c *conn) timerFired() {
	c.awaitingInput = false
	if c.lingerUntil > 0 {
		c.closeWhenSent()
		return
	}
	for _, req := range c.requests {
		if req.submitted != 0 {
			c.startInputTimer()
			return
		}
	}
	c.server.warn("client closed: no complete request or record in time", nil)
	for _, req := range c.requests {
		req.respond(http.StatusRequestTimeout, "", nil)
	}
	c.closeWhenSent()
}

// closeWhenSent closes the connection once everything that was written is sent, after lingerTimeout at the latest.
// Nothing more is read.
//
// It guards against truncated answers: what the system does not take at once waits in the program, and a close drops it.
func (c *conn) closeWhenSent() {
	if c.socket == nil {
		return
	}
	now := c.server.loop.Now()
	timedOut := c.lingerUntil > 0 && now >= c.lingerUntil
	if timedOut || c.socket.OutboundBuffered() == 0 {
		c.close()
		return
	}
	if c.lingerUntil == 0 {
		c.lingerUntil = now + lingerTimeout
	}
	c.server.loop.SetDeadline(&c.timer, now+lingerPollInterval)
}

func (c *conn) close() {
	if c.socket != nil {
		// On the event loop gnet closes the connection at once and calls Closed, whatever the error.
		_ = c.socket.EventLoop().Close(c.socket)
	}
}

// Closed releases the requests that are open, and withdraws those that the dispatcher has.
func (c *conn) Closed(gnet.Conn, error) {
	server := c.server
	c.socket = nil
	server.unsent.remove(c)
	server.conns.remove(c)
	c.awaitingInput = false
	server.loop.ClearDeadline(&c.timer)
	for _, req := range c.requests {
		req.release()
		if req.submitted != 0 {
			server.dispatcher.Cancel(req.submitted)
		}
	}
}
