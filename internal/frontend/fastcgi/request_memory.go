package fastcgi

import (
	"errors"
	"net/http"

	"calicohill/internal/runtime/bufferpool"
)

// requestBytes is the memory that an open request takes besides its buffers and its affinity key: its record, its
// entries in tables, and values of limited length.
const requestBytes = 1 << 10

// incompleteRequests lists the requests that have not been received completely, oldest first. It belongs to a Server
// and is used only on the event loop. Its size is bounded by requestTimeout and by the limit of the pool.
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

// makeRoom makes room in the pool for that many bytes on behalf of a request. It returns false if there is none, or if
// the request has ended meanwhile.
//
// If the pool is exhausted, requests that are not complete give way, so that clients that begin requests and do not
// complete them cannot keep others from being served.
func (s *Server) makeRoom(borrower *request, bytes int) bool {
	for !s.pool.Fits(bytes) {
		if !s.reclaimFor(borrower, bytes) {
			return false
		}
	}
	return !borrower.released
}

// reclaimFor ends one request that is not complete and returns true, or returns false if the borrower has the least
// claim itself. The request that ends is the largest one of the connection whose incomplete requests hold the most
// memory, provided that they hold more than those of the borrower's connection would. Otherwise it is the oldest one,
// if it is older than firstRequestGrace.
func (s *Server) reclaimFor(borrower *request, bytes int) bool {
	if borrower.released {
		return false
	}
	if holder := s.conns.largestHolder(); holder != nil && holder.incompleteBytes > borrower.conn.incompleteBytes+bytes {
		holder.largestIncomplete().shed()
		return true
	}
	oldest, ok := s.incomplete.oldest()
	if !ok || oldest == borrower || s.loop.Now()-oldest.begunAt < firstRequestGrace {
		return false
	}
	oldest.reject(http.StatusRequestTimeout, errMemoryReclaimed)
	return true
}

// largestHolder returns the connection whose incomplete requests hold the most memory, or nil if none holds any.
func (t *connTable) largestHolder() *conn {
	var largest *conn
	for c := range t.open {
		if c.incompleteBytes > 0 && (largest == nil || c.incompleteBytes > largest.incompleteBytes) {
			largest = c
		}
	}
	return largest
}

// largestIncomplete returns the incomplete request of the connection that holds the most memory. It must only be called
// if there is one.
func (c *conn) largestIncomplete() *request {
	var largest *request
	for _, candidate := range c.requests {
		if candidate.incompleteBytes > 0 && (largest == nil || candidate.incompleteBytes > largest.incompleteBytes) {
			largest = candidate
		}
	}
	return largest
}

// reserveRecord reserves the memory of a new request and gets the buffer for its parameters. It returns false if there
// is no room.
func (r *request) reserveRecord() bool {
	server := r.conn.server
	if !server.makeRoom(r, requestBytes) || !server.pool.Reserve(requestBytes) {
		return false
	}
	r.reserved = requestBytes
	r.params = r.getBuffer()
	return r.params != nil
}

// reserveAffinity reserves the memory of the affinity key. It returns false if there is no room.
func (r *request) reserveAffinity() bool {
	server := r.conn.server
	keyLen := len(r.call.Affinity)
	if !server.makeRoom(r, keyLen) || !server.pool.Reserve(keyLen) {
		return false
	}
	r.reserved += keyLen
	r.countIncomplete()
	return true
}

// getBuffer returns an empty buffer, or nil if there is no room.
func (r *request) getBuffer() *bufferpool.Buffer {
	server := r.conn.server
	buffer := server.pool.Get()
	if buffer == nil && server.makeRoom(r, bufferpool.MinSize) {
		buffer = server.pool.Get()
	}
	return buffer
}

// appendTo appends content to one of the request's buffers. The error is one of those of bufferpool.Pool.Append.
func (r *request) appendTo(buffer *bufferpool.Buffer, content []byte) error {
	server := r.conn.server
	err := server.pool.Append(buffer, content)
	if errors.Is(err, bufferpool.ErrExhausted) && server.makeRoom(r, bufferpool.GrowthFor(buffer, content)) {
		err = server.pool.Append(buffer, content)
	}
	r.countIncomplete()
	return err
}

// countIncomplete updates the memory that the request and its connection hold for requests that are not complete.
func (r *request) countIncomplete() {
	held := 0
	if r.incompleteElement != nil {
		held = r.reserved + r.params.Capacity() + r.body.Capacity()
	}
	r.conn.incompleteBytes += held - r.incompleteBytes
	r.incompleteBytes = held
}

// release frees the resources of the request. Repeated calls have no effect.
func (r *request) release() {
	server := r.conn.server
	r.released = true
	server.incomplete.remove(r)
	server.loop.ClearDeadline(&r.timer)
	server.requests.Remove(r.ref)
	server.pool.Put(r.params)
	server.pool.Put(r.body)
	server.pool.Release(r.reserved)
	r.params = nil
	r.body = nil
	r.reserved = 0
	r.countIncomplete()
}
