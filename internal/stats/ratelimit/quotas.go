package ratelimit

import "time"

// Quotas limits the rate of each of several tenants by a token bucket. The burst of a tenant is what its rate allows in a
// second, and at least one.
type Quotas struct {
	rates   []float64 // a second, by tenant
	buckets []TokenBucket
}

// NewQuotas returns Quotas with a rate a second for each tenant. A rate of 0 or below means no limit.
func NewQuotas(rates []float64) *Quotas {
	return &Quotas{rates: rates, buckets: make([]TokenBucket, len(rates))}
}

// Exceeded takes one token of a tenant, and reports whether there was none. A tenant without a quota, or out of
// range, never exceeds it.
func (q *Quotas) Exceeded(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(q.rates) || q.rates[tenant] <= 0 {
		return false
	}
	rate := q.rates[tenant]
	return !q.buckets[tenant].Take(now, 1, rate, max(rate, 1))
}
