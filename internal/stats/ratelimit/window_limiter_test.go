package ratelimit_test

import (
	"testing"
	"time"

	"calicohill/internal/stats/ratelimit"
)

func TestWindowLimiter(t *testing.T) {
	const (
		window = 10 * time.Second
		margin = 2 * time.Second
		base   = 1
		each   = 2
	)
	cases := map[string]struct {
		arrivals []time.Duration // before now
		want     int
	}{
		"no arrivals":               {nil, 1},
		"one arrival":               {[]time.Duration{time.Second}, 3},
		"arrival at the margin":     {[]time.Duration{window - margin}, 3},
		"arrival within the margin": {[]time.Duration{window - margin + 1}, 1},
		"arrival before the window": {[]time.Duration{window + 1}, 1},
		"two arrivals, one too old": {[]time.Duration{window + 1, time.Second}, 3},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var limiter ratelimit.WindowLimiter
			now := time.Hour
			for _, ago := range tt.arrivals {
				limiter.RecordArrival(now-ago, window)
			}
			allowed := 0
			for limiter.Allow(now, window, margin, base, each) {
				allowed++
			}
			if allowed != tt.want {
				t.Errorf("%d events allowed, want %d", allowed, tt.want)
			}
			if limiter.Allow(now+window, window, margin, base, each) {
				t.Error("an event is allowed while the earlier ones still fill the window")
			}
			if !limiter.Allow(now+window+1, window, margin, base, each) {
				t.Error("no event is allowed after the earlier ones have left the window")
			}
		})
	}
}

func TestWindowOfZeroCountsNothing(t *testing.T) {
	var limiter ratelimit.WindowLimiter
	limiter.RecordArrival(time.Hour, 0)
	if limiter.Allow(time.Hour, time.Second, 0, 0, 1) {
		t.Error("an arrival recorded with a window of 0 raises the limit")
	}
}
