package decay

import (
	"math"
	"testing"
	"time"
)

func TestFigures(t *testing.T) {
	var v Value
	v.Set(time.Second, 2)
	if got := v.At(3*time.Second, 2*time.Second); math.Abs(got-2/math.E) > 1e-12 {
		t.Errorf("after its time %v is left of 2", got)
	}
	var p Peak
	for _, c := range []struct {
		at   time.Duration
		v    float64
		want float64
	}{{1, 5, 5}, {2, 3, 5}, {3, 7, 7}, {14, 1, 1}} {
		if p.Observe(c.at, 10, c.v); p.Within(c.at, 10) != c.want {
			t.Errorf("at %d the peak is %v, want %v", c.at, p.Within(c.at, 10), c.want)
		}
	}
	if got := p.Within(24, 10); got != 0 {
		t.Errorf("an old peak is %v", got)
	}
	var m Mean
	m.Update(4, 0.5)
	if m.Update(8, 0.5); m != 6 {
		t.Errorf("the mean is %v, want 6", m)
	}
	var w Window
	for i := range 10 {
		w.Add(time.Duration(i))
	}
	if got := w.Within(10, 4); got != 4 {
		t.Errorf("%d within 4, want 4", got)
	}
}
