package routing

// What workers can do: counted between sweeps, read by the slow-start budget.

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
		if !w.ejected {
			r.activeWeight += w.Weight
		}
	}
	r.allWarmingUp = warm == 0
	if r.allWarmingUp {
		return effective
	}
	return warm
}

// learnThroughput takes in what workers answered in the last interval, in requests a second per unit of
// weight.
func (r *Router) learnThroughput(rate float64) {
	weight := throughputMeanWeight
	if r.allWarmingUp && rate > float64(r.throughputPerWeight) {
		weight = 1 // what warming workers answered they can do, whatever they did before
	}
	r.throughputPerWeight.Update(rate, weight)
}
