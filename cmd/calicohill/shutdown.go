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
	// drainDelay is the time after SIGTERM during which new requests still arrive: by its end the platform has
	// redirected all clients.
	drainDelay = 700 * time.Millisecond
	// partialRequestTimeout is the maximum time after drainDelay to wait for the rest of a partly received request.
	partialRequestTimeout = time.Second
	// minKillDelay is the earliest time after drainDelay at which the platform kills the process, unless the longest
	// deadline of all classes is shorter.
	minKillDelay = 3 * time.Second
	// killMargin is the time before the kill at which open requests get their final answer: they can't be answered
	// after the kill.
	killMargin = 200 * time.Millisecond
	// idleCheckInterval is the time between two checks for unanswered requests. A scheduler is idle only if it has
	// received nothing from clients for this time: after a stall it reads the data on its connections one connection at
	// a time.
	idleCheckInterval = 50 * time.Millisecond
	// maxPartialChecks is partialRequestTimeout as a number of checks. The drainer counts checks instead of measuring
	// time, since after a stall it still has to read the data that arrived meanwhile.
	maxPartialChecks = int(partialRequestTimeout / idleCheckInterval)
	// flushTimeout is the time that clients have to read the last answer after it was written.
	flushTimeout = 3 * time.Second
)

// drain begins the graceful shutdown. Further calls have no effect.
func (s *scheduler) drain(received os.Signal) {
	if s.drainer != nil {
		return
	}
	s.log.WithField("signal", received.String()).Info("draining")
	s.drainer = &drainer{
		loop: s.loop, dispatcher: s.dispatcher, server: s.server,
		rejectAfter: rejectAfter(s.platform.Deployment.Classes),
	}
	s.drainer.start()
}

// rejectAfter returns the time after drainDelay at which open requests get their final answer.
func rejectAfter(classes []routing.Class) time.Duration {
	longestDeadline := time.Duration(0)
	for _, class := range classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	return max(min(longestDeadline, minKillDelay)-killMargin, 0)
}

// drainPhase is a phase of the graceful shutdown.
type drainPhase int

const (
	serving        drainPhase = iota
	listenerClosed            // no new connections are accepted; requests on open connections are served
	rejecting                 // no further requests are served, and connections are closed
)

// drainPhaseNames are the names of the phases in the log.
var drainPhaseNames = map[drainPhase]string{serving: "serving", listenerClosed: "listener closed", rejecting: "rejecting"}

// state returns the phase of the shutdown and how long ago it was requested, or an empty phase if it was not.
func (d *drainer) state() (phase string, since time.Duration) {
	if d == nil {
		return "", 0
	}
	return drainPhaseNames[d.phase], d.loop.Now() - d.started
}

// drainer shuts a scheduler down gracefully. It stops the event loop once no more requests arrive, all requests are
// answered and all answers are sent. Requests that stay open for too long get their final answer without being served.
// The drainer runs on the loop.
//
// The drainer closes the listener before it closes connections. A client whose request crosses the close of its
// connection connects again; that connect must be refused rather than accepted by a process that is about to exit.
type drainer struct {
	loop        *eventloop.Loop
	dispatcher  *dispatch.Dispatcher
	server      *fastcgi.Server
	rejectAfter time.Duration

	timer    deadline.Timer
	phase    drainPhase
	started  time.Duration
	lastBusy time.Duration // time of the last check that found an open or arriving request
	checks   int
}

// start schedules the first check for the end of drainDelay, when the platform has redirected all clients.
func (d *drainer) start() {
	d.started = d.loop.Now()
	d.lastBusy = d.started
	d.timer.Fire = d.check
	d.loop.SetDeadline(&d.timer, d.started+drainDelay)
}

// check advances to the next phase once the scheduler is idle or the time of the current phase is over. It schedules
// the next check until the loop is to be stopped.
func (d *drainer) check() {
	now := d.loop.Now()
	d.checks++
	idle := d.isIdle(now)
	// The time limit is needed since clients keep sending requests over open connections until the kill: the scheduler
	// may never be idle.
	rejectAt := d.started + drainDelay + d.rejectAfter
	switch {
	case d.phase == serving && (idle || now >= rejectAt-idleCheckInterval):
		d.phase = listenerClosed
		d.loop.CloseListener()
	case d.phase == listenerClosed && (idle && d.loop.ListenerClosed() || now >= rejectAt):
		d.phase = rejecting
		d.rejectRequests()
	case d.phase == rejecting && idle:
		go d.stop()
		return
	case d.phase == rejecting:
		d.rejectRequests()
	}
	d.loop.SetDeadline(&d.timer, now+idleCheckInterval)
}

// isIdle reports whether no request is open or arriving and all answers are sent. In the last phase it ignores arriving
// requests, since they are rejected.
func (d *drainer) isIdle(now time.Duration) bool {
	arriving := d.phase != rejecting && d.checks < maxPartialChecks && d.requestsArriving(now)
	if d.dispatcher.OpenRequests() > 0 || arriving {
		d.lastBusy = now
		return false
	}
	return d.server.UnsentBytes() == 0 || now-d.lastBusy >= flushTimeout
}

// rejectRequests rejects further requests and sends open requests their final answer.
func (d *drainer) rejectRequests() {
	d.server.Drain()
	d.dispatcher.Shutdown()
}

// requestsArriving reports whether a request is partly read or client data was received since the last check.
func (d *drainer) requestsArriving(now time.Duration) bool {
	return d.server.OpenRequests() > 0 || now-d.server.LastReceived() < idleCheckInterval
}

// stop stops the event loop. It must not be called on the loop, since it waits for the loop to return.
func (d *drainer) stop() {
	_ = d.loop.Stop() // fails only if the loop is already stopping
}
