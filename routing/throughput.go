package routing

// sweepWorkers checks each worker for overdue attempts, and counts what all of them can do.
func (r *Router) sweepWorkers() {
	r.slowStart.BeginSurvey()
	for _, w := range r.workerList {
		r.checkOverdue(w)
		if w.State == Ready {
			r.slowStart.Survey(r.now, w.capacity(), w.health.Ejected())
		}
	}
	r.slowStart.EndSurvey()
}
