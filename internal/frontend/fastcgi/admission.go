package fastcgi

import (
	"net/http"

	"calicohill/internal/runtime/bufferpool"
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

// incompleteRequests lists the requests that have not been received completely, oldest first. It belongs to a Server
// and is used only on the event loop. Its size is bounded by requestTimeout and by the size of the buffer pool.
type incompleteRequests struct{ requests orderedList[*request] }

// add appends a new request.
func (l *incompleteRequests) add(begun *request) { begun.incompleteElement = l.requests.add(begun) }

// remove removes a request that is complete or has ended. Repeated calls have no effect.
func (l *incompleteRequests) remove(done *request) {
	if done.incompleteElement != nil {
		l.requests.remove(done.incompleteElement)
		done.incompleteElement = nil
	}
}

// oldest returns the oldest request. It returns false if all requests are complete.
func (l *incompleteRequests) oldest() (*request, bool) { return l.requests.first() }

// borrowBuffer returns a buffer from the pool for a request, or nil if none is free.
//
// If the pool is empty, it rejects the oldest incomplete request, provided that this request is older than
// firstRequestGrace. Otherwise thousands of requests that are begun but never completed could hold all buffers until
// they time out.
func (s *Server) borrowBuffer(borrower *request) *bufferpool.Buffer {
	buffer := s.pool.Get()
	for buffer == nil {
		oldest, ok := s.incomplete.oldest()
		if !ok {
			return nil
		}
		if oldest == borrower || s.loop.Now()-oldest.begunAt < firstRequestGrace {
			return nil // all other requests are younger
		}
		oldest.reject(http.StatusRequestTimeout, errBuffersReclaimed)
		buffer = s.pool.Get()
	}
	return buffer
}
