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
		atOnce  int // allowed at one moment, out of maxCalls
		refills int // allowed a second later
	}{
		"whole rate at once":          {rate: 3, atOnce: 3, refills: 3},
		"at least one at once":        {rate: 0.5, atOnce: 1, refills: 0},
		"no limit":                    {rate: 0, atOnce: maxCalls, refills: maxCalls},
		"negative rate, no limit":     {rate: -1, atOnce: maxCalls, refills: maxCalls},
		"unknown tenant":              {rate: 1, tenant: 1, atOnce: maxCalls, refills: maxCalls},
		"requests without any tenant": {rate: 1, tenant: -1, atOnce: maxCalls, refills: maxCalls},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			quotas := ratelimit.NewQuotas([]float64{tt.rate})
			if got := countAllowed(quotas, time.Hour, tt.tenant); got != tt.atOnce {
				t.Errorf("%d allowed at once, want %d", got, tt.atOnce)
			}
			if got := countAllowed(quotas, time.Hour+time.Second, tt.tenant); got != tt.refills {
				t.Errorf("%d allowed a second later, want %d", got, tt.refills)
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
