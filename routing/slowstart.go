package routing

import (
	"slices"
	"time"
)

// coldRoom keeps a cold worker's budget, where one is told: in each window that could tip it, this scheduler
// sends no more than its share of what the worker can do, guessed from what warm workers answer it.
// Where all are cold it is guessed from what they answer themselves, as ripe as they are: together all
// schedulers never send more than a multiple, below the one that tips, of what was answered. It begins at one
// call at a time, answered within the least aim.
func (r *Router) withinSlowStartBudget(w *worker) bool {
	if !r.isWarmingUp(w) || r.settings.OverloadMultiple == 0 || r.settings.OverloadDuration == 0 {
		return true
	}
	rate, span := float64(r.throughputPerWeight), r.settings.OverloadDuration
	if r.allWarmingUp {
		rate, span = max(rate, 1/r.minObjective/float64(r.settings.Schedulers)), min(span, time.Second)
	}
	if r.now >= w.slowStartQuotaUntil {
		// Shares under one call would add up if rounded: each scheduler draws whether it has one.
		budget := slowStartBudgetMargin * r.settings.OverloadMultiple * span.Seconds() *
			r.slowStartFactor(w) * w.Weight * rate
		// Most such draws are lost on workers that nothing is for just then. While calls come as usual one is
		// let through by chance, so that a worker that is called coldEven times as much as others bears it,
		// and where there are hundreds the home of a function that is called much.
		usual := r.requestWeight * r.decayFactor(r.lastRequestAt) /
			(spreadKeepAlives * r.settings.InstanceKeepAlive.Seconds() * max(r.activeWeight, 1))
		even := max(minSlowStartSkew, slowStartSkewPerWeight*r.activeWeight)
		chance := budget / (span.Seconds() * even * max(rate, usual) * w.Weight)
		w.slowStartQuota = int(max(budget, min(chance, 1)) + r.rng.Float64())
		w.slowStartQuotaUntil = r.now + span
	}
	// Any window counts, wherever it begins, and what waited for a connection comes close to what follows.
	w.slowStartSends = slices.DeleteFunc(w.slowStartSends,
		func(at time.Duration) bool { return r.now-at >= span+span/8 })
	return len(w.slowStartSends) < w.slowStartQuota
}

// ripeness is the share of its capacity that a worker can be counted on for.
func (r *Router) slowStartFactor(w *worker) float64 {
	if !r.isWarmingUp(w) {
		return 1
	}
	elapsed := max(0, (r.now-w.Started).Seconds()/r.settings.SlowStartDuration.Seconds())
	return r.settings.SlowStartFraction + (1-r.settings.SlowStartFraction)*elapsed
}

// isCold reports whether a worker has started so lately that it can do only part of its work.
func (r *Router) isWarmingUp(w *worker) bool {
	return w.Started > 0 && r.now-w.Started < r.settings.SlowStartDuration
}
