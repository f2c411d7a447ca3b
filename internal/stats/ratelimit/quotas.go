package ratelimit

import "time"

// Quotas limits the request rate of each tenant by a token bucket. A tenant's burst is one second of its rate, but at
// least one request.
type Quotas struct {
	rates   []float64 // requests per second, by tenant
	buckets []TokenBucket
}

// NewQuotas returns Quotas with these rates per second, indexed by tenant. A rate of 0 or below means no limit.
func NewQuotas(rates []float64) *Quotas {
	return &Quotas{rates: rates, buckets: make([]TokenBucket, len(rates))}
}

// Exceeded takes one token from the tenant's bucket, and reports whether the bucket was empty. A tenant that has no
// quota or is out of range never exceeds it.
func (q *Quotas) Exceeded(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(q.rates) || q.rates[tenant] <= 0 {
		return false
	}
	rate := q.rates[tenant]
	return !q.buckets[tenant].Take(now, 1, rate, max(rate, 1))
}
