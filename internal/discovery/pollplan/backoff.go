package pollplan

import "time"

// minBackoff and maxBackoff limit the delay before the next poll after a failure. The delay doubles with each failure.
// In a fleet, the wait for the slot in the reconnect window is added to it.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
)

// backoff is an exponential backoff between minBackoff and maxBackoff. It belongs to a Planner.
type backoff struct {
	pause time.Duration // delay after the last failure; 0 if the last poll succeeded
}

// increase records a failure and returns the delay after it.
func (b *backoff) increase() time.Duration {
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	return b.pause
}

// reset resets the delay after a success.
func (b *backoff) reset() { b.pause = 0 }

// isZero reports whether no failure was recorded since the last reset.
func (b *backoff) isZero() bool { return b.pause == 0 }
