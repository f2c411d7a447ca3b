package routing

import (
	"math/rand/v2"
	"time"

	"calicohill/internal/stats/decay"
	"calicohill/internal/stats/ratelimit"
)

// What a Router holds of workers, functions and requests. Nothing is decided here.

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

type worker struct {
	Worker
	loadsWaiting                   int // attempts of ours that wait for a load: they hold no lane
	inFlight                       []*attempt
	concurrencyLimit               float64     // how many that hold a lane may be there
	incarnation                    int         // counts restarts; beliefs of an earlier life are void
	pressureExcess                 decay.Value // above what others are pressed
	peerInFlight                   float64     // requests of other schedulers
	ejected                        bool
	verdict                        PeerVerdict // what other schedulers hold of it
	reportedFault                  Fault       // what they were told of it last, as seen at seenAt
	probes, consecutiveSheds       int         // trials since it became suspect; refusals in a row
	errorShare, latencyExcess      decay.Value // running share of errors in its answers; excess of its latencies
	connectionBreaks               int         // times that connections broke with no answer since
	lastBreakAt, reportedAt        time.Duration
	lastAnswerAt, probationAt      time.Duration
	answeredAt                     time.Duration   // when it answered last; 0 if it never did
	backoffUntil, loadBackoffUntil time.Duration   // it gets nothing new, or no new load, until then
	slowStartQuota                 int             // calls that it may be sent in a window while cold, until quotaTill
	slowStartSends                 []time.Duration // when it was sent those of the latest window
	slowStartQuotaUntil, removedAt time.Duration
}

type function struct {
	name                            string
	class, concurrency              int
	orderVersion                    int           // of the list that order was made from
	served                          bool          // some worker answered it
	pool                            *Pool         // of the workers that may have it
	requestWeight                   float64       // decaying
	serviceTimeExcess               decay.Value   // excess of the running mean of served latencies over the aim, in seconds
	slowestLatency                  decay.Peak    // slowest recent one
	declaredLoadTime, lastRequestAt time.Duration // told: usual time of a load
	placements                      []*placement
	workerOrder                     []*worker
}

// pair is what is known of a function at a worker.
type placement struct {
	worker                           *worker
	incarnation, instances, inFlight int
	warm                             bool
	warmAt                           time.Duration // when last found warm
	stickiness                       float64       // 0 to 1: the least pressed is the first to leave
	loading, loadOrdered             bool          // a load that a call began, or that was ordered, is under way
}

type request struct {
	Request
	class                              *Class
	function                           *function
	expiresAt, dueAt                   time.Duration // when the client gives up; the deadline that orders the queue
	halfwayAt                          time.Duration // half of the client's time, less what a look may be late
	attempts                           []*attempt
	inFlight                           int
	answered, streaming, reachedWorker bool // reached: some attempt came as far as a worker
}

type attempt struct {
	request                           *request
	number                            int
	worker                            *worker
	placement                         *placement
	sentAt, overdueAt                 time.Duration // late: when it is overdue
	work                              float64
	cold, ended, superseded, neverRan bool // proved: it never ran
}
