package routing

import (
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/decay"
	"calicohill/internal/stats/ratelimit"
	"calicohill/routing/concurrency"
	"calicohill/routing/latency"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
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

	functions     map[string]*function // by name
	requestWeight float64              // count of requests for all functions, decaying; as of lastRequestAt
	lastRequestAt time.Duration

	pressure       *pressure.Estimator
	outliers       *outlier.Detector
	latency        *latency.Estimator
	capacity       concurrency.Capacity // of the eligible workers
	healthyWorkers int                  // eligible workers that are not unhealthy
	hedgeCredit    int                  // single overdue attempts that may be hedged

	activeWeight        float64       // weight of all workers that are ready and not ejected
	allWarmingUp        bool          // there is no warm worker
	servedAnswers       float64       // answers of warm workers since servedSince; of all if all are warming up
	servedSince         time.Duration // when the present measurement of throughput began
	throughputPerWeight decay.Mean    // of a warm worker, in answers a second per unit of weight
}

// New returns a Router for these settings. All its randomness comes from the seed. It returns an error if
// the settings make no sense.
func New(s Settings, seed uint64) (*Router, error) {
	shortest, err := s.validate()
	if err != nil {
		return nil, err
	}
	return &Router{
		settings:          s,
		minObjective:      shortest.Seconds(),
		rng:               rand.New(rand.NewPCG(seed, 0)),
		requests:          map[string]*request{},
		tenantQuotas:      s.tenantQuotas(),
		outliers:          outlier.NewDetector(s.InstanceKeepAlive, s.FaultReporting),
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
