package ratelimit_test

import (
	"testing"
	"time"

	"calicohill/internal/stats/ratelimit"
)

func TestQuotas(t *testing.T) {
	cases := map[string]struct {
		rate    float64
		tenant  int
		burst   int // calls allowed at one moment, out of maxCalls
		refills int // calls allowed a second later
	}{
		"burst of one second":         {rate: 3, burst: 3, refills: 3},
		"burst of at least one":       {rate: 0.5, burst: 1, refills: 0},
		"no limit":                    {rate: 0, burst: maxCalls, refills: maxCalls},
		"negative rate, no limit":     {rate: -1, burst: maxCalls, refills: maxCalls},
		"unknown tenant":              {rate: 1, tenant: 1, burst: maxCalls, refills: maxCalls},
		"requests without any tenant": {rate: 1, tenant: -1, burst: maxCalls, refills: maxCalls},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			quotas := ratelimit.NewQuotas([]float64{tt.rate})
			if got := countAllowed(quotas, time.Hour, tt.tenant); got != tt.burst {
				t.Errorf("%d calls allowed in a burst, want %d", got, tt.burst)
			}
			if got := countAllowed(quotas, time.Hour+time.Second, tt.tenant); got != tt.refills {
				t.Errorf("%d calls allowed a second later, want %d", got, tt.refills)
			}
		})
	}
}

const maxCalls = 10

func countAllowed(quotas *ratelimit.Quotas, now time.Duration, tenant int) int {
	allowed := 0
	for range maxCalls {
		if !quotas.Exceeded(now, tenant) {
			allowed++
		}
	}
	return allowed
}
