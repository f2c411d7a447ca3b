package fastcgi

import (
	"fmt"
	"net/http"
	"strconv"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
)

// retryAfterHeader is the header field for the time to wait before a retry, in milliseconds.
const retryAfterHeader = "Back-Off-Ms"

// Respond writes the response to a request. It does nothing if the client has disconnected or aborted the request.
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
		if ms := answer.RetryAfter.Milliseconds(); ms > 0 && s.deployment.SendsRetryAfter {
			header = retryAfterHeader + ": " + strconv.FormatInt(ms, 10) + "\r\n"
		}
		req.respond(http.StatusServiceUnavailable, header, nil)
	default:
		req.respond(http.StatusBadGateway, "", nil)
	}
}

// respondToHealthCheck reports to the client whether the scheduler is ready.
func (r *request) respondToHealthCheck() {
	if r.conn.server.dispatcher.HasEndpoints() {
		r.respond(http.StatusOK, "", []byte("ok\n"))
		return
	}
	r.respond(http.StatusServiceUnavailable, "", nil)
}

// shed ends a request with the status OVERLOADED because of a lack of capacity.
func (r *request) shed() {
	server := r.conn.server
	server.warn("request shed: too many open requests", nil)
	r.finish(appendEndRequest(server.scratch[:0], r.id, statusOverloaded))
}

// reject responds to an invalid request with an HTTP error status.
func (r *request) reject(status int, reason error) {
	r.conn.server.warn("request rejected", fmt.Errorf("status %d: %w", status, reason))
	r.respond(status, "", nil)
}

// respond writes a complete response. Each line in headerLines must end with CRLF. If there is no room for the body
// behind what the client has not read, the response is a short failure instead.
func (r *request) respond(status int, headerLines string, body []byte) {
	if !r.conn.hasRoomForBody(len(body)) {
		r.conn.server.warn("response replaced by status 502: too many unsent bytes", nil)
		status, headerLines, body = http.StatusBadGateway, "", nil
	}
	header := fmt.Appendf(nil, "Status: %d %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), headerLines, len(body))
	records := appendStream(r.conn.server.scratch[:0], typeStdout, r.id, header, body)
	r.finish(appendEndRequest(records, r.id, statusComplete))
}

// finish releases the request and then writes its last records.
func (r *request) finish(records []byte) {
	r.release()
	r.conn.endRequest(r, records)
}
