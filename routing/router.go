package routing

import "time"

// Step reports to the Router everything that happened at one moment, in order, and returns what is to be
// done. Time never runs backwards: an earlier now counts as the latest one. Events with ids that the Router
// does not hold are ignored.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now = max(now, r.now)
	r.actions = nil
	r.start(now)
	r.refreshCapacity()
	tick := false
	for _, event := range events {
		if timer, ok := event.(TimerFired); ok {
			tick = tick || timer.Token == tickToken
			continue
		}
		r.handle(now, event)
	}
	// After a stall, all that arrived meanwhile is one batch: answers are read before a worker is judged.
	if tick {
		r.emit(SetTimer{tickInterval, tickToken})
		r.sweep()
	}
	r.drainQueue()
	return r.actions
}

// sweep is the periodic look at overdue attempts, throughput and records to forget.
func (r *Router) sweep() {
	if r.resubscribeAt > 0 && r.now >= r.resubscribeAt {
		r.resubscribeAt = 0
		r.emit(Subscribe{true})
	}
	r.sweepWorkers()
	if r.slowStart.Measure(r.now) {
		r.evictIdle()
	}
}
