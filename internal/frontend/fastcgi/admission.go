package fastcgi

import (
	"net/http"

	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/eventloop"

	"github.com/panjf2000/gnet/v2"
)

// Accept returns the handler of a new connection, or nil if there are too many and none can be closed for it.
func (s *Server) Accept(socket gnet.Conn) eventloop.ConnHandler {
	if s.conns.isFull() && !s.evictConn() {
		s.warn("client rejected: too many connections", nil)
		return nil
	}
	s.noteReceived()
	accepted := &conn{server: s, socket: socket, requests: map[requestID]*request{}}
	accepted.timer.Fire = accepted.timerFired
	accepted.startInputTimer()
	s.conns.add(accepted, s.loop.Now())
	return accepted
}

// AcceptFailed notes that a connection could not be accepted; it waits, and is accepted later.
func (s *Server) AcceptFailed(err error) { s.warn("accept failed", err) }

// evictConn closes the connection that will be missed least, and reports whether there was one.
func (s *Server) evictConn() bool {
	victim := s.conns.evictionCandidate(s.loop.Now())
	if victim == nil {
		return false
	}
	victim.close()
	return true
}

// incompleteRequests holds the requests that are not complete, in the order in which they began. It belongs to a Server
// and is used on the event loop only. requestTimeout and the buffers that its requests hold bound it.
type incompleteRequests struct{ requests orderedList[*request] }

// add adds a request that begins.
func (l *incompleteRequests) add(begun *request) { begun.incompleteElement = l.requests.add(begun) }

// remove removes a request of which nothing more is awaited. It may be called again.
func (l *incompleteRequests) remove(done *request) {
	if done.incompleteElement != nil {
		l.requests.remove(done.incompleteElement)
		done.incompleteElement = nil
	}
}

// oldest returns the request that began first; false if all are complete.
func (l *incompleteRequests) oldest() (*request, bool) { return l.requests.first() }

// borrowBuffer returns a buffer of the pool for a request, or nil if none is free.
//
// It guards against requests that begin by the thousand and are never completed: until they time out they would hold all
// buffers. The one that began first is rejected, once it has had as long as a client takes that means to send it.
func (s *Server) borrowBuffer(borrower *request) *bufferpool.Buffer {
	buffer := s.pool.Get()
	for buffer == nil {
		oldest, ok := s.incomplete.oldest()
		if !ok {
			return nil
		}
		if oldest == borrower || s.loop.Now()-oldest.begunAt < firstRequestGrace {
			return nil // those after it are younger
		}
		oldest.reject(http.StatusRequestTimeout, errBuffersNeeded)
		buffer = s.pool.Get()
	}
	return buffer
}
