package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Over any stretch no more is taken than the burst and what came in.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.1, 100).Draw(t, "rate"), rapid.Float64Range(1, 50).Draw(t, "burst")
		var b TokenBucket
		now, taken, start := time.Hour, 0.0, time.Hour
		for range rapid.IntRange(1, 200).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if b.Take(now, 1, rate, burst) {
				taken++
			}
			if most := burst + rate*(now-start).Seconds() + 1e-6; taken > most {
				t.Fatalf("%v taken in %v, at most %v are there", taken, now-start, most)
			}
		}
		if !b.Take(now+time.Duration(float64(time.Second)/rate)+time.Millisecond, 1, rate, burst) {
			t.Fatal("what has come in since is not there")
		}
	})
}
