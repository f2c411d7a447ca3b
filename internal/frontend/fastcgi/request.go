package fastcgi

import (
	"container/list"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
)

// Reasons for rejecting a request. They appear in the log.
var (
	errRequestTimeout   = errors.New("timed out waiting for the complete request")
	errMemoryReclaimed  = errors.New("incomplete request dropped to free its memory")
	errParamsTooLong    = errors.New("parameters too long")
	errBodyBeforeParams = errors.New("body ended before the parameters were complete")
)

// request is a request on a connection, from BEGIN_REQUEST to END_REQUEST. It collects the streams, validates them and
// writes exactly one response. It belongs to its conn and is used only on the event loop. Parameters and body use at
// most one pooled buffer each. The request must be received completely within requestTimeout.
type request struct {
	ref      slotmap.Ref // key in Server.requests; passed to the dispatcher as the tag
	conn     *conn
	id       requestID
	keepConn bool // keep the connection open after this request

	params         *bufferpool.Buffer // nil once the parameters are complete
	body           *bufferpool.Buffer // nil while it is empty, and after the request is submitted
	paramsComplete bool
	isHealthCheck  bool          // set once the parameters are complete
	call           dispatch.Call // set once the parameters are complete, until the request is submitted
	bodyLength     bodyLength    // set once the parameters are complete

	reserved        int  // memory reserved in the pool besides the buffers, in bytes
	incompleteBytes int  // memory of the request while it is not complete, in bytes
	released        bool // release was called: the request has ended

	begunAt           time.Duration
	incompleteElement *list.Element  // in Server.incomplete; nil once the request is complete
	timer             deadline.Timer // limits the wait for the rest of the request
	submitted         slotmap.Ref    // the dispatcher's reference to the request; 0 until it is submitted
}

// beginRequest handles a BEGIN_REQUEST record with the given content of controlBodyLen bytes.
func (c *conn) beginRequest(id requestID, content []byte) error {
	if c.requests[id] != nil {
		return fmt.Errorf("%w: request %d already open", errFraming, id)
	}
	role := binary.BigEndian.Uint16(content)
	flags := content[2]
	server := c.server
	req := &request{conn: c, id: id, keepConn: flags&flagKeepConn != 0}
	req.ref = server.requests.Insert(req)
	c.requests[id] = req
	req.begunAt = server.loop.Now()
	server.incomplete.add(req)
	c.updateTable()
	if role != roleResponder {
		req.finish(appendEndRequest(server.scratch[:0], id, statusUnknownRole))
		return nil
	}
	req.timer.Fire = func() { req.reject(http.StatusRequestTimeout, errRequestTimeout) }
	server.loop.SetDeadline(&req.timer, server.loop.Now()+requestTimeout)
	if len(c.requests) > maxRequestsPerConn || !req.reserveRecord() {
		req.shed()
		return nil
	}
	req.countIncomplete()
	return nil
}

// handlePart handles a part of a record of an open request. An empty record ends its stream. Records of a stream that
// has ended are ignored.
func (r *request) handlePart(part recordPart) {
	switch part.kind {
	case typeAbortRequest:
		if part.last {
			r.abort()
		}
	case typeParams:
		if !r.paramsComplete {
			r.handleParams(part)
		}
	case typeStdin:
		if r.submitted == 0 {
			r.handleBody(part)
		}
	default:
		// DATA streams are for the Filter role; this server is a Responder.
	}
}

// handleParams handles a part of a PARAMS record.
func (r *request) handleParams(part recordPart) {
	switch {
	case part.contentLen > 0:
		r.appendParams(part.content)
	case part.last:
		r.completeParams()
	}
}

// appendParams appends content to the parameters.
func (r *request) appendParams(content []byte) {
	err := r.appendTo(r.params, content)
	switch {
	case errors.Is(err, bufferpool.ErrTooLong):
		r.reject(http.StatusRequestHeaderFieldsTooLarge, errParamsTooLong)
	case err != nil:
		r.shed()
	}
}

// completeParams parses the parameters and releases them. It rejects an invalid request.
func (r *request) completeParams() {
	server := r.conn.server
	r.paramsComplete = true
	parsed, err := parseFields(r.params.B, server.rules.paramSlots())
	server.pool.Put(r.params)
	r.params = nil
	r.countIncomplete()
	if err == nil {
		err = r.applyParams(&parsed)
	}
	switch {
	case err != nil:
		r.reject(http.StatusBadRequest, err)
	case r.call.Affinity != "" && !r.reserveAffinity():
		r.shed()
	}
}

// applyParams applies the rules to the parameters and validates them. The request keeps only values of bounded length,
// and none of the strings in parsed that a client can make long: the rest of the request may be long in coming.
func (r *request) applyParams(parsed *fields) (err error) {
	if parsed.path == healthPath {
		r.isHealthCheck = true
		return nil
	}
	server := r.conn.server
	decided := server.applyRules(parsed, r.conn)
	r.call, err = parsed.call(server.deployment, server.classByName)
	if err != nil {
		return err
	}
	r.call.Affinity = strings.Clone(decided.affinity) // it may be a part of a longer parameter
	r.call.Route = decided.route
	r.bodyLength, err = parseBodyLength(parsed.contentLength)
	return err
}

// handleBody handles a part of a STDIN record.
func (r *request) handleBody(part recordPart) {
	switch {
	case len(part.content) > 0:
		r.appendBody(part.content)
	case part.last && part.contentLen == 0:
		r.complete()
	}
}

// appendBody appends content to the body.
func (r *request) appendBody(content []byte) {
	if r.body == nil {
		r.body = r.getBuffer()
	}
	if r.body == nil {
		r.shed()
		return
	}
	err := r.appendTo(r.body, content)
	switch {
	case errors.Is(err, bufferpool.ErrTooLong):
		r.reject(http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", bufferpool.Size))
	case err != nil:
		r.shed()
	}
}

// complete responds to a health check and submits any other request.
func (r *request) complete() {
	if !r.paramsComplete {
		r.reject(http.StatusBadRequest, errBodyBeforeParams)
		return
	}
	if r.isHealthCheck {
		r.respondToHealthCheck()
		return
	}
	size := 0
	if r.body != nil {
		size = len(r.body.B)
	}
	if !r.bodyLength.allows(size) {
		r.reject(http.StatusBadRequest, fmt.Errorf("body of %d bytes, CONTENT_LENGTH %d", size, r.bodyLength.bytes))
		return
	}
	r.submit()
}

// submit passes the request to the dispatcher.
func (r *request) submit() {
	server := r.conn.server
	if server.draining {
		r.respond(http.StatusServiceUnavailable, "", nil)
		return
	}
	r.call.Body = r.body
	// The budget starts when the last byte of the request arrives, so the time until it was read counts.
	r.call.TimeLeft = max(r.call.TimeLeft-r.conn.unreadFor(), 0)
	if !server.makeRoom(r, dispatch.MemoryFor(&r.call)) {
		r.shed()
		return
	}
	ref, err := server.dispatcher.Submit(r.call, server, r.ref)
	if errors.Is(err, dispatch.ErrTooManyRequests) {
		r.shed()
		return
	}
	if err != nil {
		r.reject(http.StatusBadRequest, err)
		return
	}
	r.submitted = ref
	r.body = nil             // owned by the dispatcher now
	r.call = dispatch.Call{} // likewise
	server.incomplete.remove(r)
	r.countIncomplete()
	server.loop.ClearDeadline(&r.timer)
	r.conn.markEstablished()
}

// textBytes returns the length of the text that the request keeps of its parameters.
func (r *request) textBytes() int {
	return len(r.call.ID) + len(r.call.Function) + len(r.call.IdempotencyKey) + len(r.call.Affinity)
}

// abort ends a request that the client has aborted. It sends END_REQUEST without a response, so that the client can
// reuse the ID.
func (r *request) abort() {
	server := r.conn.server
	r.finish(appendEndRequest(server.scratch[:0], r.id, statusComplete))
	if r.submitted != 0 {
		server.dispatcher.Cancel(r.submitted)
	}
}
