package routing

import (
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/decay"
	"calicohill/internal/stats/ratelimit"
)

// A Router decides for one scheduler. It is not safe for concurrent use.
type Router struct {
	settings                  Settings
	rng                       *rand.Rand
	now                       time.Duration
	started                   bool
	actions                   []Action
	requests                  map[string]*request // until every attempt has ended
	queue                     []*request          // least deadline first
	workers                   map[string]*worker
	workerList                []*worker // by id
	membershipVersion         int       // of the list, for the functions' hash orders
	functions                 map[string]*function
	minObjective, meanLatency float64                 // least aim of all classes and mean latency of warm calls, in seconds
	meanPressure              float64                 // running mean of what presses the workers
	healthyWorkers            int                     // usable workers that do not answer errors
	hedgeCredit               int                     // calls overdue alone that may be sent elsewhere too
	capacity, utilization     float64                 // lanes that are usable; share of them that is taken
	requestWeight             float64                 // of all functions, decaying
	inFlightWork              float64                 // summed service times of attempts that are out, in seconds
	peerShare                 float64                 // part of what happens at the workers that other schedulers cause
	loadBudget                ratelimit.WindowLimiter // of orders to load
	tenantQuotas              *ratelimit.Quotas       // of tenants

	// weight of all workers that are ready and not suspect; answers of warm ones since servedAt, of all if all are cold;
	// and in a second, for a worker of size 1
	activeWeight, servedAnswers               float64
	allWarmingUp                              bool // there is no warm worker
	throughputPerWeight                       decay.Mean
	servedSince, resubscribeAt, lastRequestAt time.Duration
	endpointsStaleUntil                       time.Duration // nothing is sent until then: the list may be old
}

// New returns a Router for these settings. All its randomness comes from the seed.
func New(s Settings, seed uint64) (*Router, error) {
	least, err := s.validate()
	if err != nil {
		return nil, err
	}
	return &Router{
		settings: s, rng: rand.New(rand.NewPCG(seed, 0)), minObjective: least.Seconds(), membershipVersion: 1,
		peerShare: 1 - 1/float64(s.Schedulers), tenantQuotas: s.tenantQuotas(), requests: map[string]*request{},
		workers: map[string]*worker{}, functions: map[string]*function{},
	}, nil
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func durationOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// survey counts the usable lanes, and what share of them is taken.
func (r *Router) refreshCapacity() {
	r.utilization, r.capacity, r.healthyWorkers = 0, 0, 0
	for _, w := range r.workerList {
		if r.eligible(w) {
			if !r.isUnhealthy(w) {
				r.healthyWorkers++
			}
			r.utilization += float64(len(w.inFlight) - w.loadsWaiting)
			r.capacity += w.concurrencyLimit
		}
	}
	r.utilization /= max(r.capacity, 1)
}
