package slowstart

import (
	"time"

	"calicohill/internal/stats/decay"
)

// BeginSurvey starts to sum up the workers anew. A quota that is drawn before the survey has ended sees the
// weight of the workers surveyed so far.
func (b *Budget) BeginSurvey() {
	b.activeWeight = 0
	b.warm = 0
	b.effective = 0
}

// Survey counts a worker that is ready.
func (b *Budget) Survey(now time.Duration, capacity Capacity, ejected bool) {
	b.effective += capacity.Weight * b.Factor(now, capacity.Started)
	if !b.IsWarmingUp(now, capacity.Started) {
		b.warm += capacity.Weight
	}
	if !ejected {
		b.activeWeight += capacity.Weight
	}
}

// EndSurvey ends the sum of the workers.
func (b *Budget) EndSurvey() { b.allWarmingUp = b.warm == 0 }

// RecordServed counts an answer of a worker that is warm, or of any where all are warming up.
func (b *Budget) RecordServed(now, started time.Duration) {
	if b.allWarmingUp || !b.IsWarmingUp(now, started) {
		b.servedAnswers++
	}
}

// Measure takes in what workers answered, once in throughputInterval, and reports whether the interval was
// over.
func (b *Budget) Measure(now time.Duration) bool {
	elapsed := now - b.servedSince
	if elapsed < throughputInterval {
		return false
	}
	weight := b.warm
	if b.allWarmingUp {
		weight = b.effective
	}
	if weight > 0 {
		b.learn(b.servedAnswers / elapsed.Seconds() / weight)
	}
	b.servedAnswers = 0
	b.servedSince = now
	return true
}

// learn takes in the throughput of the last interval, in requests a second per unit of weight.
func (b *Budget) learn(perWeight float64) {
	weight := throughputWeight
	if b.allWarmingUp && perWeight > float64(b.throughputPerWeight) {
		weight = 1 // what warming workers answered they can do, whatever they did before
	}
	b.throughputPerWeight.Update(perWeight, weight)
}

// ThroughputPerWeight is the throughput of a warm worker, in answers a second per unit of weight.
func (b *Budget) ThroughputPerWeight() float64 { return float64(b.throughputPerWeight) }

// RestoreThroughput sets the throughput to what an earlier process learned.
func (b *Budget) RestoreThroughput(perWeight float64) { b.throughputPerWeight = decay.Mean(perWeight) }
