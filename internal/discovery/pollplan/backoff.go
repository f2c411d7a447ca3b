package pollplan

import "time"

// minBackoff and maxBackoff bound the pause before the next poll where polls fail; it doubles with each failure. In a
// fleet the reconnect window comes on top.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 640 * time.Millisecond
)

// backoff is the pause after failures in a row, exponential between minBackoff and maxBackoff. It belongs to a Planner.
type backoff struct {
	pause time.Duration // after the last failure; 0 if the last poll succeeded
}

// grow records a failure and returns the pause after it.
func (b *backoff) grow() time.Duration {
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	return b.pause
}

// reset ends the series of failures.
func (b *backoff) reset() { b.pause = 0 }

// isZero reports whether the last poll did not fail.
func (b *backoff) isZero() bool { return b.pause == 0 }
