// Package decay holds figures that fade while nothing new is heard: by the factor e in a time that the reader names.
package decay

import (
	"math"
	"slices"
	"time"
)

// Value is a figure and when it was set. The zero Value is 0.
type Value struct {
	v  float64
	at time.Duration
}

// At is what is left of the figure.
func (d Value) At(now, tau time.Duration) float64 {
	return d.v * math.Exp(-(now-d.at).Seconds()/tau.Seconds())
}

// Set replaces the figure.
func (d *Value) Set(now time.Duration, v float64) { d.v, d.at = v, now }

// Peak is the largest of the figures of a while. The zero Peak is 0.
type Peak struct{ Value }

// Observe takes a figure in: one that is larger than the peak, or comes when that is older than span, is the new peak.
func (p *Peak) Observe(now, span time.Duration, v float64) {
	if v > p.v || now-p.at > span {
		p.Set(now, v)
	}
}

// Within is the peak, or 0 if it is not younger than span.
func (p *Peak) Within(now, span time.Duration) float64 {
	if now-p.at < span {
		return p.v
	}
	return 0
}

// Mean is a running mean whose first figure counts whole. The zero Mean is 0.
type Mean float64

// Update moves the mean by a part of its way to a figure, 0 to 1.
func (m *Mean) Update(v, part float64) {
	if *m == 0 {
		*m = Mean(v)
	}
	*m += Mean(part * (v - float64(*m)))
}

// Window counts what came within a time of now. The zero Window is empty.
type Window struct{ times []time.Duration }

// Update counts one more.
func (w *Window) Add(now time.Duration) { w.times = append(w.times, now) }

// Expire drops those at the beginning that came longer ago than span.
func (w *Window) Expire(now, span time.Duration) {
	for len(w.times) > 0 && now-w.times[0] > span {
		w.times = w.times[1:]
	}
}

// Within is how many came no longer ago than span. Older ones are forgotten, so span must not grow later.
func (w *Window) Within(now, span time.Duration) int {
	w.times = slices.DeleteFunc(w.times, func(t time.Duration) bool { return now-t > span })
	return len(w.times)
}
