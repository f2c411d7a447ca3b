// Package slowstart limits the request rate of a worker that is warming up, like slow start in load
// balancers. The capacity of such a worker grows linearly from a fraction to its full capacity, and the
// worker crashes if it is sent more than a multiple of its current capacity.
//
// In each window long enough to overload a warming worker, a scheduler sends no more than its share of the
// worker's budget. Schedulers do not coordinate. Each estimates the throughput of warm workers from the
// answers that it receives, and rounds its quota at random, so that all schedulers together stay within the
// budget with high probability.
package slowstart

import (
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/internal/stats/decay"
)

const (
	budgetMargin = 0.9 // fraction of a warming worker's budget that is used
	// The quota allows for a worker that receives a multiple of the mean request rate: skewPerWeight times
	// the active weight, but at least minSkew. The preferred worker of a function with a tenth of all
	// requests receives a tenth of the active weight times the mean rate, and can handle six times minSkew
	// times the mean rate.
	minSkew            = 3.0
	skewPerWeight      = 0.025
	maxWarmingWindow   = time.Second // maximum quota window while all workers are warming up
	windowOverlap      = 8           // sends count for a window plus one windowOverlap-th of it
	throughputInterval = time.Second // between two throughput measurements
	throughputWeight   = 0.2         // weight of a new measurement
)

// Config holds the properties of workers that are warming up.
type Config struct {
	Fraction         float64       // minimum capacity at the start, as a fraction of the full capacity
	Duration         time.Duration // maximum time from the start to the full capacity
	OverloadMultiple float64       // a worker crashes above this multiple of its capacity; 0 means never
	OverloadDuration time.Duration // sustained for this time; 0 means never
	InitialRate      float64       // requests per second per unit of weight, before the first answer
}

// Budget holds the state that all warming workers share: the throughput of warm workers and the total
// weights.
type Budget struct {
	config          Config
	activeWeight    float64 // total weight of the workers that are ready and not ejected
	warmWeight      float64 // total weight of the ready workers that are warm
	effectiveWeight float64 // total weight of the ready workers, each scaled by its CapacityFraction
	allWarmingUp    bool    // there was no warm worker when the totals were last completed

	servedAnswers       float64       // answers since servedSince: of warm workers, or of all if none is warm
	servedSince         time.Duration // start of the current throughput measurement
	throughputPerWeight decay.Mean    // of a warm worker, in answers per second per unit of weight
}

// Worker is the quota of one worker that is warming up.
type Worker struct {
	quota      int             // requests that may be sent in a window
	quotaUntil time.Duration   // end of the quota's window
	sends      []time.Duration // send times in the latest window
}

// Capacity holds the properties of a worker from the endpoint list that determine its capacity.
type Capacity struct {
	Started time.Duration // time of the latest start; 0 means long ago
	Weight  float64
}

// Demand is a recent number of requests and the time in which they arrived.
type Demand struct {
	Requests float64
	Seconds  float64
}

// NewBudget returns a Budget without any measurements.
func NewBudget(config Config) *Budget { return &Budget{config: config} }

// StartMeasurement starts the first throughput measurement.
func (b *Budget) StartMeasurement(now time.Duration) { b.servedSince = now }

// IsWarmingUp reports whether a worker that started at the given time has not yet reached its full capacity.
func (b *Budget) IsWarmingUp(now, started time.Duration) bool {
	return started > 0 && now-started < b.config.Duration
}

// CapacityFraction returns the minimum current capacity of a worker as a fraction of its full capacity.
func (b *Budget) CapacityFraction(now, started time.Duration) float64 {
	if !b.IsWarmingUp(now, started) {
		return 1
	}
	elapsed := max(0, (now-started).Seconds()/b.config.Duration.Seconds())
	return b.config.Fraction + (1-b.config.Fraction)*elapsed
}

// QuotaApplies reports whether a worker has a quota. It has one while it is warming up, if the configuration
// defines an overload.
func (b *Budget) QuotaApplies(now, started time.Duration) bool {
	return b.IsWarmingUp(now, started) && b.config.OverloadMultiple != 0 && b.config.OverloadDuration != 0
}

// HasQuota reports whether a worker may be sent one more request within its quota. If QuotaExpired returns
// true, the caller must call DrawQuota first.
func (b *Budget) HasQuota(worker *Worker, now time.Duration) bool {
	_, window := b.rate()
	// The budget holds for every window, regardless of its start. The overlap accounts for requests that
	// waited for a connection and arrive together with later ones.
	worker.sends = slices.DeleteFunc(worker.sends, func(sentAt time.Duration) bool {
		return now-sentAt >= window+window/windowOverlap
	})
	return len(worker.sends) < worker.quota
}

// QuotaExpired reports whether the window of a worker's quota has ended.
func (b *Budget) QuotaExpired(worker *Worker, now time.Duration) bool {
	return now >= worker.quotaUntil
}

// rate returns the estimated throughput per unit of weight, in requests per second, and the window for which
// the quota is drawn. The throughput is measured by the answers of warm workers to this scheduler. If all
// workers are warming up, it is measured by their answers in relation to their current capacity. All
// schedulers together then send at most a multiple of the answered rate that is below OverloadMultiple. The
// rate starts at InitialRate, which is one request at a time, each answered within the shortest latency
// objective.
func (b *Budget) rate() (perWeight float64, window time.Duration) {
	perWeight, window = float64(b.throughputPerWeight), b.config.OverloadDuration
	if b.allWarmingUp {
		perWeight = max(perWeight, b.config.InitialRate)
		window = min(window, maxWarmingWindow)
	}
	return perWeight, window
}

// DrawQuota sets the number of requests that this scheduler may send to a warming worker in the window that
// starts now. A share of less than one request is rounded up or down at random, because shares that all
// schedulers rounded up would exceed the budget in total.
//
// Most quotas drawn this way remain unused, because no request for the worker arrives in the window. The
// probability of a quota of one request is therefore raised to chance. At the usual request rate this does
// not overload a worker that receives minSkew times the mean rate, nor, among hundreds of workers, the
// preferred worker of a frequently called function.
func (b *Budget) DrawQuota(
	worker *Worker, now time.Duration, capacity Capacity, demand Demand, rng *rand.Rand,
) {
	rate, window := b.rate()
	budget := budgetMargin * b.config.OverloadMultiple * window.Seconds() *
		b.CapacityFraction(now, capacity.Started) * capacity.Weight * rate
	usualRate := demand.Requests / (demand.Seconds * max(b.activeWeight, 1))
	skew := max(minSkew, skewPerWeight*b.activeWeight)
	chance := budget / (window.Seconds() * skew * max(rate, usualRate) * capacity.Weight)
	worker.quota = int(max(budget, min(chance, 1)) + rng.Float64())
	worker.quotaUntil = now + window
}

// RecordSend records that a request was sent to a worker.
func (b *Budget) RecordSend(worker *Worker, now, started time.Duration) {
	if b.IsWarmingUp(now, started) {
		worker.sends = append(worker.sends, now)
	}
}

// Restart resets the quota after a restart of the worker.
func (w *Worker) Restart() {
	w.quotaUntil = 0
	w.sends = nil
}

// QuotaUntil returns the end of the window of the worker's quota.
func (w *Worker) QuotaUntil() time.Duration { return w.quotaUntil }
