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
	idleShare = 0.85
	// silence is how long a connection may answer nothing, with something out that was written before, until
	// new requests go on another: a machine that was cut off gives no sign on the old one.
	silence = time.Second
	// lostMost is how many requests in a row may be given up on a connection that answered nothing meanwhile:
	// those of impatient clients end before silence is noticed.
	lostMost = 3
	// lostAfter is how long a request must have been out to count as one of those. Clients that withdraw hundreds
	// at once tell nothing of the worker.
	lostAfter = 200 * time.Millisecond
	// perWorker is how many connections to one worker may be open, silent ones included.
	perWorker = 8
	// spread is how many connections to one worker are used side by side, as far as there is something to carry.
	// A connection that breaks, by one answer that cannot be read, takes along all that is out on it.
	spread = 4
	// carryEach is how many schedulers there are for each request that a connection carries before another is used
	// beside it, spread requests at most: agents take only so many connections of all of them together.
	carryEach = 3
	// aloneFor is how long no connection is added to those of a worker after one did not come up.
	aloneFor = time.Second
	// crossing is how long after a request was given up, or answered, another answer to it may still come.
	crossing = 3 * time.Second
	// wholeIn is how long the rest of an answer may take once it has begun to come.
	wholeIn = 250 * time.Millisecond
	// writeTries is how many connections may turn out to be dead when a request is about to be written.
	writeTries = 3
	// backlog is how much may wait unsent on a connection until the agent counts as not reading.
	backlog = 256 << 10
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
	loop    Loop
	sink    Sink
	opt     Options
	log     logrus.FieldLogger
	workers map[string]*worker
	sent    map[slotmap.Ref]*job
	conns   slotmap.Table[*conn]
	dialing int
	queued  []*worker // that are dialed once there are descriptors for it
	wear    wear
	fresh   time.Duration // how long a connection may rest and be used again; 0 means any time
	probes  uint64
	scratch []byte
}

// worker is a process at an address; a new uid or a new start makes a new one.
type worker struct {
	id, addr string
	state    routing.WorkerState
	started  time.Duration
	conns    []*conn
	waiting  []*job // for a connection
	dialing  int
	alone    time.Duration // until then no connection is added to those that there are
}

// job is an attempt or a probe.
type job struct {
	dispatch.Attempt
	w       *worker
	c       *conn // nil while it waits for one
	probe   bool
	tries   int // connections that were dead when it was to be written
	written time.Duration
	late    deadline.Timer // of a probe; those of attempts are the dispatcher's
}

// conn is a connection to a worker. It is its loop.Peer.
type conn struct {
	ref     slotmap.Ref
	pool    *Pool
	w       *worker
	c       gnet.Conn                // nil until it is up and once it is gone
	out     map[string]*job          // by request id
	spent   map[string]time.Duration // when a request was given up or answered: another answer may yet come
	opened  time.Duration
	written time.Duration // when the last request or probe was
	heard   time.Duration // when something last came
	lost    int           // requests given up since
	rest    time.Duration // before the latest request that had the connection to itself
	used    bool          // since then nothing was heard
	retired bool          // gets nothing new
	partial bool          // an answer has begun to come
	idle    deadline.Timer
	due     deadline.Timer // for the rest of that answer
}

// New returns a Pool without workers.
func New(l Loop, s Sink, o Options, log logrus.FieldLogger) *Pool {
	return &Pool{loop: l, sink: s, opt: o, log: log, workers: map[string]*worker{}, sent: map[slotmap.Ref]*job{}}
}

// UpdateEndpoints takes in the list of workers.
func (p *Pool) UpdateEndpoints(r dispatch.EndpointList) {
	seen := map[string]bool{}
	for _, e := range r.Endpoints {
		seen[e.ID] = true
		w := p.workers[e.ID]
		if w != nil && (e.State == routing.Gone || e.Addr != w.addr) {
			p.drop(w)
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
			p.failWaiting(w, routing.NotSent)
		}
		if e.Started != w.started {
			w.started = e.Started
			p.closeOlder(w)
		}
	}
	if r.Full {
		for id, w := range p.workers {
			if !seen[id] {
				p.drop(w)
			}
		}
	}
}

// drop forgets a worker that is gone. What is out there may still be answered, so its connections end with
// that; another worker at its address, or of its name, never gets to use them.
func (p *Pool) drop(w *worker) {
	w.state = routing.Gone
	delete(p.workers, w.id)
	p.failWaiting(w, routing.NotSent)
	for _, c := range slices.Clone(w.conns) {
		c.retire("worker gone")
		c.closeIfSpent()
	}
}

// closeOlder closes a worker's connections from before its latest start. What runs there now knows nothing of
// them: without this, requests out at a machine that came back cut off from them would wait to their end.
func (p *Pool) closeOlder(w *worker) {
	for _, c := range slices.Clone(w.conns) {
		if c.opened < w.started {
			c.close()
		}
	}
}

func (p *Pool) failWaiting(w *worker, o routing.Outcome) {
	waiting := w.waiting
	w.waiting = nil
	for _, j := range waiting {
		p.finish(j, dispatch.AttemptResult{Outcome: o, InFlightForFunction: -1})
	}
}

// finish reports how a job ended.
func (p *Pool) finish(j *job, e dispatch.AttemptResult) {
	if j.probe {
		p.loop.ClearDeadline(&j.late)
		p.sink.ProbeEnded(j.Worker, p.loop.Now()-j.written, e)
		return
	}
	delete(p.sent, j.Ref)
	p.sink.AttemptEnded(j.Ref, e)
}

// Send writes an attempt, or has it wait for a connection.
func (p *Pool) Send(a dispatch.Attempt) {
	j := &job{Attempt: a, w: p.workers[a.Worker]}
	p.sent[a.Ref] = j
	p.start(j)
}

// Probe asks a worker for its load report.
func (p *Pool) Probe(id string) {
	p.probes++
	j := &job{
		Attempt: dispatch.Attempt{Worker: id, ID: "p" + strconv.FormatUint(p.probes, 10)},
		w:       p.workers[id], probe: true, written: p.loop.Now(),
	}
	j.late.Fire = func() {
		p.forget(j)
		p.finish(j, dispatch.AttemptResult{Outcome: routing.TimedOut, InFlightForFunction: -1})
	}
	p.loop.SetDeadline(&j.late, p.loop.Now()+p.opt.ConnectTimeout)
	p.start(j)
}

func (p *Pool) start(j *job) {
	w := j.w
	if w == nil || w.state != routing.Ready {
		p.finish(j, dispatch.AttemptResult{Outcome: routing.NotSent, InFlightForFunction: -1})
		return
	}
	c, usable := p.pick(j)
	if c != nil {
		if len(c.out) >= min(max(p.opt.Schedulers/carryEach, 1), spread) && usable < spread {
			p.widen(w)
		}
		c.write(j)
		return
	}
	if len(w.conns)+w.dialing >= perWorker || p.conns.Len()+p.dialing >= p.opt.MaxConns {
		if w.dialing == 0 && !p.evict(w) {
			p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectFailed, InFlightForFunction: -1})
			return
		}
	}
	w.waiting = append(w.waiting, j)
	if (len(w.waiting)-1)/p.opt.PipelineDepth >= w.dialing {
		p.dial(w)
	}
}

// pick chooses a connection that may carry the job, the one with the least out, and tells how many could be used.
func (p *Pool) pick(j *job) (best *conn, usable int) {
	now := p.loop.Now()
	for _, c := range j.w.conns {
		// What waits here to be sent on a connection can't be taken back: by the time that it goes its client may
		// have left, or its worker drain.
		if c.retired || c.partial || len(c.out) >= p.opt.PipelineDepth || c.silent(now) || c.c.OutboundBuffered() > 0 ||
			p.fresh > 0 && len(c.out) == 0 && c.rested(now) >= p.fresh {
			continue
		}
		usable++
		// Two attempts of one request on a connection could not be told apart, and one that was given up or
		// answered may yet be answered there once more.
		_, taken := c.out[j.ID]
		if at, ok := c.spent[j.ID]; taken || ok && now-at < crossing {
			continue
		}
		if best == nil || len(c.out) < len(best.out) {
			best = c
		}
	}
	return best, usable
}

// widen adds a connection to those of a worker, for what comes next. Half of all that there may be are kept for
// workers that have none.
func (p *Pool) widen(w *worker) {
	// Where connections do not outlast a short rest, more of them rest longer and are of no use.
	if w.dialing == 0 && len(w.conns) < perWorker && p.loop.Now() >= w.alone && p.fresh == 0 &&
		2*(p.conns.Len()+p.dialing) < p.opt.MaxConns {
		p.dial(w)
	}
}

// silent reports whether a connection has answered nothing for long, though something is out.
func (c *conn) silent(now time.Duration) bool {
	for _, j := range c.out {
		if j.written > c.heard && now-j.written > silence {
			return true
		}
	}
	return false
}

// evict makes room for a dial by closing a connection that nobody waits on: one of the worker's if it has as many as
// may be, else the one of all that has rested longest.
func (p *Pool) evict(w *worker) bool {
	from := maps.Values(p.workers)
	if len(w.conns)+w.dialing >= perWorker {
		from = slices.Values([]*worker{w})
	}
	var longest *conn
	for w := range from {
		for _, c := range w.conns {
			if len(c.out) == 0 && (longest == nil || max(c.written, c.heard) < max(longest.written, longest.heard)) {
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
	if p.conns.Len()+2*(p.dialing+1) > p.opt.MaxDescriptors {
		if !slices.Contains(p.queued, w) {
			p.queued = append(p.queued, w)
		}
		return
	}
	w.dialing++
	p.dialing++
	c := &conn{pool: p, w: w, out: map[string]*job{}, spent: map[string]time.Duration{}}
	p.loop.Dial(w.addr, p.opt.ConnectTimeout, c, func(err error) {
		w.dialing--
		p.dialing--
		w.alone = p.loop.Now() + aloneFor
		p.log.WithError(err).WithField("worker", w.id).Warn("agent not reached")
		if w.dialing == 0 {
			p.writeWaiting(w) // others may have come free meanwhile
			p.failWaiting(w, routing.ConnectFailed)
		}
		p.dialQueued()
	})
}

// writeWaiting writes what waits for a connection to a worker, as far as there is one for it.
func (p *Pool) writeWaiting(w *worker) {
	waiting := w.waiting
	w.waiting = nil
	for _, j := range waiting {
		// While it waited its request may have been answered, or its worker begun to drain.
		if !j.probe && !p.sink.MaySend(j.Ref) {
			p.finish(j, dispatch.AttemptResult{Outcome: routing.NotSent, InFlightForFunction: -1})
		} else if pick, _ := p.pick(j); pick != nil {
			pick.write(j)
		} else {
			w.waiting = append(w.waiting, j)
		}
	}
}

// dialQueued makes the connections that waited for descriptors, as far as they are still needed.
func (p *Pool) dialQueued() {
	for len(p.queued) > 0 && p.conns.Len()+2*(p.dialing+1) <= p.opt.MaxDescriptors {
		w := p.queued[0]
		p.queued = p.queued[1:]
		if len(w.waiting) > 0 && w.dialing == 0 {
			p.dial(w)
		}
	}
}

// forget takes a job out of whatever holds it and reports whether any of it was written.
func (p *Pool) forget(j *job) bool {
	if j.c != nil {
		j.c.giveUp(j)
		return true
	}
	for i, other := range j.w.waiting {
		if other == j {
			j.w.waiting = append(j.w.waiting[:i:i], j.w.waiting[i+1:]...)
			break
		}
	}
	return false
}

// giveUp takes a job off a connection.
func (c *conn) giveUp(j *job) {
	delete(c.out, j.ID)
	c.spend(j.ID)
}

// spend remembers an id for as long as an answer to it may come that is not for the next attempt.
func (c *conn) spend(id string) {
	now := c.pool.loop.Now()
	if len(c.spent) >= c.pool.opt.PipelineDepth {
		maps.DeleteFunc(c.spent, func(_ string, at time.Duration) bool { return now-at >= crossing })
	}
	c.spent[id] = now
}

// Cancel gives an attempt up; it is not reported any more.
func (p *Pool) Cancel(ref slotmap.Ref) (written bool) {
	j := p.sent[ref]
	if j == nil {
		return false
	}
	delete(p.sent, ref)
	c := j.c
	if !p.forget(j) {
		return false
	}
	if out := p.loop.Now() - j.written; c.heard < j.written && out >= lostAfter {
		if c.lost++; c.lost >= lostMost || out > silence {
			c.retire("silent")
		}
	}
	if c.c != nil {
		p.scratch = append(append(append(p.scratch[:0], "halt "...), j.ID...), crlf...)
		c.send(p.scratch)
	}
	c.closeIfSpent()
	return true
}

// ---- a connection ----

// Opened takes over a connection that is up.
func (c *conn) Opened(gc gnet.Conn) {
	p, w := c.pool, c.w
	w.dialing--
	p.dialing--
	c.c = gc
	c.opened = p.loop.Now()
	c.heard = c.opened
	c.ref = p.conns.Insert(c)
	w.conns = append(w.conns, c)
	c.idle.Fire, c.due.Fire = c.idled, c.cutShort
	p.loop.SetDeadline(&c.idle, c.heard+p.idleAfter())
	defer p.dialQueued()
	if w.state == routing.Gone {
		c.close()
		return
	}
	p.writeWaiting(w)
	if len(w.waiting) > 0 && w.dialing == 0 {
		p.dial(w)
	}
}

func (p *Pool) idleAfter() time.Duration {
	after := time.Duration(idleShare * float64(p.opt.IdleCloseAfter))
	if p.fresh > 0 {
		after = min(after, p.fresh)
	}
	return after
}

// rested is how long nothing has gone on a connection.
func (c *conn) rested(now time.Duration) time.Duration { return now - max(c.written, c.heard) }

// idled closes a connection on which nothing has gone for long.
func (c *conn) idled() {
	now, limit := c.pool.loop.Now(), c.pool.idleAfter()
	if rested := c.rested(now); rested < limit || len(c.out) > 0 {
		c.pool.loop.SetDeadline(&c.idle, now+max(limit-rested, limit/8))
		return
	}
	c.close()
}

// outlasted takes in what became of a connection that was used after a rest, and what follows for all others.
func (p *Pool) outlasted(c *conn, broke bool) {
	c.used = false
	now := p.loop.Now()
	p.wear.note(now, c.rest, broke)
	fresh := p.wear.limit(p.fresh)
	if fresh == p.fresh {
		return
	}
	p.fresh = fresh
	p.log.WithField("rest", fresh).Info("agent connections: longest rest changed")
	for _, w := range p.workers {
		for _, c := range w.conns {
			p.loop.SetDeadline(&c.idle, now)
		}
	}
}

// write sends a job. From here on it may have run, unless the system took nothing of it.
func (c *conn) write(j *job) {
	p := c.pool
	j.c, j.written = c, p.loop.Now()
	if len(c.out) == 0 {
		c.rest, c.used = c.rested(j.written), true
	}
	c.written = j.written
	c.out[j.ID] = j
	b := p.scratch[:0]
	if j.probe {
		b = append(append(append(b, "stat "...), j.ID...), crlf...)
	} else {
		b = appendGo(b, &j.Attempt, p.opt.Classes[j.Class])
	}
	p.scratch = b
	// The peer may have closed already. Nothing waits to be sent before this, so that an error of this write means that
	// none of it has left.
	delete(c.out, j.ID)
	switch n, err := c.c.Write(b); {
	case err == nil:
		c.out[j.ID] = j
	case n == 0:
		// The peer may be well: connections are reset at any time. Another one shows.
		if j.c, j.tries = nil, j.tries+1; j.tries < writeTries {
			p.start(j)
			return
		}
		p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectFailed, InFlightForFunction: -1})
	default:
		p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectionReset, InFlightForFunction: -1})
	}
}

// appendGo adds the command that begins an attempt.
func appendGo(b []byte, a *dispatch.Attempt, class string) []byte {
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

func (c *conn) send(b []byte) {
	// An error closes the connection and is reported by Closed.
	_, err := c.c.Write(b)
	if err == nil && c.c != nil && c.c.OutboundBuffered() > backlog {
		c.pool.log.WithField("worker", c.w.id).Warn("agent does not read: connection closed")
		c.close()
	}
}

// Readable reads answers.
func (c *conn) Readable(gc gnet.Conn) error {
	c.heard, c.lost = c.pool.loop.Now(), 0
	if c.used {
		c.pool.outlasted(c, false)
	}
	for {
		b, err := gc.Peek(-1)
		if err != nil || len(b) == 0 {
			return nil
		}
		a, n, err := parse(b, c.pool.opt.MaxAnswerBytes)
		if err != nil {
			c.pool.log.WithError(err).WithField("worker", c.w.id).Warn("agent closed: it cannot be understood")
			return err
		}
		if n == 0 {
			// Guards against an answer that stops short: until the rest comes, nothing else comes here.
			if !c.partial {
				c.partial = true
				c.pool.loop.SetDeadline(&c.due, c.heard+wholeIn)
			}
			return nil
		}
		if c.partial {
			c.partial = false
			c.pool.loop.ClearDeadline(&c.due)
		}
		c.take(a)
		if c.c == nil {
			return nil
		}
		if _, err := gc.Discard(n); err != nil {
			return fmt.Errorf("reading on: %w", err)
		}
		c.closeIfSpent()
		if c.c == nil {
			return nil
		}
	}
}

var outcomes = map[string]routing.Outcome{
	"OK": routing.Served, "MISS": routing.NotLoaded, "BUSY": routing.Shed,
	"ERR": routing.Errored, "VOID": routing.NotSent, "UP": routing.Served, "DOWN": routing.Errored,
}

// take passes an answer on.
func (c *conn) take(a answer) {
	j, ok := c.out[a.id]
	if !ok {
		return // it was given up before
	}
	delete(c.out, a.id)
	if a.word != "OK" { // which ends the request: it has no next attempt
		c.spend(a.id)
	}
	e := dispatch.AttemptResult{Outcome: outcomes[a.word], Body: a.body, InFlightForFunction: -1, Report: a.report}
	if a.word == "OK" || a.word == "BUSY" {
		e.InFlightForFunction = a.depth
	}
	c.pool.finish(j, e)
}

// cutShort gives up a connection on which the rest of an answer does not come.
func (c *conn) cutShort() {
	c.pool.log.WithField("worker", c.w.id).Warn("agent closed: an answer stops short")
	c.close()
}

// retire has a connection get nothing new.
func (c *conn) retire(why string) {
	if !c.retired {
		c.retired = true
		c.pool.log.WithFields(logrus.Fields{"worker": c.w.id, "why": why}).Info("agent connection retired")
	}
}

// closeIfSpent closes a retired connection once nobody waits for anything on it.
func (c *conn) closeIfSpent() {
	if c.retired && len(c.out) == 0 {
		c.close()
	}
}

func (c *conn) close() {
	if c.c != nil {
		// On the loop gnet closes at once and calls Closed.
		_ = c.c.EventLoop().Close(c.c)
	}
}

var errClosed = errors.New("closed")

// Closed ends all that was out: it was written, so it may have run.
func (c *conn) Closed(_ gnet.Conn, err error) {
	p, w := c.pool, c.w
	c.c = nil
	p.conns.Remove(c.ref)
	p.loop.ClearDeadline(&c.idle)
	p.loop.ClearDeadline(&c.due)
	for i, other := range w.conns {
		if other == c {
			w.conns = append(w.conns[:i:i], w.conns[i+1:]...)
			break
		}
	}
	lost := len(c.out)
	if c.used && lost > 0 && err != nil { // without an error it was closed from here
		p.outlasted(c, true)
	}
	for id, j := range c.out {
		delete(c.out, id)
		p.finish(j, dispatch.AttemptResult{Outcome: routing.ConnectionReset, InFlightForFunction: -1})
	}
	if lost > 0 {
		if err == nil {
			err = errClosed
		}
		p.log.WithError(err).WithFields(logrus.Fields{"worker": w.id, "lost": lost}).Warn("agent connection lost")
	}
	p.dialQueued()
}
