package decay_test

import (
	"math"
	"testing"
	"time"

	"calicohill/internal/stats/decay"
)

func TestValueDecays(t *testing.T) {
	var value decay.Value
	value.Set(time.Second, 2)
	if got := value.At(3*time.Second, 2*time.Second); math.Abs(got-2/math.E) > 1e-12 {
		t.Errorf("2 decayed to %v after one time constant, want 2/e", got)
	}
}

func TestPeakIsReplacedWhenOld(t *testing.T) {
	var peak decay.Peak
	for _, c := range []struct {
		at   time.Duration
		v    float64
		want float64
	}{{1, 5, 5}, {2, 3, 5}, {3, 7, 7}, {14, 1, 1}} {
		peak.Observe(c.at, 10, c.v)
		if peak.Within(c.at, 10) != c.want {
			t.Errorf("at %d the peak is %v, want %v", c.at, peak.Within(c.at, 10), c.want)
		}
	}
	if got := peak.Within(24, 10); got != 0 {
		t.Errorf("the expired peak is %v, want 0", got)
	}
}

func TestMeanStartsAtFirstObservation(t *testing.T) {
	var mean decay.Mean
	mean.Update(4, 0.5)
	mean.Update(8, 0.5)
	if mean != 6 {
		t.Errorf("the mean is %v, want 6", mean)
	}
}

func TestWindowCountsRecentEvents(t *testing.T) {
	var window decay.Window
	for i := range 10 {
		window.Add(time.Duration(i))
	}
	if got := window.Within(10, 4); got != 4 {
		t.Errorf("%d events within a window of 4, want 4", got)
	}
}
