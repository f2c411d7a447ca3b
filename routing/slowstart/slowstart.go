// Package slowstart bounds what a worker that is warming up is sent, as slow start does in load balancers:
// its capacity grows linearly from a fraction to all of it, and beyond a multiple of that it crashes.
//
// In each window that could overload a warming worker, this scheduler sends no more than its share of what
// the worker can do. Schedulers do not ask each other: each estimates the throughput of warm workers from its
// own answers, and rounds its quota at random, so that all together keep to the bound with high probability.
package slowstart

import (
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/internal/stats/decay"
)

const (
	budgetMargin = 0.9 // used part of a warming worker's budget
	// A warming worker may be sent this multiple of the mean request rate, at the least. Per unit of active
	// weight it is skewPerWeight: the preferred worker of a function with a tenth of all requests receives a
	// tenth of their number times the mean, of which it bears six times minSkew.
	minSkew            = 3.0
	skewPerWeight      = 0.025
	maxWarmingWindow   = time.Second // window of the budget while all workers are warming up
	windowOverlap      = 8           // a window is longer by one part in so many
	throughputInterval = time.Second // between two measurements of throughput
	throughputWeight   = 0.2         // weight of a new measurement
)

// Config is what the deployment says of workers that are warming up.
type Config struct {
	Fraction         float64       // share of its capacity that a worker has at its start, at the least
	Duration         time.Duration // time after its start until it has all of it, at the most
	OverloadMultiple float64       // it crashes if it is sent more than this multiple of its capacity
	OverloadDuration time.Duration // for this long; 0 means that nothing overloads it
	InitialRate      float64       // requests a second that one unit of weight bears, before any was answered
}

// Budget holds what all warming workers have in common: what warm ones do, and how many workers there are.
type Budget struct {
	config       Config
	activeWeight float64 // weight of all workers that are ready and not ejected, as far as surveyed
	warm         float64 // weight of the warm workers, as far as surveyed
	effective    float64 // part of all weights that can be counted on, as far as surveyed
	allWarmingUp bool    // there was no warm worker in the latest survey

	servedAnswers       float64       // answers of warm workers since servedSince; of all if none is warm
	servedSince         time.Duration // when the present measurement of throughput began
	throughputPerWeight decay.Mean    // of a warm worker, in answers a second per unit of weight
}

// Worker is the quota of one worker that is warming up.
type Worker struct {
	quota      int             // requests that it may be sent in a window
	quotaUntil time.Duration   // when the quota is drawn anew
	sends      []time.Duration // when those of the latest window were sent
}

// Capacity is what the endpoint list says of the capacity of a worker.
type Capacity struct {
	Started time.Duration // time of its latest start; 0 means long ago
	Weight  float64
}

// Demand is how many requests came lately, and in what time.
type Demand struct {
	Requests float64
	Seconds  float64
}

// NewBudget returns a Budget for workers of which nothing is known.
func NewBudget(config Config) *Budget { return &Budget{config: config} }

// Begin starts the first measurement of throughput.
func (b *Budget) Begin(now time.Duration) { b.servedSince = now }

// IsWarmingUp reports whether a worker has started so lately that it can do only part of its work.
func (b *Budget) IsWarmingUp(now, started time.Duration) bool {
	return started > 0 && now-started < b.config.Duration
}

// Factor is the share of its capacity that a worker can be counted on for.
func (b *Budget) Factor(now, started time.Duration) float64 {
	if !b.IsWarmingUp(now, started) {
		return 1
	}
	elapsed := max(0, (now-started).Seconds()/b.config.Duration.Seconds())
	return b.config.Fraction + (1-b.config.Fraction)*elapsed
}

// Limits reports whether a worker has a quota: it is warming up, and the deployment says what overloads it.
func (b *Budget) Limits(now, started time.Duration) bool {
	return b.IsWarmingUp(now, started) && b.config.OverloadMultiple != 0 && b.config.OverloadDuration != 0
}

// HasQuota reports whether a worker may be sent one more request within its quota. A quota whose window is
// over is drawn anew before, see NeedsQuota.
func (b *Budget) HasQuota(worker *Worker, now time.Duration) bool {
	_, window := b.rate()
	// Any window counts, wherever it begins, and what waited for a connection arrives close to what follows.
	worker.sends = slices.DeleteFunc(worker.sends, func(sentAt time.Duration) bool {
		return now-sentAt >= window+window/windowOverlap
	})
	return len(worker.sends) < worker.quota
}

// NeedsQuota reports whether the window of a worker's quota is over.
func (b *Budget) NeedsQuota(worker *Worker, now time.Duration) bool { return now >= worker.quotaUntil }

// rate estimates the throughput per unit of weight, in requests a second, and gives the window in which it is
// kept. It is what warm workers answer this scheduler. Where all workers are warming up it is what they
// answer themselves, as far as they are: together all schedulers never send more than a multiple, below the
// one that overloads, of what was answered. It begins at one request at a time, answered within the shortest
// objective.
func (b *Budget) rate() (perWeight float64, window time.Duration) {
	perWeight, window = float64(b.throughputPerWeight), b.config.OverloadDuration
	if b.allWarmingUp {
		perWeight = max(perWeight, b.config.InitialRate)
		window = min(window, maxWarmingWindow)
	}
	return perWeight, window
}

// DrawQuota draws how many requests this scheduler may send a warming worker within the window that begins
// now. Shares of less than one request would add up if rounded, so each scheduler draws whether it has one.
//
// Most such draws are lost on workers that nothing is for just then. While requests come as usual, one is let
// through by chance, so that a worker with minSkew times the mean rate bears it, and where there are hundreds
// of workers, the preferred worker of a function that is called much.
func (b *Budget) DrawQuota(
	worker *Worker, now time.Duration, capacity Capacity, demand Demand, rng *rand.Rand,
) {
	rate, window := b.rate()
	budget := budgetMargin * b.config.OverloadMultiple * window.Seconds() *
		b.Factor(now, capacity.Started) * capacity.Weight * rate
	usualRate := demand.Requests / (demand.Seconds * max(b.activeWeight, 1))
	skew := max(minSkew, skewPerWeight*b.activeWeight)
	chance := budget / (window.Seconds() * skew * max(rate, usualRate) * capacity.Weight)
	worker.quota = int(max(budget, min(chance, 1)) + rng.Float64())
	worker.quotaUntil = now + window
}

// RecordSend notes that a worker was sent a request.
func (b *Budget) RecordSend(worker *Worker, now, started time.Duration) {
	if b.IsWarmingUp(now, started) {
		worker.sends = append(worker.sends, now)
	}
}

// Restart begins the slow start of a worker anew.
func (w *Worker) Restart() {
	w.quotaUntil = 0
	w.sends = nil
}

// QuotaUntil is the time when the quota of a worker is drawn anew.
func (w *Worker) QuotaUntil() time.Duration { return w.quotaUntil }
