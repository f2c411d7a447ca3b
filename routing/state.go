package routing

import (
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/ratelimit"
	"calicohill/routing/concurrency"
	"calicohill/routing/demand"
	"calicohill/routing/latency"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
	"calicohill/routing/slowstart"
)

// Router decides for one scheduler. It is not safe for concurrent use.
type Router struct {
	settings     Settings
	minObjective float64 // shortest latency objective of all classes, in seconds
	rng          *rand.Rand
	now          time.Duration // the latest time that Step was given
	started      bool          // Step was called
	actions      []Action      // of the present Step

	requests     map[string]*request // by id, until every attempt has ended
	queue        []*request          // requests with no attempt in flight, earliest deadline first
	inFlightWork float64             // summed service times of attempts in flight at warm instances, in seconds
	loadBudget   ratelimit.WindowLimiter
	tenantQuotas *ratelimit.Quotas

	workers             map[string]*worker // by id
	workerList          []*worker          // the same, in the order of their ids
	membershipVersion   int                // counts changes of workers and pools, for function.workerOrder
	resubscribeAt       time.Duration      // when to subscribe again after a failed list call; 0 means never
	endpointsStaleUntil time.Duration      // nothing is sent until then: the endpoint list may be stale

	functions    map[string]*function // by name
	demand       demand.Count         // of requests for all functions
	demandWindow demand.Window

	pressure       *pressure.Estimator
	slowStart      *slowstart.Budget
	outliers       *outlier.Detector
	latency        *latency.Estimator
	capacity       concurrency.Capacity // of the eligible workers
	healthyWorkers int                  // eligible workers that are not unhealthy
	hedgeCredit    int                  // single overdue attempts that may be hedged
}

// New returns a Router for these settings. All its randomness comes from the seed. It returns an error if
// the settings make no sense.
func New(s Settings, seed uint64) (*Router, error) {
	shortest, err := s.validate()
	if err != nil {
		return nil, err
	}
	return &Router{
		settings:     s,
		minObjective: shortest.Seconds(),
		rng:          rand.New(rand.NewPCG(seed, 0)),
		requests:     map[string]*request{},
		tenantQuotas: s.tenantQuotas(),
		slowStart: slowstart.NewBudget(slowstart.Config{
			Fraction:         s.SlowStartFraction,
			Duration:         s.SlowStartDuration,
			OverloadMultiple: s.OverloadMultiple,
			OverloadDuration: s.OverloadDuration,
			InitialRate:      1 / shortest.Seconds() / float64(s.Schedulers),
		}),
		outliers:          outlier.NewDetector(s.InstanceKeepAlive, s.FaultReporting),
		demandWindow:      demand.NewWindow(s.InstanceKeepAlive),
		latency:           latency.NewEstimator(s.InstanceKeepAlive),
		pressure:          pressure.NewEstimator(s.Schedulers, shortest, s.InstanceKeepAlive),
		workers:           map[string]*worker{},
		membershipVersion: 1,
		functions:         map[string]*function{},
	}, nil
}

// emit adds an action to those that the present Step returns.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// durationOf converts seconds.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// refreshCapacity sums the capacity of the eligible workers and the part of it that is in use.
func (r *Router) refreshCapacity() {
	r.capacity = concurrency.Capacity{}
	r.healthyWorkers = 0
	for _, w := range r.workerList {
		if !r.eligible(w) {
			continue
		}
		if !r.outliers.IsUnhealthy(&w.health, r.now) {
			r.healthyWorkers++
		}
		r.capacity.Add(&w.limit, len(w.inFlight)-w.loadsWaiting)
	}
}
