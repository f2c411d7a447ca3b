package routing

import (
	"slices"
	"time"
)

// withinSlowStartBudget reports whether a worker that is warming up may be sent one more request, where the
// deployment says what overloads it: in each window that could, this scheduler sends no more than its share
// of what the worker can do.
func (r *Router) withinSlowStartBudget(warming *worker) bool {
	if !r.isWarmingUp(warming) || r.settings.OverloadMultiple == 0 || r.settings.OverloadDuration == 0 {
		return true
	}
	rate, window := r.slowStartRate()
	if r.now >= warming.slowStartQuotaUntil {
		warming.slowStartQuota = r.drawSlowStartQuota(warming, rate, window)
		warming.slowStartQuotaUntil = r.now + window
	}
	// Any window counts, wherever it begins, and what waited for a connection arrives close to what follows.
	warming.slowStartSends = slices.DeleteFunc(warming.slowStartSends, func(sentAt time.Duration) bool {
		return r.now-sentAt >= window+window/slowStartOverlap
	})
	return len(warming.slowStartSends) < warming.slowStartQuota
}

// slowStartRate estimates the throughput per unit of weight, in requests a second, and gives the window in
// which it is kept. It is what warm workers answer this scheduler. Where all workers are warming up it is
// what they answer themselves, as far as they are: together all schedulers never send more than a multiple,
// below the one that overloads, of what was answered. It begins at one request at a time, answered within
// the shortest objective.
func (r *Router) slowStartRate() (rate float64, window time.Duration) {
	rate, window = float64(r.throughputPerWeight), r.settings.OverloadDuration
	if r.allWarmingUp {
		rate = max(rate, 1/r.minObjective/float64(r.settings.Schedulers))
		window = min(window, maxWarmingWindow)
	}
	return rate, window
}

// drawSlowStartQuota draws how many requests this scheduler may send a warming worker within a window.
// Shares of less than one request would add up if rounded, so each scheduler draws whether it has one.
//
// Most such draws are lost on workers that nothing is for just then. While requests come as usual, one is
// let through by chance, so that a worker with minSlowStartSkew times the mean rate bears it, and where
// there are hundreds of workers, the preferred worker of a function that is called much.
func (r *Router) drawSlowStartQuota(w *worker, rate float64, window time.Duration) int {
	budget := slowStartBudgetMargin * r.settings.OverloadMultiple * window.Seconds() *
		r.slowStartFactor(w) * w.Weight * rate
	usualRate := r.requestWeight * r.decayFactor(r.lastRequestAt) /
		(spreadKeepAlives * r.settings.InstanceKeepAlive.Seconds() * max(r.activeWeight, 1))
	skew := max(minSlowStartSkew, slowStartSkewPerWeight*r.activeWeight)
	chance := budget / (window.Seconds() * skew * max(rate, usualRate) * w.Weight)
	return int(max(budget, min(chance, 1)) + r.rng.Float64())
}
