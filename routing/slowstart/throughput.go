package slowstart

import (
	"time"

	"calicohill/internal/stats/decay"
)

// ResetTotals resets the total weights. Until all workers have been added again, quotas are drawn from
// partial totals.
func (b *Budget) ResetTotals() {
	b.activeWeight = 0
	b.warmWeight = 0
	b.effectiveWeight = 0
}

// AddToTotals adds a ready worker to the total weights.
func (b *Budget) AddToTotals(now time.Duration, capacity Capacity, ejected bool) {
	b.effectiveWeight += capacity.Weight * b.CapacityFraction(now, capacity.Started)
	if !b.IsWarmingUp(now, capacity.Started) {
		b.warmWeight += capacity.Weight
	}
	if !ejected {
		b.activeWeight += capacity.Weight
	}
}

// CompleteTotals completes the total weights after the last worker has been added.
func (b *Budget) CompleteTotals() { b.allWarmingUp = b.warmWeight == 0 }

// RecordServed counts an answer. Answers of warming workers count only if all workers are warming up.
func (b *Budget) RecordServed(now, started time.Duration) {
	if b.allWarmingUp || !b.IsWarmingUp(now, started) {
		b.servedAnswers++
	}
}

// MeasureThroughput updates the throughput once per throughputInterval, and reports whether the interval had
// ended.
func (b *Budget) MeasureThroughput(now time.Duration) bool {
	elapsed := now - b.servedSince
	if elapsed < throughputInterval {
		return false
	}
	weight := b.warmWeight
	if b.allWarmingUp {
		weight = b.effectiveWeight
	}
	if weight > 0 {
		b.updateThroughput(b.servedAnswers / elapsed.Seconds() / weight)
	}
	b.servedAnswers = 0
	b.servedSince = now
	return true
}

// updateThroughput updates the average by the throughput of the last interval, in answers per second per unit
// of weight.
func (b *Budget) updateThroughput(perWeight float64) {
	weight := throughputWeight
	if b.allWarmingUp && perWeight > float64(b.throughputPerWeight) {
		weight = 1 // the observed throughput is a lower bound on the capacity of warming workers
	}
	b.throughputPerWeight.Update(perWeight, weight)
}

// ThroughputPerWeight returns the throughput of a warm worker, in answers per second per unit of weight.
func (b *Budget) ThroughputPerWeight() float64 { return float64(b.throughputPerWeight) }

// RestoreThroughput sets the throughput to a value learned by an earlier process.
func (b *Budget) RestoreThroughput(perWeight float64) { b.throughputPerWeight = decay.Mean(perWeight) }
