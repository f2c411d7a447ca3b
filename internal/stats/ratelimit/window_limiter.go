package ratelimit

import (
	"time"

	"calicohill/internal/stats/decay"
)

// WindowLimiter limits the number of events in a sliding window to a fixed number plus an allowance for each arrival
// in the window. The zero WindowLimiter is empty and ready to use. It is not safe for concurrent use.
type WindowLimiter struct {
	arrivals decay.Window
	allowed  decay.Window
}

// RecordArrival counts an arrival and removes those older than the window. A window of 0 means that there is no limit;
// the arrival is then not counted.
func (l *WindowLimiter) RecordArrival(now, window time.Duration) {
	if window > 0 {
		l.arrivals.Add(now)
		l.arrivals.Expire(now, window)
	}
}

// Allow counts one more event, or returns false if the limit is reached. The limit is base plus perArrival for each
// arrival in the window. Arrivals in the oldest part of the window, of length margin, don't count, because arrival
// times are known only to that precision.
func (l *WindowLimiter) Allow(now, window, margin time.Duration, base, perArrival float64) bool {
	arrivals := float64(l.arrivals.Within(now, window-margin))
	if float64(l.allowed.Within(now, window)+1) > base+perArrival*arrivals {
		return false
	}
	l.allowed.Add(now)
	return true
}
