package ratelimit

import (
	"time"

	"calicohill/internal/stats/decay"
)

// WindowLimiter limits how many events are allowed within a sliding window: a fixed number, and more for each arrival
// within the window. The zero WindowLimiter has seen nothing. It is not safe for concurrent use.
type WindowLimiter struct {
	arrivals decay.Window
	allowed  decay.Window
}

// RecordArrival counts an arrival for the length of a window. A window of 0 means that nothing is limited, and counts
// nothing.
func (l *WindowLimiter) RecordArrival(now, window time.Duration) {
	if window > 0 {
		l.arrivals.Add(now)
		l.arrivals.Expire(now, window)
	}
}

// Allow counts one more event, or returns false if the limit is reached: base events and perArrival for each arrival
// within the window. Arrivals of the first margin of the window don't count, since the time of an arrival is known only
// to within that margin.
func (l *WindowLimiter) Allow(now, window, margin time.Duration, base, perArrival float64) bool {
	arrivals := float64(l.arrivals.Within(now, window-margin))
	if float64(l.allowed.Within(now, window)+1) > base+perArrival*arrivals {
		return false
	}
	l.allowed.Add(now)
	return true
}
