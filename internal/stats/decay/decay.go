// Package decay provides statistics of recent observations: an exponentially decaying value, a recent maximum, an
// exponentially weighted mean, and an event count over a sliding window. They have no clock of their own: callers pass
// the current time.
package decay

import (
	"math"
	"slices"
	"time"
)

// Value is a number that decays exponentially from the time it was set. The reader passes the time constant, in which
// the value falls by the factor e. The zero Value is 0.
type Value struct {
	v  float64
	at time.Duration
}

// At returns the decayed value at the time now, for the time constant tau.
func (d Value) At(now, tau time.Duration) float64 {
	return d.v * math.Exp(-(now-d.at).Seconds()/tau.Seconds())
}

// Set replaces the value.
func (d *Value) Set(now time.Duration, v float64) {
	d.v = v
	d.at = now
}

// Peak is the maximum of recent observations. The zero Peak is 0.
type Peak struct{ Value }

// Observe records an observation. It replaces the peak if it is larger, or if the peak is older than maxAge.
func (p *Peak) Observe(now, maxAge time.Duration, v float64) {
	if v > p.v || now-p.at > maxAge {
		p.Set(now, v)
	}
}

// Within returns the peak if it is younger than maxAge, and 0 otherwise.
func (p *Peak) Within(now, maxAge time.Duration) float64 {
	if now-p.at < maxAge {
		return p.v
	}
	return 0
}

// Mean is an exponentially weighted moving average that starts at its first observation. The zero Mean is 0.
type Mean float64

// Update moves the mean towards the observation v by weight, a fraction of the distance between 0 and 1.
func (m *Mean) Update(v, weight float64) {
	if *m == 0 {
		*m = Mean(v)
	}
	*m += Mean(weight * (v - float64(*m)))
}

// Window counts events within a sliding window of time. The zero Window is empty.
type Window struct {
	times []time.Duration // of the events
}

// Add counts one event.
func (w *Window) Add(now time.Duration) { w.times = append(w.times, now) }

// Expire removes the earliest events, up to the first that is not older than maxAge.
func (w *Window) Expire(now, maxAge time.Duration) {
	for len(w.times) > 0 && now-w.times[0] > maxAge {
		w.times = w.times[1:]
	}
}

// Within returns the number of events that are not older than maxAge. It removes older events, so maxAge must not grow
// from one call to the next.
func (w *Window) Within(now, maxAge time.Duration) int {
	w.times = slices.DeleteFunc(w.times, func(t time.Duration) bool { return now-t > maxAge })
	return len(w.times)
}
