// Package demand counts requests with exponential decay, so that recent requests weigh more than old ones.
// The package makes no decisions. Its counts determine over how many workers a function is spread, and they
// enter the slow-start budget of workers that are warming up.
package demand

import (
	"math"
	"time"
)

// windowKeepAlives is the length of the window in instance keep-alives.
const windowKeepAlives = 2.0

// Window is the decay time constant of counts.
type Window struct{ seconds float64 }

// NewWindow returns the window for an instance keep-alive.
func NewWindow(keepAlive time.Duration) Window {
	return Window{windowKeepAlives * keepAlive.Seconds()}
}

// Seconds returns the length of the window.
func (w Window) Seconds() float64 { return w.seconds }

// Count is a decaying count of requests. The zero Count is 0.
type Count struct {
	weight float64       // at lastAt
	lastAt time.Duration // time of the latest request
}

// NewCount returns a count that had the given weight at countedAt, which must not be in the future.
func NewCount(countedAt time.Duration, weight float64) Count {
	return Count{weight: weight, lastAt: countedAt}
}

// Add counts a request.
func (c *Count) Add(now time.Duration, window Window) {
	c.weight = c.At(now, window) + 1
	c.lastAt = now
}

// At returns the decayed count at the time now.
func (c *Count) At(now time.Duration, window Window) float64 {
	return c.weight * math.Exp(-(now-c.lastAt).Seconds()/window.seconds)
}

// PerKeepAlive returns the number of requests per instance keep-alive, measured at the latest request.
func (c *Count) PerKeepAlive() float64 { return c.weight / windowKeepAlives }

// LastAt returns the time of the latest request.
func (c *Count) LastAt() time.Duration { return c.lastAt }
