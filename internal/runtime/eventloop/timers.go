package eventloop

import (
	"time"

	"calicohill/internal/runtime/deadline"
)

// initialWakeup is the duration with which the wakeup timer is created. afterCallback resets it once a timer is set.
const initialWakeup = time.Hour

// SetDeadline starts a timer, or moves it if it is running. It must be called on the loop.
func (l *Loop) SetDeadline(timer *deadline.Timer, at time.Duration) { l.timers.Set(timer, at) }

// ClearDeadline stops a timer. It must be called on the loop.
func (l *Loop) ClearDeadline(timer *deadline.Timer) { l.timers.Remove(timer) }

// beforeCallback runs before each callback. It detects a stall, in which the wakeup timer is overdue by more than
// StallThreshold.
func (l *Loop) beforeCallback() {
	if l.wakeupAt == 0 || l.Stalled == nil {
		return
	}
	if now := l.Now(); now > l.wakeupAt+l.StallThreshold {
		l.wakeupAt = 0
		l.stalledAt = now
		l.Stalled()
	}
}

// afterCallback runs after each callback. It posts fireDueTimers if a timer is due, and otherwise sets the wakeup timer
// for the earliest one.
//
// Due timers fire only after the loop has read from all connections that are ready in this iteration. Otherwise, after
// a stall, a request would time out although its response has arrived and is merely not read yet.
func (l *Loop) afterCallback() {
	earliest, ok := l.timers.Next()
	if !ok || l.firePending {
		return
	}
	now := l.Now()
	if earliest <= now {
		l.firePending = true
		if l.wakeupAt == 0 && earliest > l.stalledAt {
			l.wakeupAt = earliest // so that the next callback notices a stall within this one
		}
		l.Post(l.fireDueTimers)
		return
	}
	if l.wakeupAt == 0 || earliest < l.wakeupAt {
		l.wakeupAt = earliest
		l.wakeup.Reset(earliest - now)
	}
}

// startWakeupTimer creates the wakeup timer. Until afterCallback sets it, it is due so late that it never expires in
// practice.
func (l *Loop) startWakeupTimer() {
	l.wakeup = time.AfterFunc(initialWakeup, func() {
		l.Post(l.fireDueTimers)
	})
}

// fireDueTimers fires the timers that are due, earliest first. afterCallback sets the wakeup timer again.
func (l *Loop) fireDueTimers() {
	l.firePending = false
	l.wakeupAt = 0
	now := l.Now()
	for timer := l.timers.PopDue(now); timer != nil; timer = l.timers.PopDue(now) {
		timer.Fire()
	}
}
