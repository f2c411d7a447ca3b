package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/routing/latency"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
	"calicohill/routing/slowstart"
)

const (
	tickInterval = 10 * time.Millisecond // between two sweeps over queued and overdue requests
	tickToken    = 1                     // token of the timer for sweeps
)

// Router makes the routing decisions of one scheduler. It owns the time, the random source and the order in
// which components process an event; each component owns its state. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // latest time passed to Step
	started  bool          // Step has been called
	out      *outbox

	requests   *requestTable
	queue      *requestQueue
	endpoints  *endpointTable
	placements *placementTable
	fleet      *eligibleFleet

	pressure  *pressure.Estimator
	latency   *latency.Estimator
	outliers  *outlier.Detector
	slowStart *slowstart.Budget

	picker    *picker
	admission *admissionController
	retries   *retryPolicy
	hedges    *hedgeCredit
	loads     *loadBudget
	feedback  *feedback

	leaseManager *leaseManager
}

// outbox collects the actions of a Step, in order.
type outbox struct{ actions []Action }

func (o *outbox) emit(a Action) { o.actions = append(o.actions, a) }

// New returns a Router for these settings, or an error if they are invalid. All randomness is derived from
// the seed.
func New(settings Settings, seed uint64) (*Router, error) {
	shortest, err := settings.validate()
	if err != nil {
		return nil, err
	}
	router := &Router{
		settings:  settings,
		rng:       rand.New(rand.NewPCG(seed, 0)),
		out:       &outbox{},
		queue:     &requestQueue{},
		endpoints: newEndpointTable(&settings),
		fleet:     &eligibleFleet{},
		pressure:  pressure.NewEstimator(settings.Schedulers, shortest, settings.InstanceKeepAlive),
		latency:   latency.NewEstimator(settings.InstanceKeepAlive),
		outliers:  outlier.NewDetector(settings.InstanceKeepAlive, settings.FaultReporting),
		slowStart: slowstart.NewBudget(settings.slowStartConfig(shortest)),
		retries:   newRetryPolicy(&settings),
		hedges:    &hedgeCredit{},
		loads:     newLoadBudget(&settings),
	}
	router.placements = newPlacementTable(&settings, router.endpoints.orders)
	router.requests = newRequestTable(router.placements)
	router.picker = newPicker(router)
	router.admission = newAdmissionController(router, shortest)
	router.feedback = newFeedback(router)
	router.leaseManager = newLeaseManager(router)
	return router, nil
}

// Step processes the events since the last call, in order, and returns the actions to carry out. Time never
// runs backwards: a now before that of an earlier call is replaced by the latest one. Events with unknown IDs
// are ignored.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now = max(now, r.now)
	r.out.actions = nil
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
	// After a stall, one batch holds all events that arrived meanwhile. Their answers have to be processed
	// before the sweep checks for overdue attempts.
	if tick {
		r.out.emit(SetTimer{tickInterval, tickToken})
		r.sweep()
	}
	r.drainQueue()
	return r.out.actions
}

// Usage returns how much the Router currently holds.
func (r *Router) Usage() Usage {
	usage := Usage{
		Functions:       r.placements.retained.Len(rankUnserved),
		ServedFunctions: r.placements.retained.Len(rankServed),
		FunctionBytes:   r.placements.retained.Bytes(),
		OrderBytes:      r.endpoints.orders.cache.Bytes(),
	}
	for _, fn := range r.placements.functions {
		usage.Placements += len(fn.placements)
	}
	return usage
}

// start sets the timer for sweeps and subscribes to the endpoint list, in the first Step only.
func (r *Router) start(now time.Duration) {
	if r.started {
		return
	}
	r.started = true
	r.slowStart.StartMeasurement(now)
	r.out.emit(SetTimer{tickInterval, tickToken})
	if r.settings.SubscriptionRequired {
		r.out.emit(Subscribe{true})
	}
}

// handle processes one event of a Step.
func (r *Router) handle(now time.Duration, event Event) {
	switch event := event.(type) {
	case WorkerList, EndpointsConfirmed, EndpointsStale, PoolsChanged:
		r.handleEndpoints(now, event)
	case Request:
		r.admit(event)
	case StreamStarted:
		r.requests.markStreaming(event.ID)
	case AttemptEnded:
		r.attemptEnded(event)
	case ClientCanceled:
		r.clientCanceled(event.ID)
	case LoadEnded:
		r.placements.loadEnded(r.now, r.endpoints.byID[event.Worker], event)
	case PeerReports:
		r.applyPeerReports(event)
	case ProbeEnded:
		r.leaseManager.healthCheckEnded(r.now, event)
		r.refreshCapacity()
	case StateRestored:
		r.restoreState(event.State)
	case Shutdown:
		r.shutdown()
	}
}

// handleEndpoints processes an event that concerns the endpoint list or the pools.
func (r *Router) handleEndpoints(now time.Duration, event Event) {
	switch event := event.(type) {
	case WorkerList:
		r.endpoints.apply(r.now, event)
	case EndpointsConfirmed:
		r.leaseManager.confirm(r.now, event.AsOf)
		r.refreshCapacity()
	case EndpointsStale:
		r.endpoints.markStale(now + event.Duration)
	case PoolsChanged:
		r.endpoints.poolsChanged()
	}
}

// clientCanceled completes a request whose client has disconnected.
func (r *Router) clientCanceled(id string) {
	if req := r.requests.open[id]; req != nil {
		r.complete(req)
	}
}

// shutdown gives every open request its final answer.
func (r *Router) shutdown() {
	for _, id := range slices.Sorted(maps.Keys(r.requests.open)) {
		r.rejectOrFail(r.requests.open[id], ShuttingDown)
	}
}

// sweep checks periodically for overdue attempts, leases to renew, throughput and records to evict.
func (r *Router) sweep() {
	if r.endpoints.resubscriptionDue(r.now) {
		r.out.emit(Subscribe{true})
	}
	r.slowStart.ResetTotals()
	for _, w := range r.endpoints.list {
		r.checkOverdue(w)
		if w.State == Ready {
			r.slowStart.AddToTotals(r.now, w.slowStartCapacity(), w.health.Ejected())
		}
	}
	r.slowStart.CompleteTotals()
	r.leaseManager.renew(r.now, r.rng)
	if r.slowStart.MeasureThroughput(r.now) {
		r.endpoints.evictGone(r.now)
		r.placements.evictIdle(r.now, r.endpoints)
	}
}

// refreshCapacity recomputes which workers are eligible and how much of their capacity is in use.
func (r *Router) refreshCapacity() { r.fleet.refresh(r.now, r.endpoints, r.outliers) }

// durationOf converts seconds to a time.Duration.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
