package ratelimit

import "time"

// Quotas is a bucket for each of some parties, of which each may take so many a second and one at least at once.
type Quotas struct {
	rates   []float64
	buckets []TokenBucket
}

// NewQuotas returns Quotas of these rates, in things a second; 0 and below mean no bound.
func NewQuotas(rates []float64) *Quotas {
	return &Quotas{rates: rates, buckets: make([]TokenBucket, len(rates))}
}

// Exceeded takes one out of a party's share and reports whether there was none left. A party that has no share spends
// nothing.
func (s *Quotas) Exceeded(now time.Duration, party int) bool {
	if party < 0 || party >= len(s.rates) || s.rates[party] <= 0 {
		return false
	}
	rate := s.rates[party]
	return !s.buckets[party].Take(now, 1, rate, max(rate, 1))
}
