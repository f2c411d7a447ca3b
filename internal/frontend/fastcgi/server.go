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
	maxStreams = 32 // requests that a connection may have open
	// wholeWithin is how long a request may take from its first record to its last, a record from its first byte
	// to its last, and a new connection until its first request is whole. Whoever sends anything else, or
	// nothing, is owed an answer or a close within 3 s of connecting.
	wholeWithin = 2 * time.Second
	// firstWithin is how long after connecting a client that means to send a request has done so.
	firstWithin = 250 * time.Millisecond
	// clientIdle is how long after its last request a client closes a connection by itself.
	clientIdle = 4 * time.Second
	// backlog is how much may wait unsent for a client until it counts as not reading.
	backlog = 4 << 20
	// lingerFor is how long a connection that is to be closed is kept for what has not been sent on it yet, and
	// lingerLook how often it is seen whether it has.
	lingerFor, lingerLook = 3 * time.Second, 20 * time.Millisecond
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
	loop       Loop
	dispatcher Dispatcher
	pool       *bufferpool.Pool
	site       *deployment.Settings
	classes    map[string]int
	maxConns   int
	maxUnsent  int // bytes that may wait unsent for all clients together
	log        logging.RateLimited
	rulesLog   logging.RateLimited
	rules      *Rules // nil where there are none

	conns int
	// Connections that never had a request whole, in the order they came, and those that had and have none
	// open, in the order they became idle.
	silent, idle list.List

	half list.List // requests that are not whole yet, in the order they began

	// Connections on which something may not be sent yet.
	unsent map[*conn]struct{}
	heard  time.Duration // when something last came from a client, or a client came

	streams slotmap.Table[*stream]
	scratch []byte
}

// conn is a client's connection. It is its loop.Peer.
type conn struct {
	s       *Server
	c       gnet.Conn // nil once it is gone
	remote  string    // the client's address, once it was asked for
	streams map[uint16]*stream
	unread  time.Duration // how long the latest bytes had waited to be read
	known   bool          // a request was whole, or was answered
	since   time.Duration // when it became idle
	in      *list.List    // silent, idle or neither
	place   *list.Element // there
	late    deadline.Timer
	awaits  bool          // late is set: for a first request, or for the rest of a record
	last    bool          // it is closed once no request is open
	until   time.Duration // while it lingers, till when; nothing is read any more. 0 if it does not
}

// stream is a request on a connection, from its BEGIN_REQUEST to its END_REQUEST.
type stream struct {
	ref          slotmap.Ref
	conn         *conn
	id           uint16
	keep         bool
	params, body *bufferpool.Buffer
	fields       fields
	call         dispatch.Call
	named        bool           // the parameters are complete
	since        time.Duration  // when it began
	place        *list.Element  // among those that are not whole; nil once it is
	taken        slotmap.Ref    // the dispatcher's; 0 until it has the request
	late         deadline.Timer // for the rest of the request
}

// New returns a Server that lets in at most maxConns connections, and has at most maxUnsent bytes wait for clients that
// do not read.
func New(l Loop, d Dispatcher, pool *bufferpool.Pool, site *deployment.Settings, maxConns, maxUnsent int, log, rules logrus.FieldLogger) *Server {
	s := &Server{
		loop: l, dispatcher: d, pool: pool, site: site, classes: map[string]int{}, maxConns: maxConns,
		maxUnsent: maxUnsent, unsent: map[*conn]struct{}{}, log: logging.RateLimited{Log: log}, rulesLog: logging.RateLimited{Log: rules},
	}
	for i, name := range site.ClassNames {
		s.classes[name] = i
	}
	return s
}

// Accept takes a connection in, or nil if there are too many.
func (s *Server) Accept(c gnet.Conn) eventloop.ConnHandler {
	if s.conns >= s.maxConns && !s.makeRoom() {
		s.complain("client turned away: too many connections", nil)
		return nil
	}
	s.conns++
	s.heard = s.loop.Now()
	in := &conn{s: s, c: c, streams: map[uint16]*stream{}}
	in.late.Fire = in.overdue
	in.await()
	in.sort()
	return in
}

// makeRoom closes the connection that will be missed least: one idle for longer than clients keep any; else one
// that should have sent its first request by now; else the longest idle; else the first that came.
//
// Guards against clients that hold what they were let in with for good: others would find no room. Where each
// request comes on a connection of its own, the one let in last must not be the next to go: its request is on
// its way.
func (s *Server) makeRoom() bool {
	since := func(l *list.List) (*conn, time.Duration) {
		for e := l.Front(); e != nil; e = e.Next() {
			// One whose answer is not sent whole yet is idle in name only.
			if c := e.Value.(*conn); c.c.OutboundBuffered() == 0 {
				return c, s.loop.Now() - c.since
			}
		}
		return nil, 0
	}
	least, idle := since(&s.idle)
	if silent, mute := since(&s.silent); silent != nil && idle <= clientIdle && (least == nil || mute > firstWithin) {
		least = silent
	}
	if least == nil {
		return false
	}
	least.close()
	return true
}

// sort puts a connection into the list where it belongs now.
func (c *conn) sort() {
	var in *list.List
	switch {
	case c.c == nil:
	case !c.known:
		in = &c.s.silent
	case len(c.streams) == 0:
		in = &c.s.idle
	}
	if in == c.in {
		return
	}
	if c.in != nil {
		c.in.Remove(c.place)
	}
	if c.in = in; in != nil {
		c.place, c.since = in.PushBack(c), c.s.loop.Now()
	}
}

// meet notes that a connection carries whole requests.
func (c *conn) meet() {
	if !c.known {
		c.known = true
		c.relax()
	}
	c.sort()
}

// await gives the client a while for what must come next, and relax takes that back.
func (c *conn) await() {
	if !c.awaits {
		c.awaits = true
		c.s.loop.SetDeadline(&c.late, c.s.loop.Now()+wholeWithin)
	}
}

func (c *conn) relax() {
	if c.awaits {
		c.awaits = false
		c.s.loop.ClearDeadline(&c.late)
	}
}

// overdue closes a connection on which what had to come did not. What is taken is answered first.
func (c *conn) overdue() {
	c.awaits = false
	if c.until > 0 {
		c.linger()
		return
	}
	for _, st := range c.streams {
		if st.taken != 0 {
			c.await()
			return
		}
	}
	c.s.complain("client closed: nothing whole came in time", nil)
	for _, st := range c.streams {
		st.respond(http.StatusRequestTimeout, "", nil)
	}
	c.linger()
}

// linger closes a connection once all is sent that was written. Nothing more is read.
//
// Guards against an answer that is cut: what the system does not take at once waits in the program, and a close drops
// it.
func (c *conn) linger() {
	now := c.s.loop.Now()
	switch {
	case c.c == nil:
	case c.c.OutboundBuffered() == 0 || c.until > 0 && now >= c.until:
		c.close()
	default:
		if c.until == 0 {
			c.until = now + lingerFor
		}
		c.s.loop.SetDeadline(&c.late, now+lingerLook)
	}
}

// complain logs what clients do wrong, each message once in a while: thousands of bad requests must not become
// thousands of lines.
func (s *Server) complain(message string, err error) { s.log.Warn(s.loop.Now(), message, err) }

// Streams is the number of requests begun and not ended.
func (s *Server) Streams() int { return s.streams.Len() }

// Heard is when something last came from a client, or a client came.
func (s *Server) Heard() time.Duration { return s.heard }

// Unsent is how many bytes are written for clients and not sent yet.
func (s *Server) Unsent() (bytes int) {
	for c := range s.unsent {
		n := c.c.OutboundBuffered()
		if bytes += n; n == 0 {
			delete(s.unsent, c)
		}
	}
	return bytes
}

// spare closes connections whose clients do not read, the one with the most first, until what waits for all clients
// is within its bound.
func (s *Server) spare() {
	for s.Unsent() > s.maxUnsent {
		var most *conn
		for c := range s.unsent {
			if most == nil || c.c.OutboundBuffered() > most.c.OutboundBuffered() {
				most = c
			}
		}
		s.complain("client closed: too much waits for clients that do not read", nil)
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
		if ms := a.RetryAfter.Milliseconds(); ms > 0 && s.site.HonorsRetryAfter {
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
	c.s.heard = c.s.loop.Now()
	if c.until > 0 {
		_, _ = gc.Discard(-1)
		return nil
	}
	c.unread = eventloop.UnreadFor(gc)
	for {
		b, err := gc.Peek(-1)
		if err != nil || len(b) == 0 {
			return nil
		}
		r, n, err := parse(b)
		if err == nil && n == 0 {
			c.await()
			return nil
		}
		if c.known {
			c.relax()
		}
		if err == nil {
			err = c.record(r)
		}
		if err != nil {
			c.s.complain("client closed: it cannot be understood", err)
			return err
		}
		if c.c == nil {
			return nil // closed meanwhile
		}
		if c.until > 0 {
			_, _ = gc.Discard(-1)
			return nil
		}
		if _, err := gc.Discard(n); err != nil {
			return fmt.Errorf("reading on: %w", err)
		}
	}
}

// record acts on a record. An error means that the connection cannot be understood any more.
func (c *conn) record(r record) error {
	if r.id == 0 {
		return c.manage(r)
	}
	st := c.streams[r.id]
	switch r.kind {
	case typeBegin:
		if st != nil {
			return fmt.Errorf("%w: request %d begun twice", errFraming, r.id)
		}
		return c.begin(r)
	case typeAbort:
		if st != nil {
			st.abort()
		}
	case typeParams:
		if st != nil && !st.named {
			st.param(r.content)
		}
	case typeStdin:
		if st != nil && st.taken == 0 {
			st.stdin(r.content)
		}
	case typeData: // for a Filter, which this is not
	default:
		c.write(appendUnknown(c.s.scratch[:0], r.kind))
	}
	return nil
}

// manage answers a record that belongs to no request.
func (c *conn) manage(r record) error {
	switch r.kind {
	case typeGetValues:
		b, err := appendValues(c.s.scratch[:0], r.content, c.s.maxConns)
		if err != nil {
			return fmt.Errorf("%w: %w", errFraming, err)
		}
		c.write(b)
	case typeBegin, typeAbort, typeParams, typeStdin, typeData:
		return fmt.Errorf("%w: record of type %d without a request", errFraming, r.kind)
	default:
		c.write(appendUnknown(c.s.scratch[:0], r.kind))
	}
	return nil
}

func (c *conn) begin(r record) error {
	if len(r.content) != 8 {
		return fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", errFraming, len(r.content))
	}
	s := c.s
	st := &stream{conn: c, id: r.id, keep: r.content[2]&flagKeepConn != 0}
	st.ref = s.streams.Insert(st)
	c.streams[r.id] = st
	st.since, st.place = s.loop.Now(), s.half.PushBack(st)
	c.sort()
	if binary.BigEndian.Uint16(r.content) != roleResponder {
		st.end(appendEnd(s.scratch[:0], r.id, statusUnknownRole))
		return nil
	}
	st.late.Fire = func() { st.reject(http.StatusRequestTimeout, errors.New("not whole in time")) }
	s.loop.SetDeadline(&st.late, s.loop.Now()+wholeWithin)
	if st.params = s.buffer(st); st.params == nil || len(c.streams) > maxStreams {
		s.complain("request refused: too many are open", nil)
		st.end(appendEnd(s.scratch[:0], r.id, statusOverloaded))
	}
	return nil
}

// buffer is one of the pool's, or nil.
//
// Guards against requests that are begun by the thousand and never whole: until their time is over they would hold all
// buffers. The one that began first gives way, once it has had as long as a client takes that means it.
func (s *Server) buffer(asks *stream) *bufferpool.Buffer {
	b := s.pool.Get()
	for e := s.half.Front(); b == nil && e != nil; e = s.half.Front() {
		st := e.Value.(*stream)
		if st == asks || s.loop.Now()-st.since < firstWithin {
			break // those after it are younger
		}
		st.reject(http.StatusRequestTimeout, errors.New("not whole when others needed its buffers"))
		b = s.pool.Get()
	}
	return b
}

func (c *conn) write(b []byte) {
	if c.c == nil {
		return
	}
	c.s.scratch = b[:0]
	// An error closes the connection and is seen by Closed.
	_, _ = c.c.Write(b)
	switch {
	case c.c == nil || c.c.OutboundBuffered() == 0:
	case c.c.OutboundBuffered() > backlog:
		c.s.complain("client closed: it does not read", nil)
		c.close()
	default:
		c.s.unsent[c] = struct{}{}
		c.s.spare()
	}
}

func (c *conn) close() {
	if c.c != nil {
		// On the loop gnet closes at once and calls Closed.
		_ = c.c.EventLoop().Close(c.c)
	}
}

// Closed gives up all that was open.
func (c *conn) Closed(gnet.Conn, error) {
	c.c = nil
	delete(c.s.unsent, c)
	c.s.conns--
	c.sort()
	c.awaits = false
	c.s.loop.ClearDeadline(&c.late)
	for _, st := range c.streams {
		st.forget()
		if st.taken != 0 {
			c.s.dispatcher.Cancel(st.taken)
		}
	}
}

// ---- a request ----

// param takes in part of the parameters; an empty one ends them.
func (st *stream) param(b []byte) {
	s := st.conn.s
	if len(b) > 0 {
		if !st.params.Append(b) {
			st.reject(http.StatusRequestHeaderFieldsTooLarge, errors.New("parameters too long"))
		}
		return
	}
	st.named = true
	var slots map[string]int
	if s.rules != nil {
		slots = s.rules.slots
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
		affinity, route = s.decide(&f, st.conn)
	}
	if st.call, err = f.call(s.site, s.classes); err != nil {
		st.reject(http.StatusBadRequest, err)
	}
	st.call.Affinity, st.call.Route = affinity, route
}

const healthPath = "/health"

// stdin takes in part of the body; an empty one ends it and with it the request.
func (st *stream) stdin(b []byte) {
	s := st.conn.s
	if len(b) > 0 {
		if st.body == nil {
			if st.body = s.buffer(st); st.body == nil {
				s.complain("request refused: too many are open", nil)
				st.end(appendEnd(s.scratch[:0], st.id, statusOverloaded))
				return
			}
		}
		if !st.body.Append(b) {
			st.reject(http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", bufferpool.Size))
		}
		return
	}
	if !st.named {
		st.reject(http.StatusBadRequest, errors.New("body ended before the parameters"))
		return
	}
	if st.fields.path == healthPath {
		st.health()
		return
	}
	size := 0
	if st.body != nil {
		size = len(st.body.B)
	}
	if st.fields.length != "" && st.fields.length != strconv.Itoa(size) {
		st.reject(http.StatusBadRequest, fmt.Errorf("body of %d bytes, CONTENT_LENGTH %.20q", size, st.fields.length))
		return
	}
	st.call.Body = st.body
	// The client's time runs from its last byte, which may have waited here to be read.
	st.call.TimeLeft = max(st.call.TimeLeft-st.conn.unread, 0)
	ref, err := s.dispatcher.Submit(st.call, s, st.ref)
	switch {
	case errors.Is(err, dispatch.ErrTooManyRequests):
		s.complain("request refused: too many are open", nil)
		st.end(appendEnd(s.scratch[:0], st.id, statusOverloaded))
	case err != nil:
		st.reject(http.StatusBadRequest, err)
	default:
		st.taken, st.body = ref, nil
		st.whole()
		s.loop.ClearDeadline(&st.late)
		st.conn.meet()
	}
}

func (st *stream) health() {
	if st.conn.s.dispatcher.HasEndpoints() {
		st.respond(http.StatusOK, "", []byte("ok\n"))
	} else {
		st.respond(http.StatusServiceUnavailable, "", nil)
	}
}

// abort ends a request that its client waits for no more. No answer is owed, but its id is free again.
func (st *stream) abort() {
	s, taken := st.conn.s, st.taken
	st.end(appendEnd(s.scratch[:0], st.id, statusComplete))
	if taken != 0 {
		s.dispatcher.Cancel(taken)
	}
}

func (st *stream) reject(status int, err error) {
	st.conn.s.complain("request rejected", fmt.Errorf("status %d: %w", status, err))
	st.respond(status, "", nil)
}

// respond writes the whole answer.
func (st *stream) respond(status int, headers string, body []byte) {
	head := fmt.Appendf(nil, "Status: %d %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), headers, len(body))
	st.end(appendEnd(appendStdout(st.conn.s.scratch[:0], st.id, head, body), st.id, statusComplete))
}

// end forgets the request and then writes its last bytes.
func (st *stream) end(last []byte) {
	c := st.conn
	st.forget()
	delete(c.streams, st.id)
	c.meet()
	c.write(last)
	if c.last = c.last || !st.keep; c.last && len(c.streams) == 0 {
		c.linger()
	}
}

// whole notes that nothing more of the request is to come.
func (st *stream) whole() {
	if st.place != nil {
		st.conn.s.half.Remove(st.place)
		st.place = nil
	}
}

// forget gives back what the request holds.
func (st *stream) forget() {
	s := st.conn.s
	st.whole()
	s.loop.ClearDeadline(&st.late)
	s.streams.Remove(st.ref)
	s.pool.Put(st.params)
	s.pool.Put(st.body)
	st.params, st.body = nil, nil
}
