package discovery

import (
	"errors"
	"fmt"
	"time"

	"calicohill/internal/discovery/pollplan"

	"github.com/panjf2000/gnet/v2"
)

// errConnectionClosed is logged for a connection that the service closed without an error.
var errConnectionClosed = errors.New("closed")

// connection is a connection to the list service, with one poll at a time. It belongs to a Watcher, is its own
// eventloop.ConnHandler and is used on the event loop only. parseResponse bounds what is buffered of a response.
type connection struct {
	watcher *Watcher
	number  int       // the planner's
	socket  gnet.Conn // nil until it is up and once it is gone
}

// isOpen reports whether the Watcher still uses the connection.
func (c *connection) isOpen() bool { return c.watcher.connections[c.number] == c }

// poll sends a poll.
func (c *connection) poll(timeout time.Duration) {
	// A failed write closes the connection and is seen by Closed.
	_, _ = c.socket.Write(c.watcher.pollRequest(timeout))
}

// close closes the socket, if there is one.
func (c *connection) close() {
	if c.socket != nil {
		closeSocket(c.socket)
	}
}

// closeSocket closes a socket that is no longer used. The only error is that it is closed already.
func closeSocket(socket gnet.Conn) { _ = socket.EventLoop().Close(socket) }

// fail reports to the planner that the connection failed, unless it is no longer used. retryAfter is how long the service
// asked not to be polled; 0 if it did not.
func (c *connection) fail(err error, retryAfter time.Duration) {
	if c.isOpen() {
		c.watcher.failed(c.number, err, retryAfter)
	}
}

// Opened is called by the event loop when the connection is up.
func (c *connection) Opened(socket gnet.Conn) {
	c.socket = socket
	if !c.isOpen() { // the planner closed it during the dial
		closeSocket(socket)
		return
	}
	c.watcher.step(pollplan.Connected{Conn: c.number})
}

// Readable is called by the event loop when bytes were received. It handles the response to a poll once it is complete.
func (c *connection) Readable(socket gnet.Conn) error {
	buffered, _ := socket.Peek(-1) // it is an error only to ask for more than there is
	if len(buffered) == 0 {
		return nil
	}
	resp, err := parseResponse(buffered)
	if err == nil && resp.size == 0 {
		return nil
	}
	result := unchanged
	if err == nil {
		result, err = c.watcher.events.applyResponse(resp.body)
	}
	if err != nil {
		var status statusError
		errors.As(err, &status)
		c.fail(err, status.retryAfter)
		return nil
	}
	if _, err := socket.Discard(resp.size); err != nil {
		return fmt.Errorf("resuming reads: %w", err)
	}
	c.watcher.answered(c.number, result, resp.closing)
	return nil
}

// Closed is called by the event loop when the connection is gone.
func (c *connection) Closed(_ gnet.Conn, err error) {
	c.socket = nil
	if err == nil {
		err = errConnectionClosed
	}
	c.fail(err, 0)
}
