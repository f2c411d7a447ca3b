// Package ratelimit is a token bucket without a clock.
package ratelimit

import "time"

// Bucket fills with time and is emptied by what is taken. The zero Bucket begins empty at time 0, so that it is full
// wherever the clock has run for long.
type Bucket struct {
	level float64
	at    time.Duration
}

// Take takes n out of a bucket that fills by rate a second and holds burst at most, or reports that so much is not
// there.
func (b *Bucket) Take(now time.Duration, n, rate, burst float64) bool {
	if now > b.at {
		b.level = min(burst, b.level+rate*(now-b.at).Seconds())
		b.at = now
	}
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
