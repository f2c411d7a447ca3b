// Package ratelimit is a token bucket without a clock.
package ratelimit

import "time"

// TokenBucket fills with time and is emptied by what is taken. The zero TokenBucket begins empty at time 0, so that it is full
// wherever the clock has run for long.
type TokenBucket struct {
	level float64
	at    time.Duration
}

// Allow takes n out of a bucket that fills by rate a second and holds burst at most, or reports that so much is not
// there.
func (b *TokenBucket) Take(now time.Duration, n, rate, burst float64) bool {
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
