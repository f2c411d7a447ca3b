package nodeagent

import (
	"strconv"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// maxWriteAttempts is how many connections may turn out to be dead when a call is written until the call fails.
const maxWriteAttempts = 3

// call is an attempt or a health check.
type call struct {
	dispatch.Attempt
	target           *worker
	conn             *conn // nil until it is written
	isHealthCheck    bool
	writeAttempts    int // connections that turned out to be dead when it was to be written
	writtenAt        time.Duration
	healthCheckTimer deadline.Timer // the timers of attempts belong to the dispatcher
}

// beginWrite notes that the call is written to a connection from now on.
func (c *call) beginWrite(to *conn, now time.Duration) {
	c.conn = to
	c.writtenAt = now
}

// writeFailed notes that nothing of the call was written, since its connection was dead, and reports whether it may be
// written to another.
func (c *call) writeFailed() (retry bool) {
	c.conn = nil
	c.writeAttempts++
	return c.writeAttempts < maxWriteAttempts
}

// withoutAnswer is the result of a call that ended without an answer of its agent.
func withoutAnswer(outcome routing.Outcome) dispatch.AttemptResult {
	return dispatch.AttemptResult{Outcome: outcome, InFlightForFunction: dispatch.InFlightUnknown}
}

// callTable holds the attempts that have not ended, and reports the end of attempts and health checks to the Sink. It
// belongs to a Pool and is used on the event loop only. The Sink bounds the attempts, and Options.ConnectTimeout the life
// of a health check.
type callTable struct {
	loop       Loop
	sink       Sink
	attempts   map[slotmap.Ref]*call
	probeCount uint64
}

// addAttempt adds an attempt for a worker, which is nil if it is not listed.
func (t *callTable) addAttempt(attempt *dispatch.Attempt, target *worker) *call {
	added := &call{Attempt: *attempt, target: target}
	t.attempts[attempt.Ref] = added
	return added
}

// newHealthCheck returns a health check of a worker, which is nil if it is not listed. onTimeout is called after timeout
// unless the health check has ended.
func (t *callTable) newHealthCheck(id string, target *worker, timeout time.Duration, onTimeout func(*call)) *call {
	t.probeCount++
	now := t.loop.Now()
	check := &call{
		Attempt:       dispatch.Attempt{Worker: id, ID: "p" + strconv.FormatUint(t.probeCount, 10)},
		target:        target,
		isHealthCheck: true,
		writtenAt:     now,
	}
	check.healthCheckTimer.Fire = func() { onTimeout(check) }
	t.loop.SetDeadline(&check.healthCheckTimer, now+timeout)
	return check
}

// take removes an attempt, whose end is then not reported; nil if it has ended.
func (t *callTable) take(ref slotmap.Ref) *call {
	taken := t.attempts[ref]
	delete(t.attempts, ref)
	return taken
}

// maySend reports whether a call may still be written.
func (t *callTable) maySend(waiting *call) bool {
	return waiting.isHealthCheck || t.sink.MaySend(waiting.Ref)
}

// finish reports how a call ended.
func (t *callTable) finish(ended *call, result dispatch.AttemptResult) {
	if ended.isHealthCheck {
		t.loop.ClearDeadline(&ended.healthCheckTimer)
		t.sink.ProbeEnded(ended.Worker, t.loop.Now()-ended.writtenAt, result)
		return
	}
	delete(t.attempts, ended.Ref)
	t.sink.AttemptEnded(ended.Ref, result)
}
