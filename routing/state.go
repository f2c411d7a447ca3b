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
	set           Settings
	rng           *rand.Rand
	now           time.Duration
	started       bool
	acts          []Action
	requests      map[string]*request // until every attempt has ended
	held          []*request          // least deadline first
	workers       map[string]*worker
	list          []*worker // by id
	version       int       // of the list, for the functions' hash orders
	funcs         map[string]*function
	leastAim, lat float64                 // least aim of all classes and mean latency of warm calls, in seconds
	press         float64                 // running mean of what presses the workers
	well          int                     // usable workers that do not answer errors
	alone         int                     // calls overdue alone that may be sent elsewhere too
	lanes, busy   float64                 // lanes that are usable; share of them that is taken
	allCalls      float64                 // of all functions, decaying
	outWork       float64                 // summed service times of attempts that are out, in seconds
	theirs        float64                 // part of what happens at the workers that other schedulers cause
	loads         ratelimit.WindowLimiter // of orders to load
	shares        *ratelimit.Quotas       // of tenants

	// weight of all workers that are ready and not suspect; answers of warm ones since servedAt, of all if all are cold;
	// and in a second, for a worker of size 1
	size, served                 float64
	allCold                      bool // there is no warm worker
	perWeight                    decay.Mean
	servedAt, askAgain, lastCall time.Duration
	blindTill                    time.Duration // nothing is sent until then: the list may be old
}

// New returns a Router for these settings. All its randomness comes from the seed.
func New(s Settings, seed uint64) (*Router, error) {
	least, err := s.check()
	if err != nil {
		return nil, err
	}
	return &Router{
		set: s, rng: rand.New(rand.NewPCG(seed, 0)), leastAim: least.Seconds(), version: 1,
		theirs: 1 - 1/float64(s.Schedulers), shares: s.shares(), requests: map[string]*request{},
		workers: map[string]*worker{}, funcs: map[string]*function{},
	}, nil
}

type worker struct {
	Worker
	loads             int // attempts of ours that wait for a load: they hold no lane
	outs              []*attempt
	limit             float64     // how many that hold a lane may be there
	life              int         // counts restarts; beliefs of an earlier life are void
	press             decay.Value // above what others are pressed
	others            float64     // requests of other schedulers
	suspect           bool
	word              PeerVerdict // what other schedulers hold of it
	seen              Fault       // what they were told of it last, as seen at seenAt
	tries, sheds      int         // trials since it became suspect; refusals in a row
	errs, pace        decay.Value // running share of errors in its answers; excess of its latencies
	breaks            int         // times that connections broke with no answer since
	brokeAt, seenAt   time.Duration
	lastAnswer, tryAt time.Duration
	met               time.Duration   // when it answered last; 0 if it never did
	full, noLoads     time.Duration   // it gets nothing new, or no new load, until then
	quota             int             // calls that it may be sent in a window while cold, until quotaTill
	sentCold          []time.Duration // when it was sent those of the latest window
	quotaTill, goneAt time.Duration
}

type function struct {
	name           string
	class, lanes   int
	version        int           // of the list that order was made from
	served         bool          // some worker answered it
	pool           *Pool         // of the workers that may have it
	calls          float64       // decaying
	mean           decay.Value   // excess of the running mean of served latencies over the aim, in seconds
	slowest        decay.Peak    // slowest recent one
	told, lastCall time.Duration // told: usual time of a load
	pairs          []*pair
	order          []*worker
}

// pair is what is known of a function at a worker.
type pair struct {
	w                 *worker
	life, copies, out int
	warm              bool
	at                time.Duration // when last found warm
	stays             float64       // 0 to 1: the least pressed is the first to leave
	loading, ordered  bool          // a load that a call began, or that was ordered, is under way
}

type request struct {
	Request
	class                  *Class
	fn                     *function
	end, due               time.Duration // when the client gives up; the deadline that orders the queue
	half                   time.Duration // half of the client's time, less what a look may be late
	attempts               []*attempt
	out                    int
	done, streams, reached bool // reached: some attempt came as far as a worker
}

type attempt struct {
	q                            *request
	n                            int
	w                            *worker
	p                            *pair
	sent, late                   time.Duration // late: when it is overdue
	cost                         float64
	cold, ended, rescued, proved bool // proved: it never ran
}
