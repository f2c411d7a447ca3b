package routing

// sweepWorkers checks each worker for overdue attempts and returns the weight of the warm workers; if there
// are none, the part of all weights that the warming ones can be counted on for.
func (r *Router) sweepWorkers() float64 {
	warm, effective := 0.0, 0.0
	r.activeWeight = 0
	for _, w := range r.workerList {
		r.checkOverdue(w)
		if w.State != Ready {
			continue
		}
		effective += w.Weight * r.slowStartFactor(w)
		if !r.isWarmingUp(w) {
			warm += w.Weight
		}
		if !w.health.Ejected() {
			r.activeWeight += w.Weight
		}
	}
	r.allWarmingUp = warm == 0
	if r.allWarmingUp {
		return effective
	}
	return warm
}
