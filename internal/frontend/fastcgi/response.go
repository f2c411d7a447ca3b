package fastcgi

import (
	"fmt"
	"net/http"
	"strconv"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
)

const (
	// maxUnsentPerConn is how many bytes may wait unsent for a client until it counts as not reading.
	maxUnsentPerConn = 4 << 20

	// retryAfterHeader is the header field with the advice when to retry, in milliseconds.
	retryAfterHeader = "Back-Off-Ms"
)

// Respond writes the final answer to a request. One whose client has left meanwhile is ignored.
func (s *Server) Respond(tag slotmap.Ref, answer dispatch.Answer) {
	req, ok := s.requests.Get(tag)
	if !ok {
		return
	}
	switch answer.Status {
	case dispatch.Served:
		req.respond(http.StatusOK, "", answer.Body)
	case dispatch.Rejected:
		header := ""
		if ms := answer.RetryAfter.Milliseconds(); ms > 0 && s.deployment.HonorsRetryAfter {
			header = retryAfterHeader + ": " + strconv.FormatInt(ms, 10) + "\r\n"
		}
		req.respond(http.StatusServiceUnavailable, header, nil)
	default:
		req.respond(http.StatusBadGateway, "", nil)
	}
}

// answerHealthCheck answers whether the scheduler is ready.
func (r *request) answerHealthCheck() {
	if r.conn.server.dispatcher.HasEndpoints() {
		r.respond(http.StatusOK, "", []byte("ok\n"))
		return
	}
	r.respond(http.StatusServiceUnavailable, "", nil)
}

// shed ends a request for which there is no capacity, as OVERLOADED.
func (r *request) shed() {
	server := r.conn.server
	server.warn("request shed: too many are open", nil)
	r.finish(appendEndRequest(server.scratch[:0], r.id, statusOverloaded))
}

// reject answers a request that is not valid with an HTTP status.
func (r *request) reject(status int, reason error) {
	r.conn.server.warn("request rejected", fmt.Errorf("status %d: %w", status, reason))
	r.respond(status, "", nil)
}

// respond writes a complete answer. Each of the additional header lines ends with CRLF.
func (r *request) respond(status int, headerLines string, body []byte) {
	header := fmt.Appendf(nil, "Status: %d %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), headerLines, len(body))
	records := appendStream(r.conn.server.scratch[:0], typeStdout, r.id, header, body)
	r.finish(appendEndRequest(records, r.id, statusComplete))
}

// finish releases the request and then writes its last records.
func (r *request) finish(records []byte) {
	conn := r.conn
	r.release()
	delete(conn.requests, r.id)
	conn.markEstablished()
	conn.write(records)
	if !r.keepConn {
		conn.closeWhenIdle = true
	}
	if conn.closeWhenIdle && len(conn.requests) == 0 {
		conn.closeWhenSent()
	}
}

// write writes records, which may have been built in the server's scratch buffer; nothing if the connection is closed.
// A client that lets too much wait unsent is closed.
func (c *conn) write(records []byte) {
	if c.socket == nil {
		return
	}
	c.server.scratch = records[:0]
	// An error closes the connection, which Closed handles.
	_, _ = c.socket.Write(records)
	if c.socket == nil {
		return
	}
	unsent := c.socket.OutboundBuffered()
	switch {
	case unsent == 0:
	case unsent > maxUnsentPerConn:
		c.server.warn("client closed: it does not read", nil)
		c.close()
	default:
		c.server.unsentConns[c] = struct{}{}
		c.server.limitUnsent()
	}
}

// UnsentBytes returns how many bytes are written for clients and not sent yet.
func (s *Server) UnsentBytes() int {
	total := 0
	for conn := range s.unsentConns {
		unsent := conn.socket.OutboundBuffered()
		if unsent == 0 {
			delete(s.unsentConns, conn)
		}
		total += unsent
	}
	return total
}

// limitUnsent closes connections whose clients do not read, the one with the most unsent bytes first, until what waits
// for all clients is within its bound.
func (s *Server) limitUnsent() {
	for s.UnsentBytes() > s.maxUnsentBytes {
		s.warn("client closed: too much waits for clients that do not read", nil)
		s.slowestReader().close()
	}
}

// slowestReader returns the connection with the most unsent bytes; nil if nothing is unsent.
func (s *Server) slowestReader() *conn {
	var slowest *conn
	for conn := range s.unsentConns {
		if slowest == nil || conn.socket.OutboundBuffered() > slowest.socket.OutboundBuffered() {
			slowest = conn
		}
	}
	return slowest
}
