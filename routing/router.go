// Package routing decides, for a scheduler in front of workers that keep only some of many functions
// loaded, where each request goes, which requests are refused, and when an attempt is given up for another.
// Every decision is in the files that deploy/balancer.toml names as policy: the step in router.go, order and
// refusal in queue.go, choice of a worker in choice.go, guards of the rules in rules.go, what answers teach
// in learn.go, whom to trust in health.go. What they hold is in state.go, what they are told and ask for in
// api.go. Departures from the design are marked "A departure".
package routing

import (
	"maps"
	"slices"
	"time"
)

// Step tells the Router everything that happened at one moment, in order, and returns what is to be done.
// Ids that the Router does not hold are passed over.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.actions = max(now, r.now), nil
	if !r.started {
		r.started, r.servedSince = true, now
		r.emit(SetTimer{tickInterval, tickToken})
		if r.settings.SubscriptionRequired {
			r.emit(Subscribe{true})
		}
	}
	r.refreshCapacity()
	due := false
	for _, e := range events {
		switch e := e.(type) {
		case WorkerList:
			r.applyEndpoints(e)
		case Request:
			r.admit(e)
		case StreamStarted:
			if q := r.requests[e.ID]; q != nil {
				q.streaming = true
			}
		case AttemptEnded:
			r.attemptEnded(e)
		case ClientCanceled:
			if q := r.requests[e.ID]; q != nil {
				r.complete(q)
			}
		case LoadEnded:
			r.loadEnded(e)
		case PeerReports:
			r.applyPeerReports(e)
		case EndpointsStale:
			r.endpointsStaleUntil = now + e.Duration
		case StateRestored:
			r.restoreState(e.State)
		case PoolsChanged:
			r.membershipVersion++
		case Shutdown:
			for _, id := range slices.Sorted(maps.Keys(r.requests)) {
				r.rejectOrFail(r.requests[id])
			}
		case TimerFired:
			due = due || e.Token == tickToken
		}
	}
	// After a stall all that came meanwhile is in one batch: answers are read before a worker is judged.
	if due {
		r.emit(SetTimer{tickInterval, tickToken})
		r.sweep()
	}
	r.drainQueue()
	return r.actions
}

// look is the regular look at what waits and what is overdue.
func (r *Router) sweep() {
	if r.resubscribeAt > 0 && r.now >= r.resubscribeAt {
		r.resubscribeAt = 0
		r.emit(Subscribe{true})
	}
	warm, ripe := 0.0, 0.0
	r.activeWeight = 0
	for _, w := range r.workerList {
		if r.checkOverdue(w); w.State != Ready {
			continue
		}
		if ripe += w.Weight * r.slowStartFactor(w); !r.isWarmingUp(w) {
			warm += w.Weight
		}
		if !w.ejected {
			r.activeWeight += w.Weight
		}
	}
	if r.allWarmingUp = warm == 0; r.allWarmingUp {
		warm = ripe
	}
	if gap := (r.now - r.servedSince).Seconds(); gap >= 1 {
		if warm > 0 {
			rate, part := r.servedAnswers/gap/warm, functionMeanWeight
			if r.allWarmingUp && rate > float64(r.throughputPerWeight) {
				part = 1 // what cold workers answered they can do, whatever they did before
			}
			r.throughputPerWeight.Update(rate, part)
		}
		r.servedAnswers, r.servedSince = 0, r.now
		r.evictIdle()
	}
}
