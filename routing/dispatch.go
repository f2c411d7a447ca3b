package routing

import (
	"maps"
	"slices"
	"time"
)

// start sets the timer of the sweep and subscribes to the endpoint list, in the first Step alone.
func (r *Router) start(now time.Duration) {
	if r.started {
		return
	}
	r.started = true
	r.slowStart.Begin(now)
	r.emit(SetTimer{tickInterval, tickToken})
	if r.settings.SubscriptionRequired {
		r.emit(Subscribe{true})
	}
}

// handle applies one event of a Step at this time.
func (r *Router) handle(now time.Duration, event Event) {
	switch event := event.(type) {
	case WorkerList:
		r.applyEndpoints(event)
	case Request:
		r.admit(event)
	case StreamStarted:
		if q := r.requests[event.ID]; q != nil {
			q.streaming = true
		}
	case AttemptEnded:
		r.attemptEnded(event)
	case ClientCanceled:
		if q := r.requests[event.ID]; q != nil {
			r.complete(q)
		}
	case LoadEnded:
		r.loadEnded(event)
	case PeerReports:
		r.applyPeerReports(event)
	case EndpointsStale:
		r.endpointsStaleUntil = now + event.Duration
	case StateRestored:
		r.restoreState(event.State)
	case PoolsChanged:
		r.membershipVersion++
	case Shutdown:
		r.shutdown()
	}
}

// shutdown gives every open request its final answer.
func (r *Router) shutdown() {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		r.rejectOrFail(r.requests[id])
	}
}
