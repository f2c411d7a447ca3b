// Package demand counts requests with exponential decay, so that what is called much now counts for more than
// what was called much before. It decides nothing itself: the spread of a function over workers and the
// budget of warming workers follow its counts.
package demand

import (
	"math"
	"time"
)

// countedKeepAlives is over how many keep-alives of an instance requests are counted.
const countedKeepAlives = 2.0

// Window is the time constant of counts.
type Window struct{ seconds float64 }

// NewWindow returns the window for instances that are kept idle for so long.
func NewWindow(keepAlive time.Duration) Window {
	return Window{countedKeepAlives * keepAlive.Seconds()}
}

// Seconds is the length of the window.
func (w Window) Seconds() float64 { return w.seconds }

// Count is a decaying count of requests. The zero Count has counted none.
type Count struct {
	weight float64 // as of lastAt
	lastAt time.Duration
}

// NewCount returns a count with this weight at an earlier or the present time.
func NewCount(countedAt time.Duration, weight float64) Count {
	return Count{weight: weight, lastAt: countedAt}
}

// Add counts a request.
func (c *Count) Add(now time.Duration, window Window) {
	c.weight = c.At(now, window) + 1
	c.lastAt = now
}

// At is what is left of the count at a time.
func (c *Count) At(now time.Duration, window Window) float64 {
	return c.weight * math.Exp(-(now-c.lastAt).Seconds()/window.seconds)
}

// PerKeepAlive is the number of requests in a keep-alive as of the latest request.
func (c *Count) PerKeepAlive() float64 { return c.weight / countedKeepAlives }

// LastAt is the time of the latest request.
func (c *Count) LastAt() time.Duration { return c.lastAt }
