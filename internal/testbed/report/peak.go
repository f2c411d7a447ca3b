package report

import (
	"slices"
	"time"
)

// PeakPer100ms returns the highest number of times in any window of 100 ms that begins at or after from.
func PeakPer100ms(times []time.Duration, from time.Duration) int {
	times = slices.Sorted(slices.Values(times))
	peak := 0
	first := 0
	for i, at := range times {
		for at-times[first] >= 100*time.Millisecond {
			first++
		}
		if times[first] >= from {
			peak = max(peak, i-first+1)
		}
	}
	return peak
}
