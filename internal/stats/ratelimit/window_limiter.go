package ratelimit

import (
	"time"

	"calicohill/internal/stats/decay"
)

// WindowLimiter lets so many things be done in a window of time: some whatever happens, and more for each thing that came in.
// The zero WindowLimiter has seen nothing.
type WindowLimiter struct{ came, done decay.Window }

// RecordArrival counts something that came in, for as long as a window lasts; 0 means that nothing is rationed.
func (r *WindowLimiter) RecordArrival(now, window time.Duration) {
	if window > 0 {
		r.came.Add(now)
		r.came.Expire(now, window)
	}
}

// Allow counts one more thing as done, or reports that the ration is spent: free things and perCame for each that came
// within the window, less an edge for those of which it is not sure that they came so late.
func (r *WindowLimiter) Allow(now, window, edge time.Duration, free, perCame float64) bool {
	came := float64(r.came.Within(now, window-edge))
	if float64(r.done.Within(now, window)+1) > free+perCame*came {
		return false
	}
	r.done.Add(now)
	return true
}
