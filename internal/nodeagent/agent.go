// Package nodeagent reaches the node agents: it keeps connections to them, writes requests and probes, and reads
// their answers.
package nodeagent

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

var crlf = []byte("\r\n")

const (
	// idleShare is the part of the time after which an agent closes an idle connection that a connection is
	// used for: a request written just then would meet the close, and nobody could tell whether it ran.
	idleCloseFraction = 0.85
	// silence is how long a connection may answer nothing, with something out that was written before, until
	// new requests go on another: a machine that was cut off gives no sign on the old one.
	silenceTimeout = time.Second
	// lostMost is how many requests in a row may be given up on a connection that answered nothing meanwhile:
	// those of impatient clients end before silence is noticed.
	maxUnansweredCancels = 3
	// lostAfter is how long a request must have been out to count as one of those. Clients that withdraw hundreds
	// at once tell nothing of the worker.
	minUnansweredCancelAge = 200 * time.Millisecond
	// perWorker is how many connections to one worker may be open, silent ones included.
	maxConnsPerWorker = 8
	// spread is how many connections to one worker are used side by side, as far as there is something to carry.
	// A connection that breaks, by one answer that cannot be read, takes along all that is out on it.
	preferredConnsPerWorker = 4
	// carryEach is how many schedulers there are for each request that a connection carries before another is used
	// beside it, spread requests at most: agents take only so many connections of all of them together.
	schedulersPerInFlight = 3
	// aloneFor is how long no connection is added to those of a worker after one did not come up.
	dialBackoff = time.Second
	// crossing is how long after a request was given up, or answered, another answer to it may still come.
	lateAnswerWindow = 3 * time.Second
	// wholeIn is how long the rest of an answer may take once it has begun to come.
	partialAnswerTimeout = 250 * time.Millisecond
	// writeTries is how many connections may turn out to be dead when a request is about to be written.
	maxWriteAttempts = 3
	// backlog is how much may wait unsent on a connection until the agent counts as not reading.
	maxOutboundBytes = 256 << 10
)

// Sink is told what becomes of attempts and probes.
type Sink interface {
	// MaySend reports whether an attempt may still be written: its request is open and its worker takes work.
	MaySend(ref slotmap.Ref) bool
	AttemptEnded(ref slotmap.Ref, e dispatch.AttemptResult)
	ProbeEnded(worker string, took time.Duration, e dispatch.AttemptResult)
}

// Loop is what a Pool needs of the event loop.
type Loop interface {
	dispatch.Loop
	Dial(addr string, timeout time.Duration, p eventloop.ConnHandler, failed func(error))
}

// Options are the figures that a Pool works with.
type Options struct {
	Classes        []string // names, by class number
	PipelineDepth  int      // requests that a connection carries at a time
	IdleCloseAfter time.Duration
	ConnectTimeout time.Duration
	MaxConns       int // connections to all workers
	MaxDescriptors int // descriptors for those, and for the dials: each has two for a moment
	MaxAnswerBytes int // the longest body of an answer, in bytes
	Schedulers     int // that share the workers
}

// Pool keeps the connections to all workers. It is a dispatch.Workers.
type Pool struct {
	loop            Loop
	sink            Sink
	options         Options
	log             logrus.FieldLogger
	workers         map[string]*worker
	attempts        map[slotmap.Ref]*call
	conns           slotmap.Table[*conn]
	dialsInProgress int
	dialQueue       []*worker // that are dialed once there are descriptors for it
	idleResets      idleResetDetector
	maxIdle         time.Duration // how long a connection may rest and be used again; 0 means any time
	probeCount      uint64
	writeBuffer     []byte
}

// worker is a process at an address; a new uid or a new start makes a new one.
type worker struct {
	id, addr         string
	state            routing.WorkerState
	startedAt        time.Duration
	conns            []*conn
	pending          []*call // for a connection
	dialsInProgress  int
	noExtraConnUntil time.Duration // until then no connection is added to those that there are
}

// job is an attempt or a probe.
type call struct {
	dispatch.Attempt
	target           *worker
	conn             *conn // nil while it waits for one
	isHealthCheck    bool
	writeAttempts    int // connections that were dead when it was to be written
	writtenAt        time.Duration
	healthCheckTimer deadline.Timer // of a probe; those of attempts are the dispatcher's
}

// conn is a connection to a worker. It is its loop.Peer.
type conn struct {
	ref                  slotmap.Ref
	pool                 *Pool
	target               *worker
	socket               gnet.Conn                // nil until it is up and once it is gone
	inFlight             map[string]*call         // by request id
	recentlyEnded        map[string]time.Duration // when a request was given up or answered: another answer may yet come
	openedAt             time.Duration
	lastWriteAt          time.Duration // when the last request or probe was
	lastReadAt           time.Duration // when something last came
	unansweredCancels    int           // requests given up since
	idleBeforeUse        time.Duration // before the latest request that had the connection to itself
	idleReuseUnconfirmed bool          // since then nothing was heard
	draining             bool          // gets nothing new
	partialAnswer        bool          // an answer has begun to come
	idleTimer            deadline.Timer
	partialAnswerTimer   deadline.Timer // for the rest of that answer
}

// New returns a Pool without workers.
func New(l Loop, s Sink, o Options, log logrus.FieldLogger) *Pool {
	return &Pool{loop: l, sink: s, options: o, log: log, workers: map[string]*worker{}, attempts: map[slotmap.Ref]*call{}}
}

// UpdateEndpoints takes in the list of workers.
func (p *Pool) UpdateEndpoints(r dispatch.EndpointList) {
	seen := map[string]bool{}
	for _, e := range r.Endpoints {
		seen[e.ID] = true
		w := p.workers[e.ID]
		if w != nil && (e.State == routing.Gone || e.Addr != w.addr) {
			p.removeWorker(w)
			w = nil
		}
		if e.State == routing.Gone {
			continue
		}
		if w == nil {
			w = &worker{id: e.ID, addr: e.Addr}
			p.workers[e.ID] = w
		}
		if w.state = e.State; w.state != routing.Ready {
			p.failPending(w, routing.NotSent)
		}
		if e.Started != w.startedAt {
			w.startedAt = e.Started
			p.closeStaleConns(w)
		}
	}
	if r.Full {
		for id, w := range p.workers {
			if !seen[id] {
				p.removeWorker(w)
			}
		}
	}
}

// drop forgets a worker that is gone. What is out there may still be answered, so its connections end with
// that; another worker at its address, or of its name, never gets to use them.
func (p *Pool) removeWorker(w *worker) {
	w.state = routing.Gone
	delete(p.workers, w.id)
	p.failPending(w, routing.NotSent)
	for _, c := range slices.Clone(w.conns) {
		c.drain("worker gone")
		c.closeIfDrained()
	}
}

// closeOlder closes a worker's connections from before its latest start. What runs there now knows nothing of
// them: without this, requests out at a machine that came back cut off from them would wait to their end.
func (p *Pool) closeStaleConns(w *worker) {
	for _, c := range slices.Clone(w.conns) {
		if c.openedAt < w.startedAt {
			c.close()
		}
	}
}

func (p *Pool) failPending(w *worker, o routing.Outcome) {
	waiting := w.pending
	w.pending = nil
	for _, j := range waiting {
		p.finish(j, dispatch.AttemptResult{Outcome: o, InFlightForFunction: -1})
	}
}

// finish reports how a job ended.
func (p *Pool) finish(j *call, e dispatch.AttemptResult) {
	if j.isHealthCheck {
		p.loop.ClearDeadline(&j.healthCheckTimer)
		p.sink.ProbeEnded(j.Worker, p.loop.Now()-j.writtenAt, e)
		return
	}
	delete(p.attempts, j.Ref)
	p.sink.AttemptEnded(j.Ref, e)
}

// Send writes an attempt, or has it wait for a connection.
func (p *Pool) Send(a dispatch.Attempt) {
	j := &call{Attempt: a, target: p.workers[a.Worker]}
	p.attempts[a.Ref] = j
	p.assign(j)
}

// Probe asks a worker for its load report.
func (p *Pool) Probe(id string) {
	p.probeCount++
	j := &call{
		Attempt: dispatch.Attempt{Worker: id, ID: "p" + strconv.FormatUint(p.probeCount, 10)},
		target:  p.workers[id], isHealthCheck: true, writtenAt: p.loop.Now(),
	}
	j.healthCheckTimer.Fire = func() {
		p.detach(j)
		p.finish(j, dispatch.AttemptResult{Outcome: routing.TimedOut, InFlightForFunction: -1})
	}
	p.loop.SetDeadline(&j.healthCheckTimer, p.loop.Now()+p.options.ConnectTimeout)
	p.assign(j)
}

func (p *Pool) assign(j *call) {
	w := j.target
	if w == nil || w.state != routing.Ready {
		p.finish(j, dispatch.AttemptResult{Outcome: routing.NotSent, InFlightForFunction: -1})
		return
	}
	c, usable := p.pickConn(j)
	if c != nil {
		if len(c.inFlight) >= min(max(p.options.Schedulers/schedulersPerInFlight, 1), preferredConnsPerWorker) && usable < preferredConnsPerWorker {
			p.addConn(w)
		}
		c.write(j)
		return
	}
	if len(w.conns)+w.dialsInProgress >= maxConnsPerWorker || p.conns.Len()+p.dialsInProgress >= p.options.MaxConns {
		if w.dialsInProgress == 0 && !p.evictIdleConn(w) {
			p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectFailed, InFlightForFunction: -1})
			return
		}
	}
	w.pending = append(w.pending, j)
	if (len(w.pending)-1)/p.options.PipelineDepth >= w.dialsInProgress {
		p.dial(w)
	}
}

// pick chooses a connection that may carry the job, the one with the least out, and tells how many could be used.
func (p *Pool) pickConn(j *call) (best *conn, usable int) {
	now := p.loop.Now()
	for _, c := range j.target.conns {
		// What waits here to be sent on a connection can't be taken back: by the time that it goes its client may
		// have left, or its worker drain.
		if c.draining || c.partialAnswer || len(c.inFlight) >= p.options.PipelineDepth || c.unresponsive(now) || c.socket.OutboundBuffered() > 0 ||
			p.maxIdle > 0 && len(c.inFlight) == 0 && c.idleFor(now) >= p.maxIdle {
			continue
		}
		usable++
		// Two attempts of one request on a connection could not be told apart, and one that was given up or
		// answered may yet be answered there once more.
		_, taken := c.inFlight[j.ID]
		if at, ok := c.recentlyEnded[j.ID]; taken || ok && now-at < lateAnswerWindow {
			continue
		}
		if best == nil || len(c.inFlight) < len(best.inFlight) {
			best = c
		}
	}
	return best, usable
}

// widen adds a connection to those of a worker, for what comes next. Half of all that there may be are kept for
// workers that have none.
func (p *Pool) addConn(w *worker) {
	// Where connections do not outlast a short rest, more of them rest longer and are of no use.
	if w.dialsInProgress == 0 && len(w.conns) < maxConnsPerWorker && p.loop.Now() >= w.noExtraConnUntil && p.maxIdle == 0 &&
		2*(p.conns.Len()+p.dialsInProgress) < p.options.MaxConns {
		p.dial(w)
	}
}

// silent reports whether a connection has answered nothing for long, though something is out.
func (c *conn) unresponsive(now time.Duration) bool {
	for _, j := range c.inFlight {
		if j.writtenAt > c.lastReadAt && now-j.writtenAt > silenceTimeout {
			return true
		}
	}
	return false
}

// evict makes room for a dial by closing a connection that nobody waits on: one of the worker's if it has as many as
// may be, else the one of all that has rested longest.
func (p *Pool) evictIdleConn(w *worker) bool {
	from := maps.Values(p.workers)
	if len(w.conns)+w.dialsInProgress >= maxConnsPerWorker {
		from = slices.Values([]*worker{w})
	}
	var longest *conn
	for w := range from {
		for _, c := range w.conns {
			if len(c.inFlight) == 0 && (longest == nil || max(c.lastWriteAt, c.lastReadAt) < max(longest.lastWriteAt, longest.lastReadAt)) {
				longest = c
			}
		}
	}
	if longest == nil {
		return false
	}
	longest.close()
	return true
}

// dial makes a connection to a worker, as soon as there are descriptors for it.
//
// Guards against a program that has no descriptor left: gnet ends its loop when it can't accept a client.
func (p *Pool) dial(w *worker) {
	if p.conns.Len()+2*(p.dialsInProgress+1) > p.options.MaxDescriptors {
		if !slices.Contains(p.dialQueue, w) {
			p.dialQueue = append(p.dialQueue, w)
		}
		return
	}
	w.dialsInProgress++
	p.dialsInProgress++
	c := &conn{pool: p, target: w, inFlight: map[string]*call{}, recentlyEnded: map[string]time.Duration{}}
	p.loop.Dial(w.addr, p.options.ConnectTimeout, c, func(err error) {
		w.dialsInProgress--
		p.dialsInProgress--
		w.noExtraConnUntil = p.loop.Now() + dialBackoff
		p.log.WithError(err).WithField("worker", w.id).Warn("agent not reached")
		if w.dialsInProgress == 0 {
			p.writePending(w) // others may have come free meanwhile
			p.failPending(w, routing.ConnectFailed)
		}
		p.startQueuedDials()
	})
}

// writeWaiting writes what waits for a connection to a worker, as far as there is one for it.
func (p *Pool) writePending(w *worker) {
	waiting := w.pending
	w.pending = nil
	for _, j := range waiting {
		// While it waited its request may have been answered, or its worker begun to drain.
		if !j.isHealthCheck && !p.sink.MaySend(j.Ref) {
			p.finish(j, dispatch.AttemptResult{Outcome: routing.NotSent, InFlightForFunction: -1})
		} else if pick, _ := p.pickConn(j); pick != nil {
			pick.write(j)
		} else {
			w.pending = append(w.pending, j)
		}
	}
}

// dialQueued makes the connections that waited for descriptors, as far as they are still needed.
func (p *Pool) startQueuedDials() {
	for len(p.dialQueue) > 0 && p.conns.Len()+2*(p.dialsInProgress+1) <= p.options.MaxDescriptors {
		w := p.dialQueue[0]
		p.dialQueue = p.dialQueue[1:]
		if len(w.pending) > 0 && w.dialsInProgress == 0 {
			p.dial(w)
		}
	}
}

// forget takes a job out of whatever holds it and reports whether any of it was written.
func (p *Pool) detach(j *call) bool {
	if j.conn != nil {
		j.conn.abandon(j)
		return true
	}
	for i, other := range j.target.pending {
		if other == j {
			j.target.pending = append(j.target.pending[:i:i], j.target.pending[i+1:]...)
			break
		}
	}
	return false
}

// giveUp takes a job off a connection.
func (c *conn) abandon(j *call) {
	delete(c.inFlight, j.ID)
	c.recordEnded(j.ID)
}

// spend remembers an id for as long as an answer to it may come that is not for the next attempt.
func (c *conn) recordEnded(id string) {
	now := c.pool.loop.Now()
	if len(c.recentlyEnded) >= c.pool.options.PipelineDepth {
		maps.DeleteFunc(c.recentlyEnded, func(_ string, at time.Duration) bool { return now-at >= lateAnswerWindow })
	}
	c.recentlyEnded[id] = now
}

// Cancel gives an attempt up; it is not reported any more.
func (p *Pool) Cancel(ref slotmap.Ref) (written bool) {
	j := p.attempts[ref]
	if j == nil {
		return false
	}
	delete(p.attempts, ref)
	c := j.conn
	if !p.detach(j) {
		return false
	}
	if out := p.loop.Now() - j.writtenAt; c.lastReadAt < j.writtenAt && out >= minUnansweredCancelAge {
		if c.unansweredCancels++; c.unansweredCancels >= maxUnansweredCancels || out > silenceTimeout {
			c.drain("silent")
		}
	}
	if c.socket != nil {
		p.writeBuffer = append(append(append(p.writeBuffer[:0], "halt "...), j.ID...), crlf...)
		c.writeControl(p.writeBuffer)
	}
	c.closeIfDrained()
	return true
}

// ---- a connection ----

// Opened takes over a connection that is up.
func (c *conn) Opened(gc gnet.Conn) {
	p, w := c.pool, c.target
	w.dialsInProgress--
	p.dialsInProgress--
	c.socket = gc
	c.openedAt = p.loop.Now()
	c.lastReadAt = c.openedAt
	c.ref = p.conns.Insert(c)
	w.conns = append(w.conns, c)
	c.idleTimer.Fire, c.partialAnswerTimer.Fire = c.onIdleTimer, c.onPartialAnswerTimeout
	p.loop.SetDeadline(&c.idleTimer, c.lastReadAt+p.idleTimeout())
	defer p.startQueuedDials()
	if w.state == routing.Gone {
		c.close()
		return
	}
	p.writePending(w)
	if len(w.pending) > 0 && w.dialsInProgress == 0 {
		p.dial(w)
	}
}

func (p *Pool) idleTimeout() time.Duration {
	after := time.Duration(idleCloseFraction * float64(p.options.IdleCloseAfter))
	if p.maxIdle > 0 {
		after = min(after, p.maxIdle)
	}
	return after
}

// rested is how long nothing has gone on a connection.
func (c *conn) idleFor(now time.Duration) time.Duration {
	return now - max(c.lastWriteAt, c.lastReadAt)
}

// idled closes a connection on which nothing has gone for long.
func (c *conn) onIdleTimer() {
	now, limit := c.pool.loop.Now(), c.pool.idleTimeout()
	if rested := c.idleFor(now); rested < limit || len(c.inFlight) > 0 {
		c.pool.loop.SetDeadline(&c.idleTimer, now+max(limit-rested, limit/8))
		return
	}
	c.close()
}

// outlasted takes in what became of a connection that was used after a rest, and what follows for all others.
func (p *Pool) recordIdleReuse(c *conn, broke bool) {
	c.idleReuseUnconfirmed = false
	now := p.loop.Now()
	p.idleResets.record(now, c.idleBeforeUse, broke)
	fresh := p.idleResets.maxIdle(p.maxIdle)
	if fresh == p.maxIdle {
		return
	}
	p.maxIdle = fresh
	p.log.WithField("rest", fresh).Info("agent connections: longest rest changed")
	for _, w := range p.workers {
		for _, c := range w.conns {
			p.loop.SetDeadline(&c.idleTimer, now)
		}
	}
}

// write sends a job. From here on it may have run, unless the system took nothing of it.
func (c *conn) write(j *call) {
	p := c.pool
	j.conn, j.writtenAt = c, p.loop.Now()
	if len(c.inFlight) == 0 {
		c.idleBeforeUse, c.idleReuseUnconfirmed = c.idleFor(j.writtenAt), true
	}
	c.lastWriteAt = j.writtenAt
	c.inFlight[j.ID] = j
	b := p.writeBuffer[:0]
	if j.isHealthCheck {
		b = append(append(append(b, "stat "...), j.ID...), crlf...)
	} else {
		b = appendStart(b, &j.Attempt, p.options.Classes[j.Class])
	}
	p.writeBuffer = b
	// The peer may have closed already. Nothing waits to be sent before this, so that an error of this write means that
	// none of it has left.
	delete(c.inFlight, j.ID)
	switch n, err := c.socket.Write(b); {
	case err == nil:
		c.inFlight[j.ID] = j
	case n == 0:
		// The peer may be well: connections are reset at any time. Another one shows.
		if j.conn, j.writeAttempts = nil, j.writeAttempts+1; j.writeAttempts < maxWriteAttempts {
			p.assign(j)
			return
		}
		p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectFailed, InFlightForFunction: -1})
	default:
		p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectionReset, InFlightForFunction: -1})
	}
}

// appendGo adds the command that begins an attempt.
func appendStart(b []byte, a *dispatch.Attempt, class string) []byte {
	b = append(append(b, "go "...), a.ID...)
	b = append(append(b, " sort="...), class...)
	b = append(append(b, ",asset="...), a.Function...)
	b = append(b, ",patience="...)
	b = strconv.AppendInt(b, max(a.Timeout.Milliseconds(), 1), 10)
	if a.IdempotencyKey != "" {
		b = append(append(b, ",op="...), a.IdempotencyKey...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(a.Body)), 10)
	b = append(b, crlf...)
	return append(append(b, a.Body...), crlf...)
}

func (c *conn) writeControl(b []byte) {
	// An error closes the connection and is reported by Closed.
	_, err := c.socket.Write(b)
	if err == nil && c.socket != nil && c.socket.OutboundBuffered() > maxOutboundBytes {
		c.pool.log.WithField("worker", c.target.id).Warn("agent does not read: connection closed")
		c.close()
	}
}

// Readable reads answers.
func (c *conn) Readable(gc gnet.Conn) error {
	c.lastReadAt, c.unansweredCancels = c.pool.loop.Now(), 0
	if c.idleReuseUnconfirmed {
		c.pool.recordIdleReuse(c, false)
	}
	for {
		b, err := gc.Peek(-1)
		if err != nil || len(b) == 0 {
			return nil
		}
		a, n, err := parseAnswer(b, c.pool.options.MaxAnswerBytes)
		if err != nil {
			c.pool.log.WithError(err).WithField("worker", c.target.id).Warn("agent closed: it cannot be understood")
			return err
		}
		if n == 0 {
			// Guards against an answer that stops short: until the rest comes, nothing else comes here.
			if !c.partialAnswer {
				c.partialAnswer = true
				c.pool.loop.SetDeadline(&c.partialAnswerTimer, c.lastReadAt+partialAnswerTimeout)
			}
			return nil
		}
		if c.partialAnswer {
			c.partialAnswer = false
			c.pool.loop.ClearDeadline(&c.partialAnswerTimer)
		}
		c.handleAnswer(a)
		if c.socket == nil {
			return nil
		}
		if _, err := gc.Discard(n); err != nil {
			return fmt.Errorf("reading on: %w", err)
		}
		c.closeIfDrained()
		if c.socket == nil {
			return nil
		}
	}
}

var outcomes = map[string]routing.Outcome{
	"OK": routing.Served, "MISS": routing.NotLoaded, "BUSY": routing.Shed,
	"ERR": routing.Errored, "VOID": routing.NotSent, "UP": routing.Served, "DOWN": routing.Errored,
}

// take passes an answer on.
func (c *conn) handleAnswer(a answer) {
	j, ok := c.inFlight[a.id]
	if !ok {
		return // it was given up before
	}
	delete(c.inFlight, a.id)
	if a.status != "OK" { // which ends the request: it has no next attempt
		c.recordEnded(a.id)
	}
	e := dispatch.AttemptResult{Outcome: outcomes[a.status], Body: a.body, InFlightForFunction: -1, Report: a.loadReport}
	if a.status == "OK" || a.status == "BUSY" {
		e.InFlightForFunction = a.inFlightForFunction
	}
	c.pool.finish(j, e)
}

// cutShort gives up a connection on which the rest of an answer does not come.
func (c *conn) onPartialAnswerTimeout() {
	c.pool.log.WithField("worker", c.target.id).Warn("agent closed: an answer stops short")
	c.close()
}

// retire has a connection get nothing new.
func (c *conn) drain(why string) {
	if !c.draining {
		c.draining = true
		c.pool.log.WithFields(logrus.Fields{"worker": c.target.id, "why": why}).Info("agent connection retired")
	}
}

// closeIfSpent closes a retired connection once nobody waits for anything on it.
func (c *conn) closeIfDrained() {
	if c.draining && len(c.inFlight) == 0 {
		c.close()
	}
}

func (c *conn) close() {
	if c.socket != nil {
		// On the loop gnet closes at once and calls Closed.
		_ = c.socket.EventLoop().Close(c.socket)
	}
}

var errConnClosed = errors.New("closed")

// Closed ends all that was out: it was written, so it may have run.
func (c *conn) Closed(_ gnet.Conn, err error) {
	p, w := c.pool, c.target
	c.socket = nil
	p.conns.Remove(c.ref)
	p.loop.ClearDeadline(&c.idleTimer)
	p.loop.ClearDeadline(&c.partialAnswerTimer)
	for i, other := range w.conns {
		if other == c {
			w.conns = append(w.conns[:i:i], w.conns[i+1:]...)
			break
		}
	}
	lost := len(c.inFlight)
	if c.idleReuseUnconfirmed && lost > 0 && err != nil { // without an error it was closed from here
		p.recordIdleReuse(c, true)
	}
	for id, j := range c.inFlight {
		delete(c.inFlight, id)
		p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectionReset, InFlightForFunction: -1})
	}
	if lost > 0 {
		if err == nil {
			err = errConnClosed
		}
		p.log.WithError(err).WithFields(logrus.Fields{"worker": w.id, "lost": lost}).Warn("agent connection lost")
	}
	p.startQueuedDials()
}
