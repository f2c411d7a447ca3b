package fastcgi

import (
	"container/list"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
)

// Reasons to reject a request, as they are logged.
var (
	errRequestTimeout   = errors.New("request not complete in time")
	errBuffersNeeded    = errors.New("incomplete request dropped, its buffers were needed")
	errParamsTooLong    = errors.New("parameters too long")
	errBodyBeforeParams = errors.New("body ended before the parameters")
)

// request is a request on a connection, from its BEGIN_REQUEST to its END_REQUEST: its streams, its validation, and its
// one answer. It belongs to its conn and is used on the event loop only. Parameters and body take at most one buffer of the
// pool each, and it has to be complete within requestTimeout.
type request struct {
	ref      slotmap.Ref // the tag of the call that it becomes
	conn     *conn
	id       requestID
	keepConn bool // the client wants to use the connection further

	params         *bufferpool.Buffer // nil once they are complete
	body           *bufferpool.Buffer // nil while it is empty, and once the dispatcher has it
	fields         fields             // set once the parameters are complete
	call           dispatch.Call      // set once the parameters are complete
	paramsComplete bool

	begunAt           time.Duration
	incompleteElement *list.Element  // incompleteRequests'; nil once the request is complete
	timer             deadline.Timer // for the rest of the request
	submitted         slotmap.Ref    // the dispatcher's name for the request; 0 until it has the request
}

// beginRequest handles a BEGIN_REQUEST record.
func (c *conn) beginRequest(rec record) error {
	if c.requests[rec.id] != nil {
		return fmt.Errorf("%w: request %d begun twice", errFraming, rec.id)
	}
	if len(rec.content) != controlBodyLen {
		return fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", errFraming, len(rec.content))
	}
	role := binary.BigEndian.Uint16(rec.content)
	flags := rec.content[2]
	server := c.server
	req := &request{conn: c, id: rec.id, keepConn: flags&flagKeepConn != 0}
	req.ref = server.requests.Insert(req)
	c.requests[rec.id] = req
	req.begunAt = server.loop.Now()
	server.incomplete.add(req)
	server.conns.update(c, req.begunAt)
	if role != roleResponder {
		req.finish(appendEndRequest(server.scratch[:0], rec.id, statusUnknownRole))
		return nil
	}
	req.timer.Fire = func() { req.reject(http.StatusRequestTimeout, errRequestTimeout) }
	server.loop.SetDeadline(&req.timer, server.loop.Now()+requestTimeout)
	req.params = server.borrowBuffer(req)
	if req.params == nil || len(c.requests) > maxRequestsPerConn {
		req.shed()
	}
	return nil
}

// handleRecord handles a record of an open request. One of a stream that has ended is ignored.
func (r *request) handleRecord(rec record) {
	switch rec.kind {
	case typeAbortRequest:
		r.abort()
	case typeParams:
		if !r.paramsComplete {
			r.appendParams(rec.content)
		}
	case typeStdin:
		if r.submitted == 0 {
			r.appendBody(rec.content)
		}
	default:
		// Only a Filter reads DATA, and this is a Responder.
	}
}

// appendParams handles the content of a PARAMS record; an empty one ends the parameters.
func (r *request) appendParams(content []byte) {
	if len(content) == 0 {
		r.completeParams()
		return
	}
	if !r.params.Append(content) {
		r.reject(http.StatusRequestHeaderFieldsTooLarge, errParamsTooLong)
	}
}

// completeParams reads the parameters, applies the rules, and validates what the dispatcher will be given. A request
// that is not valid is rejected.
func (r *request) completeParams() {
	server := r.conn.server
	r.paramsComplete = true
	parsed, err := parseFields(r.params.B, server.rules.paramSlots())
	server.pool.Put(r.params)
	r.params = nil
	if err != nil {
		r.reject(http.StatusBadRequest, err)
		return
	}
	r.fields = parsed
	if parsed.path == healthPath {
		return
	}
	// Rules may replace the path, which only the call depends on from here.
	decided := server.applyRules(&parsed, r.conn)
	r.call, err = parsed.call(server.deployment, server.classByName)
	if err != nil {
		r.reject(http.StatusBadRequest, err)
		return
	}
	r.call.Affinity = decided.affinity
	r.call.Route = decided.route
}

// appendBody handles the content of a STDIN record; an empty one ends the body and with it the request.
func (r *request) appendBody(content []byte) {
	if len(content) == 0 {
		r.complete()
		return
	}
	if r.body == nil {
		r.body = r.conn.server.borrowBuffer(r)
	}
	if r.body == nil {
		r.shed()
		return
	}
	if !r.body.Append(content) {
		r.reject(http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", bufferpool.Size))
	}
}

// complete answers a health check, and submits any other request.
func (r *request) complete() {
	if !r.paramsComplete {
		r.reject(http.StatusBadRequest, errBodyBeforeParams)
		return
	}
	if r.fields.path == healthPath {
		r.answerHealthCheck()
		return
	}
	size := 0
	if r.body != nil {
		size = len(r.body.B)
	}
	declared := r.fields.contentLength
	if declared != "" && declared != strconv.Itoa(size) {
		r.reject(http.StatusBadRequest, fmt.Errorf("body of %d bytes, CONTENT_LENGTH %.20q", size, declared))
		return
	}
	r.submit()
}

// submit hands the request to the dispatcher.
func (r *request) submit() {
	server := r.conn.server
	if server.draining {
		r.respond(http.StatusServiceUnavailable, "", nil)
		return
	}
	r.call.Body = r.body
	// The client's time runs from its last byte, which may have waited to be read.
	r.call.TimeLeft = max(r.call.TimeLeft-r.conn.unreadFor, 0)
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
	r.body = nil // the dispatcher's now
	server.incomplete.remove(r)
	server.loop.ClearDeadline(&r.timer)
	r.conn.markEstablished()
}

// abort ends a request that its client waits for no more. No answer is owed, but the ID may be used again.
func (r *request) abort() {
	server := r.conn.server
	r.finish(appendEndRequest(server.scratch[:0], r.id, statusComplete))
	if r.submitted != 0 {
		server.dispatcher.Cancel(r.submitted)
	}
}

// release gives back what the request holds. It may be called again.
func (r *request) release() {
	server := r.conn.server
	server.incomplete.remove(r)
	server.loop.ClearDeadline(&r.timer)
	server.requests.Remove(r.ref)
	server.pool.Put(r.params)
	server.pool.Put(r.body)
	r.params = nil
	r.body = nil
}
