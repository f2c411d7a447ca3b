package fastcgi

import (
	"container/list"
	"net/http"
	"time"

	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/eventloop"

	"github.com/panjf2000/gnet/v2"
)

const (
	// firstRequestGrace is how long after connecting a client that means to send a request has done so.
	firstRequestGrace = 250 * time.Millisecond
	// clientKeepAlive is how long after its last request a client closes a connection by itself.
	clientKeepAlive = 4 * time.Second
)

// Accept returns the handler of a new connection, or nil if there are too many and none can be closed for it.
func (s *Server) Accept(socket gnet.Conn) eventloop.ConnHandler {
	if s.connCount >= s.maxConns && !s.evictConn() {
		s.warn("client rejected: too many connections", nil)
		return nil
	}
	s.connCount++
	s.lastReceived = s.loop.Now()
	accepted := &conn{server: s, socket: socket, requests: map[requestID]*request{}}
	accepted.timer.Fire = accepted.timerFired
	accepted.startInputTimer()
	accepted.updateList()
	return accepted
}

// evictConn closes the connection that will be missed least, and reports whether there was one: a connection idle for
// longer than clients keep any; else one whose first request is overdue; else the one idle for longest; else the one
// accepted first.
//
// It guards against clients that occupy connections for good so that others find no capacity. Where each request comes
// on a connection of its own, the connection accepted last must not be the next to go: its request is on its way.
func (s *Server) evictConn() bool {
	victim, idleFor := s.oldestFlushed(&s.idle)
	silent, silentFor := s.oldestFlushed(&s.withoutRequest)
	if silent != nil && idleFor <= clientKeepAlive && (victim == nil || silentFor > firstRequestGrace) {
		victim = silent
	}
	if victim == nil {
		return false
	}
	victim.close()
	return true
}

// oldestFlushed returns the first connection of a list that has nothing unsent, and for how long it has been in the
// list; nil and 0 if there is none. A connection whose answer is not sent completely is idle in name only.
func (s *Server) oldestFlushed(conns *list.List) (*conn, time.Duration) {
	for element := conns.Front(); element != nil; element = element.Next() {
		candidate := element.Value.(*conn)
		if candidate.socket.OutboundBuffered() == 0 {
			return candidate, s.loop.Now() - candidate.listedAt
		}
	}
	return nil, 0
}

// updateList moves a connection to the list that matches its state.
func (c *conn) updateList() {
	target := c.matchingList()
	if target == c.list {
		return
	}
	if c.list != nil {
		c.list.Remove(c.listElement)
	}
	c.list = target
	if target != nil {
		c.listElement = target.PushBack(c)
		c.listedAt = c.server.loop.Now()
	}
}

// matchingList is the list of connections without a request or of idle ones; nil for a connection that is closed or has
// requests open.
func (c *conn) matchingList() *list.List {
	switch {
	case c.socket == nil:
		return nil
	case !c.established:
		return &c.server.withoutRequest
	case len(c.requests) == 0:
		return &c.server.idle
	default:
		return nil
	}
}

// borrowBuffer returns a buffer of the pool for a request, or nil if none is free.
//
// It guards against requests that begin by the thousand and are never completed: until they time out they would hold all
// buffers. The one that began first is rejected, once it has had as long as a client takes that means to send it.
func (s *Server) borrowBuffer(borrower *request) *bufferpool.Buffer {
	buffer := s.pool.Get()
	for buffer == nil {
		element := s.incomplete.Front()
		if element == nil {
			return nil
		}
		oldest := element.Value.(*request)
		if oldest == borrower || s.loop.Now()-oldest.begunAt < firstRequestGrace {
			return nil // those after it are younger
		}
		oldest.reject(http.StatusRequestTimeout, errBuffersNeeded)
		buffer = s.pool.Get()
	}
	return buffer
}
