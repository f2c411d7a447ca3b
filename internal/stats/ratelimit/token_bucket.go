// Package ratelimit holds rate limiters without a clock of their own: a token bucket, a bucket for each of several
// tenants, and a sliding window whose limit grows with the arrivals. Callers pass the current time to each call.
package ratelimit

import "time"

// TokenBucket fills with time and is emptied by what is taken. The zero TokenBucket was empty at time 0, so that it is full
// by now on a clock that counts from long ago, as Unix time does. It is not safe for concurrent use.
type TokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Take takes n tokens out of a bucket that fills by rate tokens a second and holds burst at most. It takes nothing and
// returns false if there are fewer than n.
func (b *TokenBucket) Take(now time.Duration, n, rate, burst float64) bool {
	if now > b.refilledAt {
		b.tokens = min(burst, b.tokens+rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
