package lab

import "testing"

// A fleet of schedulers that know nothing before workers that all start cold: before the first guess of what such
// workers bear, nothing was sent to any of them for as long as they were cold.
func TestAllCold(t *testing.T) {
	for _, skew := range []float64{0, 3} {
		c, err := VirtualDay{Schedulers: 24, Workers: 10, Body: "small", Cold: true, Rate: 80, Skew: skew, Seconds: 16, Seed: 1}.Play()
		if err != nil {
			t.Fatal(err)
		}
		if c.Pushed > 0 {
			t.Errorf("skew %v: %d workers were pushed over", skew, c.Pushed)
		}
		if late := c.BySecond[11]; late < 0.9 {
			t.Errorf("skew %v: %.2f served in the twelfth second, %.2f of all", skew, late, c.Served)
		}
	}
}
