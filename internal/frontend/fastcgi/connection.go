package fastcgi

import (
	"net/http"
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"

	"github.com/panjf2000/gnet/v2"
)

const (
	// requestTimeout limits the time from the first to the last record of a request, from the first to the last byte of
	// a record, and from the accept of a connection to its first complete request. Every client must get a response
	// or a close within 3 s of connecting, whatever it sends.
	requestTimeout = 2 * time.Second
	// lingerPollInterval is the interval at which a lingering connection is checked for unsent bytes.
	lingerPollInterval = 20 * time.Millisecond
)

// conn is a client's connection from accept to close. It handles records, limits the wait for input, and lingers until
// responses are sent before it closes. It implements eventloop.ConnHandler and is used only on the event loop. It
// carries at most maxRequestsPerConn requests, and buffers at most the longest responses to them. Of a record that is not
// complete it holds at most maxGetValuesLen bytes: the content of streams goes to the requests as it is received.
type conn struct {
	server   *Server
	socket   gnet.Conn // nil after the close
	clientIP string    // cache of clientAddress; "" until its first call
	requests map[requestID]*request
	parser   recordParser
	control  []byte // received content of a control record that is not complete; nil otherwise
	waiting  []byte // records that are not passed to the socket yet, less than outbound.PieceSize
	progress sendProgress
	backlog  backlog
	budget   turnBudget

	unknownSince    time.Duration // start of the latest records of unknown types with no other record between; 0 if none
	incompleteBytes int           // memory of the requests that are not complete

	established bool      // a request was completed or answered
	listEntry   listEntry // owned by the connTable

	hasRead       bool           // Readable was called
	reading       bool           // Readable is handling records
	timer         deadline.Timer // for input, or for output while the connection lingers
	awaitingInput bool           // timer is set for the first request or for the rest of a record
	closeWhenIdle bool           // close once no request is open
	lingering     bool           // close once all written bytes are sent; nothing more is read
}

// Opened does nothing, because the client sends first.
func (c *conn) Opened(gnet.Conn) {}

// closeIfDrained closes the connection if the server is draining and the connection has no open request, no partially
// received record, no unsent response and nothing that waits for its next turn.
func (c *conn) closeIfDrained() {
	if !c.server.draining || c.socket == nil || c.reading || c.awaitingInput || len(c.requests) > 0 {
		return
	}
	if c.UnsentBytes() == 0 && eventloop.Unread(c.socket) == 0 {
		c.close()
	}
}

// markEstablished records that the client has completed a request. From now on, the input timer runs only while a
// record is incomplete.
func (c *conn) markEstablished() {
	if !c.established {
		c.established = true
		if !c.parser.midRecord() {
			c.stopInputTimer()
		}
	}
	c.updateTable()
}

// updateTable updates the table of connections after a request has begun or ended. While received records are handled, it
// waits for the last one.
func (c *conn) updateTable() {
	if !c.reading {
		c.server.conns.update(c, c.server.loop.Now())
	}
}

// endRequest removes a request that has ended and writes its last records. If a request did not ask to keep the
// connection open, the connection is closed after the last open request.
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

// startInputTimer limits the wait for the first request or for the rest of a record. It does not restart a running
// timer.
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

// timerFired closes a connection whose input timed out, or continues the close of a lingering one. A connection with
// submitted requests stays open until they are answered.
func (c *conn) timerFired() {
	c.awaitingInput = false
	if c.lingering {
		c.closeWhenSent()
		return
	}
	for _, req := range c.requests {
		if req.submitted != 0 {
			c.startInputTimer()
			return
		}
	}
	c.server.warn("client connection closed: timed out waiting for a complete request or record", nil)
	for _, req := range c.requests {
		req.respond(http.StatusRequestTimeout, "", nil)
	}
	c.closeWhenSent()
}

// closeWhenSent stops reading and closes the connection once all written bytes are sent. If the client stops reading
// before, checkProgress closes it.
//
// An immediate close would truncate responses, because it drops bytes that the kernel has not accepted yet.
func (c *conn) closeWhenSent() {
	if c.reading {
		c.writeReplies()
	}
	if c.socket == nil {
		return
	}
	if c.UnsentBytes() == 0 {
		c.close()
		return
	}
	c.lingering = true
	c.server.loop.SetDeadline(&c.timer, c.server.loop.Now()+lingerPollInterval)
}

func (c *conn) close() {
	if c.socket != nil {
		// On the event loop, gnet closes the connection and calls Closed before it returns, whatever the error.
		_ = c.socket.EventLoop().Close(c.socket)
	}
}

// Closed releases the open requests and cancels those that were submitted to the dispatcher.
func (c *conn) Closed(gnet.Conn, error) {
	server := c.server
	c.socket = nil
	server.unsent.Remove(c)
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
