package fastcgi

import "calicohill/internal/runtime/outbound"

const (
	// unsentShareFactor limits what a connection may have unsent to this multiple of the memory that is left for all
	// clients. So a few slow readers can use most of it, and some is always left for the next one.
	unsentShareFactor = 4
	// shortResponseDivisor sets the share of the memory for unsent bytes that is left for short responses and control
	// records: 1/8. They are always written.
	shortResponseDivisor = 8
	// responseOverhead is the maximum number of bytes of a response besides its body.
	responseOverhead = 1 << 10
)

// UnsentBytes returns the number of bytes that are buffered for clients and not sent yet.
func (s *Server) UnsentBytes() int { return s.unsent.Bytes() }

// maxUnsentPerConn returns the maximum number of unsent bytes on a connection: as many as the longest responses to all
// requests that it may have open. A client above it sends requests and does not read.
func (s *Server) maxUnsentPerConn() int {
	return maxRequestsPerConn * (s.maxResponseBytes + responseOverhead)
}

// trackUnsent begins to measure the progress of a connection with unsent bytes, and applies the limits on them.
func (c *conn) trackUnsent() {
	server := c.server
	unsent := c.UnsentBytes()
	if unsent > server.maxUnsentPerConn() {
		c.closeUnread()
		return
	}
	c.progress.start(server.loop.Now(), unsent)
	server.unsent.Add(c)
	server.progressTimer.start(server.loop, progressInterval)
	server.limitUnsent()
}

// closeUnread closes the connection because the client does not read.
func (c *conn) closeUnread() {
	c.server.warn("client connection closed: client does not read", nil)
	c.close()
}

// checkProgress measures the progress of the connections with unsent bytes, and closes those of clients that have
// stopped reading.
func (s *Server) checkProgress() {
	now := s.loop.Now()
	s.unsent.All(func(c *conn) {
		// The system reports a socket as writable only once much of its buffer is free, seconds later for a slow reader.
		_ = c.socket.Flush() // after an error, gnet closes the connection and calls Closed
		if c.socket == nil || c.UnsentBytes() == 0 {
			return
		}
		s.progressTimer.start(s.loop, progressInterval)
		c.progress.check(now, c.UnsentBytes())
		if c.progress.hasStopped(now) {
			c.closeUnread()
		}
	})
}

// hasRoomForBody reports whether a response with a body of that many bytes may be written. A short one may. A long one
// has to fit into the connection's share of the memory for unsent bytes, for which connections of slow readers give way,
// unless the client itself is a slow reader with as much unsent. If nothing is unsent, it is enough that the system
// accepts it.
func (c *conn) hasRoomForBody(length int) bool {
	if c.socket == nil || length <= responseOverhead {
		return true
	}
	unsent := c.UnsentBytes()
	after := unsent + length + responseOverhead
	for !c.server.hasUnsentShare(unsent, after) {
		if unsent == 0 && outbound.SystemRoom(c.socket) >= after {
			return true
		}
		slowest := c.server.largestSlowReader()
		if slowest == nil || slowest == c || c.progress.slow && slowest.UnsentBytes() <= after {
			return false
		}
		slowest.closeForMemory()
	}
	return true
}

// hasUnsentShare reports whether the unsent bytes of a connection may grow by a long response.
func (s *Server) hasUnsentShare(before, after int) bool {
	growth := outbound.MemoryFor(0, after-before)
	left := s.maxUnsentMemory - s.maxUnsentMemory/shortResponseDivisor - s.unsent.Memory() - growth
	return left >= 0 && outbound.MemoryFor(1, after) <= unsentShareFactor*left
}

// largestSlowReader returns the connection with the most unsent bytes among those of slow readers, or nil.
func (s *Server) largestSlowReader() *conn {
	var largest *conn
	s.unsent.All(func(c *conn) {
		if c.progress.slow && (largest == nil || c.UnsentBytes() > largest.UnsentBytes()) {
			largest = c
		}
	})
	return largest
}

// limitUnsent closes connections until the memory of all unsent bytes is within maxUnsentMemory. Slow readers go first,
// then connections with the most unsent bytes.
func (s *Server) limitUnsent() {
	for {
		memory := s.unsent.Memory()
		if memory <= s.maxUnsentMemory {
			s.highestUnsentMemory = max(s.highestUnsentMemory, memory)
			return
		}
		victim := s.largestSlowReader()
		if victim == nil {
			victim, _ = s.unsent.Largest()
		}
		if victim == nil {
			return
		}
		victim.closeForMemory()
	}
}

// closeForMemory closes the connection to release the memory of its unsent bytes.
func (c *conn) closeForMemory() {
	c.server.warn("client connection closed: too many unsent bytes for all clients", nil)
	c.close()
}
