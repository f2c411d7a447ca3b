package demand_test

import (
	"math"
	"testing"
	"time"

	"calicohill/routing/demand"
)

// A count decays by the factor e in two keep-alives.
func TestCountDecays(t *testing.T) {
	const start = time.Hour
	window := demand.NewWindow(8 * time.Second)
	count := demand.NewCount(start, 0)
	for range 4 {
		count.Add(start, window)
	}
	if got := count.At(start, window); got != 4 || count.PerKeepAlive() != 2 || window.Seconds() != 16 {
		t.Errorf("%v requests in %v s, %v a keep-alive, want 4, 16 and 2", got, window.Seconds(), count.PerKeepAlive())
	}
	later := start + 16*time.Second
	if got := count.At(later, window); math.Abs(got-4/math.E) > 1e-12 {
		t.Errorf("%v of 4 requests are left after the window, want 4/e", got)
	}
	count.Add(later, window)
	if got := count.At(later, window); math.Abs(got-4/math.E-1) > 1e-12 || count.LastAt() != later {
		t.Errorf("%v requests as of %v, want 4/e + 1 as of %v", got, count.LastAt(), later)
	}
}
