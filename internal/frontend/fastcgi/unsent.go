package fastcgi

import (
	"time"

	"calicohill/internal/runtime/outbound"
)

const (
	// flushInterval is the interval at which short records that wait behind unsent bytes are passed to the socket.
	flushInterval = 2 * time.Millisecond
	// maxCollectedReplies is the number of bytes at which collected replies are written.
	maxCollectedReplies = 16 << 10
)

// UnsentBytes implements outbound.Conn.
func (c *conn) UnsentBytes() int { return c.socket.OutboundBuffered() + len(c.waiting) }

// write writes records, which may have been built in the server's scratch buffer. It does nothing if the connection is
// closed. While received records are handled, the replies are collected, so that they leave in one write.
func (c *conn) write(records []byte) {
	if c.socket == nil {
		return
	}
	c.server.reuseScratch(records)
	if !c.reading {
		c.writeNow(records)
		return
	}
	c.server.replies = append(c.server.replies, records...)
	if len(c.server.replies) >= maxCollectedReplies {
		c.writeReplies()
	}
}

// writeReplies writes the collected replies, which are those of the connection that is handling received records.
func (c *conn) writeReplies() {
	replies := c.server.replies
	c.server.replies = replies[:0]
	if c.socket != nil && len(replies) > 0 {
		c.writeNow(replies)
	}
}

// writeNow writes records and applies the limits on unsent bytes.
func (c *conn) writeNow(records []byte) {
	if c.UnsentBytes() == 0 {
		c.progress = sendProgress{}
	}
	c.progress.written += len(records)
	c.server.writes++
	c.writeInOrder(records)
	if c.socket != nil && c.UnsentBytes() > 0 {
		c.trackUnsent()
	}
}

// writeInOrder writes records behind those that wait. Behind unsent bytes, short records are collected: each write takes
// a buffer of its own, which may be several times as large as an END_REQUEST record.
func (c *conn) writeInOrder(records []byte) {
	if len(records) < outbound.PieceSize && c.UnsentBytes() > 0 {
		c.waiting = append(c.waiting, records...)
		if len(c.waiting) >= outbound.PieceSize {
			c.writeWaiting()
		} else {
			c.server.flushTimer.start(c.server.loop, flushInterval)
		}
		return
	}
	c.writeWaiting()
	if c.socket != nil {
		// After an error, gnet closes the connection and calls Closed.
		_, _ = outbound.Write(c.socket, records)
	}
}

// writeWaiting passes the collected records to the socket.
func (c *conn) writeWaiting() {
	if len(c.waiting) == 0 {
		return
	}
	records := c.waiting
	c.waiting = nil
	_, _ = outbound.Write(c.socket, records)
}

// flush passes collected records to the sockets that have sent almost all else.
func (s *Server) flush() {
	s.unsent.All(func(c *conn) {
		if len(c.waiting) > 0 && c.socket.OutboundBuffered() < outbound.PieceSize {
			c.writeWaiting()
		}
		if len(c.waiting) > 0 {
			s.flushTimer.start(s.loop, flushInterval)
		}
	})
}
