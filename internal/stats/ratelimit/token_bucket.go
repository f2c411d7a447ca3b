// Package ratelimit provides rate limiters that have no clock of their own: a token bucket, a set of token buckets by
// tenant, and a sliding window whose limit grows with the number of arrivals. Callers pass the current time to each
// call.
package ratelimit

import "time"

// TokenBucket is a token bucket whose rate and burst are passed to each call. The zero TokenBucket was empty at time 0,
// so on a clock that started long ago, such as Unix time, it starts full. It is not safe for concurrent use.
type TokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Take removes n tokens from a bucket that refills at rate tokens per second and holds at most burst. If the bucket
// holds fewer than n, Take removes none and returns false.
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
