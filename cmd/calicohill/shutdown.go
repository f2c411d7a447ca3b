package main

import (
	"os"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/eventloop"
	"calicohill/routing"
)

const (
	// drainDelay is how long after SIGTERM new requests still arrive, until the platform has redirected all clients.
	drainDelay = 700 * time.Millisecond
	// partialRequestTimeout is how much longer the scheduler waits for the rest of a request that has begun to arrive.
	partialRequestTimeout = time.Second
	// minKillDelay is how long after drainDelay the platform kills the process at the soonest, or the longest deadline
	// of a class if that is shorter.
	minKillDelay = 3 * time.Second
	// killMargin is how long before that open requests get their final answer: after the kill nobody could answer them.
	killMargin = 200 * time.Millisecond
	// idleCheckInterval is the time between two checks whether everything is answered. A scheduler is only idle when
	// nothing was received from clients for as long: what arrived on their connections during a stall is read later, one
	// connection after the other.
	idleCheckInterval = 50 * time.Millisecond
	// maxPartialChecks is partialRequestTimeout in checks. Checks are counted rather than time, since after a stall all
	// that arrived meanwhile has still to be read.
	maxPartialChecks = int(partialRequestTimeout / idleCheckInterval)
	// flushTimeout is how long after the last answer was written clients may take to read it.
	flushTimeout = 3 * time.Second
)

// drain begins the graceful shutdown. Further signals change nothing.
func (s *scheduler) drain(received os.Signal) {
	if s.draining {
		return
	}
	s.draining = true
	s.log.WithField("signal", received.String()).Info("draining")
	drainer := &drainer{
		loop: s.loop, dispatcher: s.dispatcher, server: s.server,
		closeAfter: closeAfter(s.platform.Deployment.Classes),
	}
	drainer.start()
}

// closeAfter returns how long after drainDelay requests that are still open get a final answer.
func closeAfter(classes []routing.Class) time.Duration {
	longestDeadline := time.Duration(0)
	for _, class := range classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	return max(min(longestDeadline, minKillDelay)-killMargin, 0)
}

// drainPhase is how far a drainer has come.
type drainPhase int

const (
	serving        drainPhase = iota
	listenerClosed            // no new connections come; requests on open ones are served
	refusing                  // nothing further is served, and connections are closed
)

// drainer ends a scheduler gracefully: it stops the loop once requests have ceased to arrive, all are answered, and the
// answers are sent. Requests that are open for too long are answered without having been served. It runs on the loop.
//
// Connections are closed only after the listener: a client whose request crosses the close connects again, and is to find
// nobody rather than a process that is about to end.
type drainer struct {
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	server     *fastcgi.Server
	closeAfter time.Duration

	timer    deadline.Timer
	phase    drainPhase
	started  time.Duration
	lastBusy time.Duration // when a check last found a request that was open or arriving
	checks   int
}

// start has the first check made when the platform has redirected all clients.
func (d *drainer) start() {
	d.started = d.loop.Now()
	d.lastBusy = d.started
	d.timer.Fire = d.check
	d.loop.SetDeadline(&d.timer, d.started+drainDelay)
}

// check goes on to the next phase if nothing is left to do in this one or its time is over, and has itself called again until
// the loop is stopped.
func (d *drainer) check() {
	now := d.loop.Now()
	d.checks++
	idle := d.isIdle(now)
	// Clients that go on over open connections, as they do until the kill, always have a request open.
	refuseAt := d.started + drainDelay + d.closeAfter
	switch {
	case d.phase == serving && (idle || now >= refuseAt-idleCheckInterval):
		d.phase = listenerClosed
		d.loop.CloseListener()
	case d.phase == listenerClosed && (idle && d.loop.ListenerClosed() || now >= refuseAt):
		d.phase = refusing
		d.refuse()
	case d.phase == refusing && idle:
		go d.stop()
		return
	case d.phase == refusing:
		d.refuse()
	}
	d.loop.SetDeadline(&d.timer, now+idleCheckInterval)
}

// isIdle reports whether no request is open or arriving, and all answers are sent. While further requests are refused it does
// not matter whether some arrive.
func (d *drainer) isIdle(now time.Duration) bool {
	arriving := d.phase != refusing && d.checks < maxPartialChecks && d.requestsArriving(now)
	if d.dispatcher.OpenRequests() > 0 || arriving {
		d.lastBusy = now
		return false
	}
	return d.server.UnsentBytes() == 0 || now-d.lastBusy >= flushTimeout
}

// refuse has nothing further served, and gives what is open its final answer.
func (d *drainer) refuse() {
	d.server.Drain()
	d.dispatcher.Shutdown()
}

// requestsArriving reports whether a request is partly read, or clients have sent something since the last check.
func (d *drainer) requestsArriving(now time.Duration) bool {
	return d.server.OpenRequests() > 0 || now-d.server.LastReceived() < idleCheckInterval
}

// stop ends the loop. It must not be called on it, since it waits for its end.
func (d *drainer) stop() {
	_ = d.loop.Stop() // fails only if the loop is ending already
}
