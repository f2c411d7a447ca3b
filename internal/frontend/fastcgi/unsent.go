package fastcgi

const (
	// maxUnsentPerConn is how many bytes may wait unsent for a client until it counts as not reading.
	maxUnsentPerConn = 4 << 20
)

// unsentConns holds the connections that may have bytes which the system has not taken yet. It belongs to a Server and is
// used on the event loop only. Server.limitUnsent keeps their bytes below Options.MaxUnsentBytes.
type unsentConns struct{ conns map[*conn]struct{} }

// add adds a connection on which something waits.
func (u *unsentConns) add(c *conn) { u.conns[c] = struct{}{} }

// remove removes a connection that is closed.
func (u *unsentConns) remove(c *conn) { delete(u.conns, c) }

// bytes returns how many bytes wait, and removes the connections on which nothing waits any more.
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

// slowestReader returns the connection with the most unsent bytes; nil if nothing is unsent.
func (u *unsentConns) slowestReader() *conn {
	var slowest *conn
	for c := range u.conns {
		if slowest == nil || c.socket.OutboundBuffered() > slowest.socket.OutboundBuffered() {
			slowest = c
		}
	}
	return slowest
}

// UnsentBytes returns how many bytes are written for clients and not sent yet.
func (s *Server) UnsentBytes() int { return s.unsent.bytes() }

// limitUnsent closes connections whose clients do not read, the one with the most unsent bytes first, until what waits
// for all clients is within its bound.
func (s *Server) limitUnsent() {
	for s.UnsentBytes() > s.maxUnsentBytes {
		s.warn("client closed: too much waits for clients that do not read", nil)
		s.unsent.slowestReader().close()
	}
}
