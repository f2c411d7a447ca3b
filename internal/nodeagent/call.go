package nodeagent

import (
	"strconv"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// maxWriteAttempts is the number of broken connections on which the write of a call may fail before the call fails.
const maxWriteAttempts = 3

// call is an attempt or a health check.
type call struct {
	dispatch.Attempt
	target           *worker
	conn             *conn // nil until the call is written
	isHealthCheck    bool
	writeAttempts    int // writes that failed because the connection was broken
	writtenAt        time.Duration
	healthCheckTimer deadline.Timer // the dispatcher owns the timers of attempts
}

// beginWrite records the connection and the time before the call is written.
func (c *call) beginWrite(to *conn, now time.Duration) {
	c.conn = to
	c.writtenAt = now
}

// writeFailed records that no part of the call was written because the connection was broken. It reports whether the
// call may be written to another connection.
func (c *call) writeFailed() (retry bool) {
	c.conn = nil
	c.writeAttempts++
	return c.writeAttempts < maxWriteAttempts
}

// resultWithoutResponse returns the result of a call that ended without a response from the agent.
func resultWithoutResponse(outcome routing.Outcome) dispatch.AttemptResult {
	return dispatch.AttemptResult{Outcome: outcome, InFlightForFunction: dispatch.InFlightUnknown}
}

// callTable holds the open attempts and reports the results of attempts and health checks to the Sink. It belongs to a
// Pool and is used only on the event loop. The Sink limits the number of attempts. Options.ConnectTimeout limits the
// lifetime of a health check.
type callTable struct {
	loop       Loop
	sink       Sink
	attempts   map[slotmap.Ref]*call
	probeCount uint64
}

// addAttempt adds an attempt. The target is nil if the worker is not listed.
func (t *callTable) addAttempt(attempt *dispatch.Attempt, target *worker) *call {
	added := &call{Attempt: *attempt, target: target}
	t.attempts[attempt.Ref] = added
	return added
}

// newHealthCheck returns a new health check. The target is nil if the worker is not listed. If the health check has not
// ended after timeout, onTimeout is called.
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

// take removes and returns an attempt, so that its result is not reported. It returns nil if the attempt has ended.
func (t *callTable) take(ref slotmap.Ref) *call {
	taken := t.attempts[ref]
	delete(t.attempts, ref)
	return taken
}

// maySend reports whether a call may still be written.
func (t *callTable) maySend(waiting *call) bool {
	return waiting.isHealthCheck || t.sink.MaySend(waiting.Ref)
}

// finish ends a call and reports its result.
func (t *callTable) finish(ended *call, result dispatch.AttemptResult) {
	if ended.isHealthCheck {
		t.loop.ClearDeadline(&ended.healthCheckTimer)
		t.sink.ProbeEnded(ended.Worker, t.loop.Now()-ended.writtenAt, result)
		return
	}
	delete(t.attempts, ended.Ref)
	t.sink.AttemptEnded(ended.Ref, result)
}
