package fastcgi

const (
	// maxUnsentPerConn is the maximum number of unsent bytes on a connection. A client above it counts as not reading.
	maxUnsentPerConn = 4 << 20
)

// unsentConns tracks the connections that may have bytes that the kernel has not accepted yet. It belongs to a Server
// and is used only on the event loop. Server.limitUnsent keeps the total within Options.MaxUnsentBytes.
type unsentConns struct{ conns map[*conn]struct{} }

// add adds a connection that has unsent bytes.
func (u *unsentConns) add(c *conn) { u.conns[c] = struct{}{} }

// remove removes a closed connection.
func (u *unsentConns) remove(c *conn) { delete(u.conns, c) }

// bytes returns the total number of unsent bytes. It removes connections that have none left.
func (u *unsentConns) bytes() int {
	total := 0
	for c := range u.conns {
		unsent := c.socket.OutboundBuffered()
		if unsent == 0 {
			delete(u.conns, c)
		}
		total += unsent
	}
	return total
}

// slowestReader returns the connection with the most unsent bytes, or nil if there is none.
func (u *unsentConns) slowestReader() *conn {
	var slowest *conn
	for c := range u.conns {
		if slowest == nil || c.socket.OutboundBuffered() > slowest.socket.OutboundBuffered() {
			slowest = c
		}
	}
	return slowest
}

// UnsentBytes returns the number of bytes that are buffered for clients and not sent yet.
func (s *Server) UnsentBytes() int { return s.unsent.bytes() }

// limitUnsent closes connections, the one with the most unsent bytes first, until the total for all clients is within
// maxUnsentBytes.
func (s *Server) limitUnsent() {
	for s.UnsentBytes() > s.maxUnsentBytes {
		s.warn("client connection closed: too many unsent bytes for all clients", nil)
		s.unsent.slowestReader().close()
	}
}
