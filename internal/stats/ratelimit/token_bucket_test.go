package ratelimit_test

import (
	"testing"
	"time"

	"calicohill/internal/stats/ratelimit"

	"pgregory.net/rapid"
)

// Guards against a bucket that gives out more tokens than the burst plus the refill since the start.
func TestTokenBucketNeverExceedsLimit(t *testing.T) {
	const roundingError = 1e-6
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0.1, 100).Draw(rt, "rate")
		burst := rapid.Float64Range(1, 50).Draw(rt, "burst")
		start := time.Hour
		now := start
		taken := 0.0
		var bucket ratelimit.TokenBucket
		for range rapid.IntRange(1, 200).Draw(rt, "attempts") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond
			if bucket.Take(now, 1, rate, burst) {
				taken++
			}
			if limit := burst + rate*(now-start).Seconds() + roundingError; taken > limit {
				rt.Fatalf("%v tokens taken in %v, want at most %v", taken, now-start, limit)
			}
		}
		refilled := now + time.Duration(float64(time.Second)/rate) + time.Millisecond
		if !bucket.Take(refilled, 1, rate, burst) {
			rt.Fatal("no token available after the refill time of one token")
		}
	})
}
