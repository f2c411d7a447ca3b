package discovery

import (
	"errors"
	"fmt"
	"time"

	"calicohill/internal/discovery/pollplan"

	"github.com/panjf2000/gnet/v2"
)

// errConnectionClosed is the error for a connection that the service closed without an error.
var errConnectionClosed = errors.New("closed")

// connection is a connection to the list service, with one poll at a time. It belongs to a Watcher, implements
// eventloop.ConnHandler and is used on the event loop only. Its reader limits what is kept of a response.
type connection struct {
	watcher *Watcher
	number  int       // assigned by the planner
	socket  gnet.Conn // nil before the connection is established and after it is closed
	reader  responseReader
}

// isOpen reports whether the Watcher still uses the connection.
func (c *connection) isOpen() bool { return c.watcher.connections[c.number] == c }

// poll sends a poll.
func (c *connection) poll(timeout time.Duration) {
	// A failed write closes the connection, so Closed reports it.
	_, _ = c.socket.Write(c.watcher.pollRequest(timeout))
}

func (c *connection) close() {
	if c.socket != nil {
		closeSocket(c.socket)
	}
}

// closeSocket closes a socket that is no longer used. Close fails only if the socket is already closed.
func closeSocket(socket gnet.Conn) { _ = socket.EventLoop().Close(socket) }

// fail reports the failure of the connection to the planner, unless the Watcher no longer uses the connection.
// retryAfter is the value of the service's Retry-After header; 0 if absent.
func (c *connection) fail(err error, retryAfter time.Duration) {
	if c.isOpen() {
		c.watcher.failed(c.number, err, retryAfter)
	}
}

// Opened is called by the event loop when the connection is established.
func (c *connection) Opened(socket gnet.Conn) {
	c.socket = socket
	if !c.isOpen() { // closed by the planner while dialing
		closeSocket(socket)
		return
	}
	c.watcher.step(pollplan.Connected{Conn: c.number})
}

// Readable is called by the event loop when data was received. It handles the response to a poll once it is complete.
// Nothing stays in the socket's receive buffer, of which a copy is made each time more is received.
func (c *connection) Readable(socket gnet.Conn) (more bool, err error) {
	received, _ := socket.Peek(-1) // all buffered bytes; Peek fails only for more than are buffered
	c.receive(received)
	if c.socket == nil {
		return false, nil
	}
	if _, err := socket.Discard(len(received)); err != nil {
		return false, fmt.Errorf("resuming reads: %w", err)
	}
	return true, nil
}

// ReceiveMore is called by the event loop when more data was received.
func (c *connection) ReceiveMore(received []byte) (handled int, err error) {
	c.receive(received)
	return len(received), nil
}

// receive reads a part of a response, and handles it once it is complete.
func (c *connection) receive(received []byte) {
	rest, err := c.reader.read(received)
	if err == nil && c.reader.isComplete() {
		err = c.handleResponse(rest)
	}
	if err != nil {
		var status statusError
		errors.As(err, &status)
		c.fail(err, status.retryAfter)
	}
}

// handleResponse applies a complete response and reports it to the planner. The rest was received after it.
func (c *connection) handleResponse(rest []byte) error {
	result, err := c.watcher.events.applyResponse(c.reader.body)
	if err != nil {
		return err
	}
	closing := c.reader.header.closing
	c.reader.reset()
	if _, err := c.reader.read(rest); err != nil {
		return err
	}
	c.watcher.answered(c.number, result, closing)
	return nil
}

// Closed is called by the event loop when the connection is closed.
func (c *connection) Closed(_ gnet.Conn, err error) {
	c.socket = nil
	c.reader.reset()
	if err == nil {
		err = errConnectionClosed
	}
	c.fail(err, 0)
}
