// Package decay holds statistics of recent observations: a value that decays exponentially with time, a recent maximum,
// an exponentially weighted mean and a count over a sliding window. They have no clock: callers pass the current time.
package decay

import (
	"math"
	"slices"
	"time"
)

// Value is a number that decays from the time at which it was set: by the factor e in each time constant, which the
// reader names. The zero Value is 0.
type Value struct {
	v  float64
	at time.Duration
}

// At returns what is left of the value at a time, for the time constant tau.
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

// Observe takes an observation in. It becomes the peak if it is larger, or if the peak is older than maxAge.
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

// Mean is an exponentially weighted moving mean that starts at its first observation. The zero Mean is 0.
type Mean float64

// Update moves the mean towards an observation by the fraction weight, from 0 to 1, of the distance.
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

// Expire forgets the earliest events, up to the first that is not older than maxAge.
func (w *Window) Expire(now, maxAge time.Duration) {
	for len(w.times) > 0 && now-w.times[0] > maxAge {
		w.times = w.times[1:]
	}
}

// Within returns the number of events that are not older than maxAge. Older ones are forgotten, so that maxAge must not
// grow from one call to the next.
func (w *Window) Within(now, maxAge time.Duration) int {
	w.times = slices.DeleteFunc(w.times, func(t time.Duration) bool { return now-t > maxAge })
	return len(w.times)
}
