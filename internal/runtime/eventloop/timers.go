package eventloop

import (
	"time"

	"calicohill/internal/runtime/deadline"
)

// initialWakeup is what the wakeup timer is created with; endTurn resets it as soon as there is a timer.
const initialWakeup = time.Hour

// SetDeadline starts a timer, or moves it if it is running. It must be called on the loop.
func (l *Loop) SetDeadline(timer *deadline.Timer, at time.Duration) { l.timers.Set(timer, at) }

// ClearDeadline stops a timer. It must be called on the loop.
func (l *Loop) ClearDeadline(timer *deadline.Timer) { l.timers.Remove(timer) }

// beginTurn starts a turn of the loop by checking for a stall: a wakeup that was due long ago has not come yet.
func (l *Loop) beginTurn() {
	if l.wakeupAt > 0 && l.Stalled != nil && l.Now() > l.wakeupAt+l.StallThreshold {
		l.wakeupAt = 0
		l.Stalled()
	}
}

// endTurn ends a turn of the loop: it schedules the timers that are due, or the wakeup for the earliest one.
//
// Due timers fire only after the connections that have something to read in this pass: after a stall, a response may have
// arrived that is not read yet, and its timer would report a timeout.
func (l *Loop) endTurn() {
	earliest, ok := l.timers.Next()
	if !ok || l.firePending {
		return
	}
	now := l.Now()
	if earliest <= now {
		l.firePending = true
		l.Post(l.fireDueTimers)
		return
	}
	if l.wakeupAt == 0 || earliest < l.wakeupAt {
		l.wakeupAt = earliest
		l.wakeup.Reset(earliest - now)
	}
}

// startWakeupTimer creates the wakeup timer. It is first set so far ahead that only endTurn decides when it expires.
func (l *Loop) startWakeupTimer() {
	l.wakeup = time.AfterFunc(initialWakeup, func() {
		l.Post(func() {
			l.wakeupAt = 0
			l.fireDueTimers()
		})
	})
}

// fireDueTimers calls the timers that are due, the earliest first.
func (l *Loop) fireDueTimers() {
	l.firePending = false
	now := l.Now()
	for timer := l.timers.PopDue(now); timer != nil; timer = l.timers.PopDue(now) {
		timer.Fire()
	}
}
