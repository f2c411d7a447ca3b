// Package fastcgi serves clients: it reads their requests from FastCGI connections, and writes the answers.
package fastcgi

import (
	"container/list"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"calicohill/internal/config/deployment"
	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/logging"
	"calicohill/internal/runtime/slotmap"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

const (
	maxStreamsPerConn = 32 // requests that a connection may have open
	// wholeWithin is how long a request may take from its first record to its last, a record from its first byte
	// to its last, and a new connection until its first request is whole. Whoever sends anything else, or
	// nothing, is owed an answer or a close within 3 s of connecting.
	requestTimeout = 2 * time.Second
	// firstWithin is how long after connecting a client that means to send a request has done so.
	firstRequestGrace = 250 * time.Millisecond
	// clientIdle is how long after its last request a client closes a connection by itself.
	clientKeepAlive = 4 * time.Second
	// backlog is how much may wait unsent for a client until it counts as not reading.
	maxUnsentPerConn = 4 << 20
	// lingerFor is how long a connection that is to be closed is kept for what has not been sent on it yet, and
	// lingerLook how often it is seen whether it has.
	lingerTimeout, lingerPollInterval = 3 * time.Second, 20 * time.Millisecond
)

// Dispatcher is what a Server needs of the dispatcher.
type Dispatcher interface {
	Submit(c dispatch.Call, from dispatch.Responder, tag slotmap.Ref) (slotmap.Ref, error)
	Cancel(ref slotmap.Ref)
	HasEndpoints() bool
}

// Loop is what a Server needs of the event loop.
type Loop interface {
	Now() time.Duration
	SetDeadline(*deadline.Timer, time.Duration)
	ClearDeadline(*deadline.Timer)
}

// Server holds the clients' connections. It is a dispatch.Responder.
type Server struct {
	loop           Loop
	dispatcher     Dispatcher
	pool           *bufferpool.Pool
	deployment     *deployment.Settings
	classByName    map[string]int
	maxConns       int
	maxUnsentBytes int // bytes that may wait unsent for all clients together
	log            logging.RateLimited
	rulesLog       logging.RateLimited
	rules          *Rules // nil where there are none

	connCount int
	// Connections that never had a request whole, in the order they came, and those that had and have none
	// open, in the order they became idle.
	withoutRequest, idle list.List

	incomplete list.List // requests that are not whole yet, in the order they began

	// Connections on which something may not be sent yet.
	unsentConns  map[*conn]struct{}
	lastReceived time.Duration // when something last came from a client, or a client came

	streams slotmap.Table[*stream]
	scratch []byte
}

// conn is a client's connection. It is its loop.Peer.
type conn struct {
	server        *Server
	socket        gnet.Conn // nil once it is gone
	clientIP      string    // the client's address, once it was asked for
	streams       map[uint16]*stream
	unreadFor     time.Duration // how long the latest bytes had waited to be read
	established   bool          // a request was whole, or was answered
	listedAt      time.Duration // when it became idle
	list          *list.List    // silent, idle or neither
	element       *list.Element // there
	timer         deadline.Timer
	awaitingInput bool          // late is set: for a first request, or for the rest of a record
	closeWhenDone bool          // it is closed once no request is open
	lingerUntil   time.Duration // while it lingers, till when; nothing is read any more. 0 if it does not
}

// stream is a request on a connection, from its BEGIN_REQUEST to its END_REQUEST.
type stream struct {
	ref            slotmap.Ref
	conn           *conn
	id             uint16
	keepConn       bool
	params, body   *bufferpool.Buffer
	fields         fields
	call           dispatch.Call
	paramsComplete bool           // the parameters are complete
	begunAt        time.Duration  // when it began
	element        *list.Element  // among those that are not whole; nil once it is
	dispatched     slotmap.Ref    // the dispatcher's; 0 until it has the request
	timer          deadline.Timer // for the rest of the request
}

// New returns a Server that lets in at most maxConns connections, and has at most maxUnsent bytes wait for clients that
// do not read.
func New(l Loop, d Dispatcher, pool *bufferpool.Pool, site *deployment.Settings, maxConns, maxUnsent int, log, rules logrus.FieldLogger) *Server {
	s := &Server{
		loop: l, dispatcher: d, pool: pool, deployment: site, classByName: map[string]int{}, maxConns: maxConns,
		maxUnsentBytes: maxUnsent, unsentConns: map[*conn]struct{}{}, log: logging.RateLimited{Log: log}, rulesLog: logging.RateLimited{Log: rules},
	}
	for i, name := range site.ClassNames {
		s.classByName[name] = i
	}
	return s
}

// Accept takes a connection in, or nil if there are too many.
func (s *Server) Accept(c gnet.Conn) eventloop.ConnHandler {
	if s.connCount >= s.maxConns && !s.evictConn() {
		s.warn("client turned away: too many connections", nil)
		return nil
	}
	s.connCount++
	s.lastReceived = s.loop.Now()
	in := &conn{server: s, socket: c, streams: map[uint16]*stream{}}
	in.timer.Fire = in.inputTimedOut
	in.startInputTimer()
	in.updateList()
	return in
}

// makeRoom closes the connection that will be missed least: one idle for longer than clients keep any; else one
// that should have sent its first request by now; else the longest idle; else the first that came.
//
// Guards against clients that hold what they were let in with for good: others would find no room. Where each
// request comes on a connection of its own, the one let in last must not be the next to go: its request is on
// its way.
func (s *Server) evictConn() bool {
	since := func(l *list.List) (*conn, time.Duration) {
		for e := l.Front(); e != nil; e = e.Next() {
			// One whose answer is not sent whole yet is idle in name only.
			if c := e.Value.(*conn); c.socket.OutboundBuffered() == 0 {
				return c, s.loop.Now() - c.listedAt
			}
		}
		return nil, 0
	}
	least, idle := since(&s.idle)
	if silent, mute := since(&s.withoutRequest); silent != nil && idle <= clientKeepAlive && (least == nil || mute > firstRequestGrace) {
		least = silent
	}
	if least == nil {
		return false
	}
	least.close()
	return true
}

// sort puts a connection into the list where it belongs now.
func (c *conn) updateList() {
	var in *list.List
	switch {
	case c.socket == nil:
	case !c.established:
		in = &c.server.withoutRequest
	case len(c.streams) == 0:
		in = &c.server.idle
	}
	if in == c.list {
		return
	}
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list = in; in != nil {
		c.element, c.listedAt = in.PushBack(c), c.server.loop.Now()
	}
}

// meet notes that a connection carries whole requests.
func (c *conn) markEstablished() {
	if !c.established {
		c.established = true
		c.stopInputTimer()
	}
	c.updateList()
}

// await gives the client a while for what must come next, and relax takes that back.
func (c *conn) startInputTimer() {
	if !c.awaitingInput {
		c.awaitingInput = true
		c.server.loop.SetDeadline(&c.timer, c.server.loop.Now()+requestTimeout)
	}
}

func (c *conn) stopInputTimer() {
	if c.awaitingInput {
		c.awaitingInput = false
		c.server.loop.ClearDeadline(&c.timer)
	}
}

// overdue closes a connection on which what had to come did not. What is taken is answered first.
func (c *conn) inputTimedOut() {
	c.awaitingInput = false
	if c.lingerUntil > 0 {
		c.closeWhenSent()
		return
	}
	for _, st := range c.streams {
		if st.dispatched != 0 {
			c.startInputTimer()
			return
		}
	}
	c.server.warn("client closed: nothing whole came in time", nil)
	for _, st := range c.streams {
		st.respond(http.StatusRequestTimeout, "", nil)
	}
	c.closeWhenSent()
}

// linger closes a connection once all is sent that was written. Nothing more is read.
//
// Guards against an answer that is cut: what the system does not take at once waits in the program, and a close drops
// it.
func (c *conn) closeWhenSent() {
	now := c.server.loop.Now()
	switch {
	case c.socket == nil:
	case c.socket.OutboundBuffered() == 0 || c.lingerUntil > 0 && now >= c.lingerUntil:
		c.close()
	default:
		if c.lingerUntil == 0 {
			c.lingerUntil = now + lingerTimeout
		}
		c.server.loop.SetDeadline(&c.timer, now+lingerPollInterval)
	}
}

// complain logs what clients do wrong, each message once in a while: thousands of bad requests must not become
// thousands of lines.
func (s *Server) warn(message string, err error) { s.log.Warn(s.loop.Now(), message, err) }

// Streams is the number of requests begun and not ended.
func (s *Server) Streams() int { return s.streams.Len() }

// Heard is when something last came from a client, or a client came.
func (s *Server) Heard() time.Duration { return s.lastReceived }

// Unsent is how many bytes are written for clients and not sent yet.
func (s *Server) Unsent() (bytes int) {
	for c := range s.unsentConns {
		n := c.socket.OutboundBuffered()
		if bytes += n; n == 0 {
			delete(s.unsentConns, c)
		}
	}
	return bytes
}

// spare closes connections whose clients do not read, the one with the most first, until what waits for all clients
// is within its bound.
func (s *Server) limitUnsent() {
	for s.Unsent() > s.maxUnsentBytes {
		var most *conn
		for c := range s.unsentConns {
			if most == nil || c.socket.OutboundBuffered() > most.socket.OutboundBuffered() {
				most = c
			}
		}
		s.warn("client closed: too much waits for clients that do not read", nil)
		most.close()
	}
}

// Respond writes a final answer.
func (s *Server) Respond(tag slotmap.Ref, a dispatch.Answer) {
	st, ok := s.streams.Get(tag)
	if !ok {
		return
	}
	switch a.Status {
	case dispatch.Served:
		st.respond(http.StatusOK, "", a.Body)
	case dispatch.Rejected:
		advice := ""
		if ms := a.RetryAfter.Milliseconds(); ms > 0 && s.deployment.HonorsRetryAfter {
			advice = "Back-Off-Ms: " + strconv.FormatInt(ms, 10) + "\r\n"
		}
		st.respond(http.StatusServiceUnavailable, advice, nil)
	default:
		st.respond(http.StatusBadGateway, "", nil)
	}
}

// Opened does nothing: a client speaks first.
func (c *conn) Opened(gnet.Conn) {}

// Readable reads records.
func (c *conn) Readable(gc gnet.Conn) error {
	c.server.lastReceived = c.server.loop.Now()
	if c.lingerUntil > 0 {
		_, _ = gc.Discard(-1)
		return nil
	}
	c.unreadFor = eventloop.UnreadFor(gc)
	for {
		b, err := gc.Peek(-1)
		if err != nil || len(b) == 0 {
			return nil
		}
		r, n, err := parseRecord(b)
		if err == nil && n == 0 {
			c.startInputTimer()
			return nil
		}
		if c.established {
			c.stopInputTimer()
		}
		if err == nil {
			err = c.handleRecord(r)
		}
		if err != nil {
			c.server.warn("client closed: it cannot be understood", err)
			return err
		}
		if c.socket == nil {
			return nil // closed meanwhile
		}
		if c.lingerUntil > 0 {
			_, _ = gc.Discard(-1)
			return nil
		}
		if _, err := gc.Discard(n); err != nil {
			return fmt.Errorf("reading on: %w", err)
		}
	}
}

// record acts on a record. An error means that the connection cannot be understood any more.
func (c *conn) handleRecord(r record) error {
	if r.id == 0 {
		return c.handleManagementRecord(r)
	}
	st := c.streams[r.id]
	switch r.kind {
	case typeBeginRequest:
		if st != nil {
			return fmt.Errorf("%w: request %d begun twice", errFraming, r.id)
		}
		return c.beginRequest(r)
	case typeAbortRequest:
		if st != nil {
			st.abort()
		}
	case typeParams:
		if st != nil && !st.paramsComplete {
			st.appendParams(r.content)
		}
	case typeStdin:
		if st != nil && st.dispatched == 0 {
			st.appendBody(r.content)
		}
	case typeData: // for a Filter, which this is not
	default:
		c.write(appendUnknownType(c.server.scratch[:0], r.kind))
	}
	return nil
}

// manage answers a record that belongs to no request.
func (c *conn) handleManagementRecord(r record) error {
	switch r.kind {
	case typeGetValues:
		b, err := appendGetValuesResult(c.server.scratch[:0], r.content, c.server.maxConns)
		if err != nil {
			return fmt.Errorf("%w: %w", errFraming, err)
		}
		c.write(b)
	case typeBeginRequest, typeAbortRequest, typeParams, typeStdin, typeData:
		return fmt.Errorf("%w: record of type %d without a request", errFraming, r.kind)
	default:
		c.write(appendUnknownType(c.server.scratch[:0], r.kind))
	}
	return nil
}

func (c *conn) beginRequest(r record) error {
	if len(r.content) != 8 {
		return fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", errFraming, len(r.content))
	}
	s := c.server
	st := &stream{conn: c, id: r.id, keepConn: r.content[2]&flagKeepConn != 0}
	st.ref = s.streams.Insert(st)
	c.streams[r.id] = st
	st.begunAt, st.element = s.loop.Now(), s.incomplete.PushBack(st)
	c.updateList()
	if binary.BigEndian.Uint16(r.content) != roleResponder {
		st.finish(appendEndRequest(s.scratch[:0], r.id, statusUnknownRole))
		return nil
	}
	st.timer.Fire = func() { st.reject(http.StatusRequestTimeout, errors.New("not whole in time")) }
	s.loop.SetDeadline(&st.timer, s.loop.Now()+requestTimeout)
	if st.params = s.borrowBuffer(st); st.params == nil || len(c.streams) > maxStreamsPerConn {
		s.warn("request refused: too many are open", nil)
		st.finish(appendEndRequest(s.scratch[:0], r.id, statusOverloaded))
	}
	return nil
}

// buffer is one of the pool's, or nil.
//
// Guards against requests that are begun by the thousand and never whole: until their time is over they would hold all
// buffers. The one that began first gives way, once it has had as long as a client takes that means it.
func (s *Server) borrowBuffer(asks *stream) *bufferpool.Buffer {
	b := s.pool.Get()
	for e := s.incomplete.Front(); b == nil && e != nil; e = s.incomplete.Front() {
		st := e.Value.(*stream)
		if st == asks || s.loop.Now()-st.begunAt < firstRequestGrace {
			break // those after it are younger
		}
		st.reject(http.StatusRequestTimeout, errors.New("not whole when others needed its buffers"))
		b = s.pool.Get()
	}
	return b
}

func (c *conn) write(b []byte) {
	if c.socket == nil {
		return
	}
	c.server.scratch = b[:0]
	// An error closes the connection and is seen by Closed.
	_, _ = c.socket.Write(b)
	switch {
	case c.socket == nil || c.socket.OutboundBuffered() == 0:
	case c.socket.OutboundBuffered() > maxUnsentPerConn:
		c.server.warn("client closed: it does not read", nil)
		c.close()
	default:
		c.server.unsentConns[c] = struct{}{}
		c.server.limitUnsent()
	}
}

func (c *conn) close() {
	if c.socket != nil {
		// On the loop gnet closes at once and calls Closed.
		_ = c.socket.EventLoop().Close(c.socket)
	}
}

// Closed gives up all that was open.
func (c *conn) Closed(gnet.Conn, error) {
	c.socket = nil
	delete(c.server.unsentConns, c)
	c.server.connCount--
	c.updateList()
	c.awaitingInput = false
	c.server.loop.ClearDeadline(&c.timer)
	for _, st := range c.streams {
		st.release()
		if st.dispatched != 0 {
			c.server.dispatcher.Cancel(st.dispatched)
		}
	}
}

// ---- a request ----

// param takes in part of the parameters; an empty one ends them.
func (st *stream) appendParams(b []byte) {
	s := st.conn.server
	if len(b) > 0 {
		if !st.params.Append(b) {
			st.reject(http.StatusRequestHeaderFieldsTooLarge, errors.New("parameters too long"))
		}
		return
	}
	st.paramsComplete = true
	var slots map[string]int
	if s.rules != nil {
		slots = s.rules.slotByParam
	}
	f, err := parseFields(st.params.B, slots)
	s.pool.Put(st.params)
	st.params = nil
	if err != nil {
		st.reject(http.StatusBadRequest, err)
		return
	}
	st.fields = f
	if f.path == healthPath {
		return
	}
	affinity, route := "", ""
	if s.rules != nil {
		affinity, route = s.applyRules(&f, st.conn)
	}
	if st.call, err = f.call(s.deployment, s.classByName); err != nil {
		st.reject(http.StatusBadRequest, err)
	}
	st.call.Affinity, st.call.Route = affinity, route
}

const healthPath = "/health"

// stdin takes in part of the body; an empty one ends it and with it the request.
func (st *stream) appendBody(b []byte) {
	s := st.conn.server
	if len(b) > 0 {
		if st.body == nil {
			if st.body = s.borrowBuffer(st); st.body == nil {
				s.warn("request refused: too many are open", nil)
				st.finish(appendEndRequest(s.scratch[:0], st.id, statusOverloaded))
				return
			}
		}
		if !st.body.Append(b) {
			st.reject(http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", bufferpool.Size))
		}
		return
	}
	if !st.paramsComplete {
		st.reject(http.StatusBadRequest, errors.New("body ended before the parameters"))
		return
	}
	if st.fields.path == healthPath {
		st.answerHealthCheck()
		return
	}
	size := 0
	if st.body != nil {
		size = len(st.body.B)
	}
	if st.fields.contentLength != "" && st.fields.contentLength != strconv.Itoa(size) {
		st.reject(http.StatusBadRequest, fmt.Errorf("body of %d bytes, CONTENT_LENGTH %.20q", size, st.fields.contentLength))
		return
	}
	st.call.Body = st.body
	// The client's time runs from its last byte, which may have waited here to be read.
	st.call.TimeLeft = max(st.call.TimeLeft-st.conn.unreadFor, 0)
	ref, err := s.dispatcher.Submit(st.call, s, st.ref)
	switch {
	case errors.Is(err, dispatch.ErrTooManyRequests):
		s.warn("request refused: too many are open", nil)
		st.finish(appendEndRequest(s.scratch[:0], st.id, statusOverloaded))
	case err != nil:
		st.reject(http.StatusBadRequest, err)
	default:
		st.dispatched, st.body = ref, nil
		st.markComplete()
		s.loop.ClearDeadline(&st.timer)
		st.conn.markEstablished()
	}
}

func (st *stream) answerHealthCheck() {
	if st.conn.server.dispatcher.HasEndpoints() {
		st.respond(http.StatusOK, "", []byte("ok\n"))
	} else {
		st.respond(http.StatusServiceUnavailable, "", nil)
	}
}

// abort ends a request that its client waits for no more. No answer is owed, but its id is free again.
func (st *stream) abort() {
	s, taken := st.conn.server, st.dispatched
	st.finish(appendEndRequest(s.scratch[:0], st.id, statusComplete))
	if taken != 0 {
		s.dispatcher.Cancel(taken)
	}
}

func (st *stream) reject(status int, err error) {
	st.conn.server.warn("request rejected", fmt.Errorf("status %d: %w", status, err))
	st.respond(status, "", nil)
}

// respond writes the whole answer.
func (st *stream) respond(status int, headers string, body []byte) {
	head := fmt.Appendf(nil, "Status: %d %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), headers, len(body))
	st.finish(appendEndRequest(appendStdout(st.conn.server.scratch[:0], st.id, head, body), st.id, statusComplete))
}

// end forgets the request and then writes its last bytes.
func (st *stream) finish(last []byte) {
	c := st.conn
	st.release()
	delete(c.streams, st.id)
	c.markEstablished()
	c.write(last)
	if c.closeWhenDone = c.closeWhenDone || !st.keepConn; c.closeWhenDone && len(c.streams) == 0 {
		c.closeWhenSent()
	}
}

// whole notes that nothing more of the request is to come.
func (st *stream) markComplete() {
	if st.element != nil {
		st.conn.server.incomplete.Remove(st.element)
		st.element = nil
	}
}

// forget gives back what the request holds.
func (st *stream) release() {
	s := st.conn.server
	st.markComplete()
	s.loop.ClearDeadline(&st.timer)
	s.streams.Remove(st.ref)
	s.pool.Put(st.params)
	s.pool.Put(st.body)
	st.params, st.body = nil, nil
}
