package demand_test

import (
	"math"
	"testing"
	"time"

	"calicohill/routing/demand"
)

// Guards against a count that does not decay by the factor e in two keep-alives.
func TestCountDecays(t *testing.T) {
	const start = time.Hour
	window := demand.NewWindow(8 * time.Second)
	count := demand.NewCount(start, 0)
	for range 4 {
		count.Add(start, window)
	}
	if got := count.At(start, window); got != 4 || count.PerKeepAlive() != 2 || window.Seconds() != 16 {
		t.Errorf("got a count of %v in a window of %v s and %v requests per keep-alive, want 4, 16 and 2",
			got, window.Seconds(), count.PerKeepAlive())
	}
	later := start + 16*time.Second
	if got := count.At(later, window); math.Abs(got-4/math.E) > 1e-12 {
		t.Errorf("a count of 4 decayed to %v after one window, want 4/e", got)
	}
	count.Add(later, window)
	if got := count.At(later, window); math.Abs(got-4/math.E-1) > 1e-12 || count.LastAt() != later {
		t.Errorf("got a count of %v at %v, want 4/e + 1 at %v", got, count.LastAt(), later)
	}
}
