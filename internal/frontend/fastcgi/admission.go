package fastcgi

import (
	"calicohill/internal/runtime/eventloop"

	"github.com/panjf2000/gnet/v2"
)

// Accept returns the handler of a new connection. It returns nil, which rejects the connection, if the connection limit
// is reached and no open connection can be evicted.
func (s *Server) Accept(socket gnet.Conn) eventloop.ConnHandler {
	if s.conns.isFull() && !s.evictConn() {
		s.warn("client rejected: too many connections", nil)
		return nil
	}
	s.recordReceived()
	accepted := &conn{server: s, socket: socket, requests: map[requestID]*request{}}
	accepted.timer.Fire = accepted.timerFired
	accepted.startInputTimer()
	s.conns.add(accepted, s.loop.Now())
	return accepted
}

// AcceptFailed logs that a connection could not be accepted. It stays in the listen backlog and is accepted later.
func (s *Server) AcceptFailed(err error) { s.warn("accept failed", err) }

// evictConn closes the best eviction candidate and reports whether there was one.
func (s *Server) evictConn() bool {
	victim := s.conns.evictionCandidate(s.loop.Now())
	if victim == nil {
		return false
	}
	victim.close()
	return true
}
