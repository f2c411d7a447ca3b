package fastcgi

import (
	"time"

	"calicohill/internal/runtime/eventloop"
)

// backlog is what a connection had received when a turn began that may not be enough for it. The system tells only when the
// latest bytes of a connection were received, which are not those at its front once others have followed.
type backlog struct {
	receivedBy time.Duration // when all of it had been received
	bytes      int           // that are left of it; 0 or less if it has been handled
}

// startBacklog is called at the start of a turn with the number of bytes that were read. It does nothing while the previous
// backlog is not handled, or if the turn is long enough for all.
func (c *conn) startBacklog(read int) {
	if c.backlog.bytes > 0 || read < eventloop.MinTurnBytes {
		return
	}
	c.backlog = backlog{
		receivedBy: c.server.loop.Now() - eventloop.UnreadFor(c.socket),
		bytes:      read + eventloop.Unread(c.socket),
	}
}

// unreadFor returns how long the bytes that are being handled had waited.
func (c *conn) unreadFor() time.Duration {
	if c.backlog.bytes > 0 {
		return c.server.loop.Now() - c.backlog.receivedBy
	}
	return eventloop.UnreadFor(c.socket)
}
