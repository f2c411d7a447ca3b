package ratelimit_test

import (
	"testing"
	"time"

	"calicohill/internal/stats/ratelimit"

	"pgregory.net/rapid"
)

// No more tokens are taken than the burst and what the rate has added since the start.
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
				rt.Fatalf("%v taken in %v, at most %v may be", taken, now-start, limit)
			}
		}
		refilled := now + time.Duration(float64(time.Second)/rate) + time.Millisecond
		if !bucket.Take(refilled, 1, rate, burst) {
			rt.Fatal("the token that was added since is not there")
		}
	})
}
