package ratelimit

import "time"

// Shares is a bucket for each of some parties, of which each may take so many a second and one at least at once.
type Shares struct {
	rates   []float64
	buckets []Bucket
}

// NewShares returns Shares of these rates, in things a second; 0 and below mean no bound.
func NewShares(rates []float64) *Shares {
	return &Shares{rates: rates, buckets: make([]Bucket, len(rates))}
}

// Spent takes one out of a party's share and reports whether there was none left. A party that has no share spends
// nothing.
func (s *Shares) Spent(now time.Duration, party int) bool {
	if party < 0 || party >= len(s.rates) || s.rates[party] <= 0 {
		return false
	}
	rate := s.rates[party]
	return !s.buckets[party].Take(now, 1, rate, max(rate, 1))
}
