package routing

import (
	"errors"
	"fmt"
	"time"

	"calicohill/internal/stats/ratelimit"
)

// Settings tells a Router what the deployment allows, promises and charges. A Router keeps no other
// configuration; it serves whatever it is told here.
type Settings struct {
	Schedulers int           // schedulers that share the workers, this one included
	Rank       int           // number of this scheduler among them, from 0
	Zone       int           // zone of this scheduler
	Tick       time.Duration // least time between two batches

	Classes        []Class
	Tenants        []Tenant
	OverQuotaValue float64 // worth of a request past its tenant's share, as a fraction of the usual

	MaxAttempts          int           // attempts allowed for a request
	MaxOpenRequests      int           // requests that may be open at once; 0 means no limit
	HedgingAllowed       bool          // two attempts of a request may be out together
	CancelAllowed        bool          // Cancel is allowed
	ProbeAllowed         bool          // Probe is allowed
	HonorsRetryAfter     bool          // clients are told Reject.RetryAfter
	MaxRetryAfter        time.Duration // longest advice that clients follow
	SubscriptionRequired bool          // the worker list comes only to those who Subscribe or StoreFetch
	EndpointsKnownWithin time.Duration // with SubscriptionRequired: told of what was listed that long ago, even unasked
	ReportsInAnswers     bool          // load reports come with answers as well as with probes
	ReportsInProbes      bool          // load reports come with probes

	AnswerSlack time.Duration // how far past the client's time a final answer may land
	DrainGrace  time.Duration // how long sends may go on after a worker was told to drain or be gone

	SlowStartFraction    float64       // a worker starts with no less than this share of its capacity
	SlowStartDuration    time.Duration // and has all of it no later than this after its start
	OverloadMultiple     float64       // sent more than this multiple of its capacity
	OverloadDuration     time.Duration // for this long, a cold worker falls over
	InstanceKeepAlive    time.Duration // an idle copy stays loaded at least this long
	LoadOnDemand         bool          // a worker loads what a request lacks; otherwise only Load brings it in
	AnswersTellStartType bool          // answers tell StartType
	AnswersTellInFlight  bool          // answers tell InFlightForFunction

	LoadAllowed          bool          // Load and Unload are allowed
	LoadBudgetBase       float64       // orders to load allowed in a LoadBudgetWindow whatever the traffic
	LoadBudgetPerRequest float64       // and as many more for each request taken in that time
	LoadBudgetWindow     time.Duration // 0 means that orders to load are not rationed
	LoadTimeout          time.Duration // how long an unanswered order to load stays open
	WorkerMemoryMB       []float64     // memory of each kind of worker, in MB
	Fees                 Fees
	WeightsReported      bool // Worker.Weight means something
	ClientsMarkRetries   bool // clients mark their repeats
	FaultReporting       bool // ReportFault is heeded: by other schedulers, whose word comes as PeerReports, or by routes
}

// keepAlive holds where none is told.
const defaultKeepAlive = 10 * time.Second

// check fills in what was not told and returns the least aim of all classes, or what makes no sense.
func (s *Settings) validate() (least time.Duration, err error) {
	if len(s.Classes) == 0 || s.Schedulers < 1 || s.MaxAttempts < 1 {
		return 0, errors.New("calicohill: at least 1 class, 1 scheduler and 1 attempt are needed")
	}
	least = s.Classes[0].LatencyObjective
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return 0, fmt.Errorf("calicohill: class %d: aim and deadline must be above 0", i)
		}
		least = min(least, c.LatencyObjective)
	}
	if s.SlowStartFraction < 0 || s.LoadBudgetPerRequest < 0 || s.LoadBudgetBase < 0 || s.OverloadMultiple < 0 {
		return 0, errors.New("calicohill: settings below 0")
	}
	if s.InstanceKeepAlive <= 0 {
		s.InstanceKeepAlive = defaultKeepAlive
	}
	if !s.HonorsRetryAfter {
		s.MaxRetryAfter = 0
	}
	return least, nil
}

// shares are those of the tenants in what one scheduler takes in. A share under one call is saved up.
func (s *Settings) tenantQuotas() *ratelimit.Quotas {
	var rates []float64
	for _, t := range s.Tenants {
		rates = append(rates, t.RequestsPerSecond/float64(s.Schedulers))
	}
	return ratelimit.NewQuotas(rates)
}

// Fees are points of the service figure, each times its rate.
type Fees struct {
	WastedWork  float64 // work that answered nothing, per work offered
	LateFailure float64 // worth that ended unserved after its aim, per worth offered
	StoreFetch  float64 // fetches from the store, per request
	CrossZone   float64 // attempts that cross zones, per request
	Probe       float64 // probes and orders, per request
	IdleMemory  float64 // mean share of memory held by idle and loading copies
}

// Idempotency says what repeating a request of a class does.
type Idempotency int

// The effects.
const (
	Idempotent      Idempotency = iota // repeats do no harm
	IdempotentByKey                    // repeats are dropped by the workers of a DeduplicationScope, for a while
	NonIdempotent                      // a repeat acts twice
)

// DeduplicationScope is the group of workers that drops the repeats of a IdempotentByKey request.
type DeduplicationScope int

// The scopes.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Class describes a class of requests.
type Class struct {
	LatencyObjective    time.Duration // an answer within this time earns the full worth
	Deadline            time.Duration // a client waits this long in all
	PriorityWeight      float64
	LateValue           float64 // share of the worth paid for an answer between LatencyObjective and Deadline
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long the workers remember a key
	Streaming           bool          // answers stream: StreamStarted comes before AttemptEnded
}

// Tenant describes a customer's share of the service.
type Tenant struct {
	QuotaFraction     float64
	RequestsPerSecond float64 // requests per second within its share, over all schedulers
}

// Event is something that a Router is told. The concrete types are WorkerList, Request, StreamStarted,
// AttemptEnded, ClientCanceled, TimerFired, ProbeEnded, LoadEnded, PeerMessage, PeerReports, PoolsChanged, EndpointsStale, StateRestored
// and Shutdown.
type Event interface{ event() }

// ListKind tells how to read a WorkerList.
type ListKind int

// The kinds of list.
const (
	ListChanges ListKind = iota // only the entries that changed
	ListFull                    // all workers; one that is missing has been removed
	ListCached                  // all workers as last known, perhaps stale
	ListFailed                  // the call for a list failed; what was known still holds
)

// WorkerState is what the list knows of a worker.
type WorkerState int

// The states.
const (
	Gone WorkerState = iota
	Ready
	Draining
)

// Worker is an entry of a WorkerList.
type Worker struct {
	ID      string
	State   WorkerState
	Weight  float64 // size, for comparison with other workers
	Kind    int
	Zone    int
	Cell    int           // workers of a cell share which keys they have seen
	Started time.Duration // clock time of the latest start; 0 means long ago
}

// WorkerList brings what discovery knows of the workers.
type WorkerList struct {
	Kind    ListKind
	Workers []Worker
}

// Request is a client's request, to which the Router owes exactly one final answer.
type Request struct {
	ID           string
	Class        int
	Tenant       int
	Function     string
	TimeLeft     time.Duration // until the client gives this try up
	ExpectedWork time.Duration // expected work; 0 if unknown
	MemoryMB     float64       // of a loaded copy, in MB
	Concurrency  int           // requests that a copy runs at a time
	LoadTime     time.Duration // usual time of a load; 0 if unknown
	MarkedRetry  bool          // the client marked it as a repeat
	Pool         *Pool         // workers that may have it; nil means all
}

// Pool is the workers that requests of a route may go to. All requests of one Function name one Pool. Whoever keeps
// it may change Workers between two Steps, and tells the next by PoolsChanged.
type Pool struct {
	Workers  map[string]bool // by id
	Fallback *Pool           // stands in while this one has no room; nil means none does
}

// spill is the same request for the pool that stands in for its own, if one does. It is another function there: what
// is warm in one pool is not in another.
func (q Request) forFallbackPool() (Request, bool) {
	if q.Pool == nil || q.Pool.Fallback == nil {
		return q, false
	}
	q.Pool, q.Function = q.Pool.Fallback, q.Function+"\x00"
	return q, true
}

// Has reports whether a worker belongs to a pool; every worker belongs to no pool.
func (p *Pool) Has(worker string) bool { return p == nil || p.Workers[worker] }

// EndpointsStale says for how long the list may be old, from now: nobody heard of its changes for a while. Nothing is sent
// until then, or until another says 0.
type EndpointsStale struct{ Duration time.Duration }

// StateRestored brings what an earlier process of this scheduler learned. It follows the first WorkerList.
type StateRestored struct{ State LearnedState }

// PoolsChanged says that some Pool has other workers than before.
type PoolsChanged struct{}

// Shutdown says that this scheduler is about to end: what is open gets its final answer now.
type Shutdown struct{}

// Outcome says how an attempt, a probe or an order to load ended.
type Outcome int

// The outcomes.
const (
	Served          Outcome = iota // answered
	Errored                        // the worker answered with an error; the request may have run
	Shed                           // turned away unseen
	TimedOut                       // no answer in time; it may have run or be running
	ConnectFailed                  // no connection was made
	ConnectionReset                // the connection broke; it may have run
	Canceled                       // called off; it may have run
	NotSent                        // never left this scheduler
	NotLoaded                      // the function isn't loaded there and no load is under way, or the load failed
)

// StartType says in what state an answered request found its function.
type StartType int

// The states of warmth.
const (
	StartUnknown    StartType = iota
	WarmStart                 // a copy stood loaded
	ColdStart                 // the request began a load
	JoinedColdStart           // it waited for a load begun before
	LoadFailed                // the load that it waited for failed
)

// LoadReport is a worker's load report. A value is negative if it was not told.
type LoadReport struct {
	InFlight, QueueLength, Utilization float64
	MemoryHeldFraction                 float64 // share of memory that cannot be freed
	LoadsInProgress                    float64 // loads under way or waiting
}

// StreamStarted says that the answer of a streamed request has begun.
type StreamStarted struct {
	ID      string
	Attempt int
	Worker  string
	Latency time.Duration
}

// AttemptEnded says how an attempt ended. Every Send gets exactly one.
type AttemptEnded struct {
	ID                  string
	Attempt             int
	Worker              string
	Outcome             Outcome
	RequestAnswered     bool // the request has its final answer
	Latency             time.Duration
	StartType           StartType
	InFlightForFunction int         // requests for the function that the worker held on arrival; -1 if unknown
	Report              *LoadReport // nil if none came along
}

// ClientCanceled says that the client left; nothing more is owed for the request.
type ClientCanceled struct{ ID string }

// TimerFired says that the timer with this token has come due.
type TimerFired struct{ Token uint64 }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Worker  string
	Outcome Outcome
	Latency time.Duration
	Report  *LoadReport
}

// LoadEnded is the answer to a Load.
type LoadEnded struct {
	Worker    string
	Function  string
	Outcome   Outcome
	Instances int // copies that stand loaded
	Latency   time.Duration
}

// PeerMessage is a message of another scheduler.
type PeerMessage struct {
	From int
	Data []byte
}

// Fault is what a scheduler may find wrong with a worker.
type Fault uint8

// The troubles.
const (
	Healthy      Fault = iota
	Unresponsive       // takes requests and answers none
	Slow               // answers much later than others
	Failing            // answers errors
	Unreachable        // takes no connections, or breaks them
)

func (t Fault) String() string {
	return [...]string{"well", "silent", "stalled", "failing", "unreachable"}[t]
}

// PeerVerdict is what other schedulers together hold of a worker.
type PeerVerdict uint8

// The words, each stronger than the one before.
const (
	NotReported PeerVerdict = iota
	Reported                // some find it ill
	Confirmed               // more of them than may lie find it silent or unreachable
)

func (w PeerVerdict) String() string { return [...]string{"none", "noted", "believed"}[w] }

// PeerReports is what other schedulers hold of workers, in place of all before. Who is not named has no word.
type PeerReports struct {
	Verdicts map[string]PeerVerdict
	Cleared  []string // workers that a scheduler which found them ill has just had an answer from
}

func (WorkerList) event()     {}
func (Request) event()        {}
func (StreamStarted) event()  {}
func (AttemptEnded) event()   {}
func (ClientCanceled) event() {}
func (TimerFired) event()     {}
func (ProbeEnded) event()     {}
func (LoadEnded) event()      {}
func (PeerMessage) event()    {}
func (PeerReports) event()    {}
func (PoolsChanged) event()   {}
func (EndpointsStale) event() {}
func (Shutdown) event()       {}
func (StateRestored) event()  {}

// Action is something that a Router asks for, to be done in the order given. The concrete types are Send,
// Cancel, Reject, Fail, SetTimer, Probe, Load, Unload, Subscribe, FetchList and, where Settings.Observed, ReportFault.
type Action interface{ action() }

// Send starts an attempt. The attempts of a request are numbered from 0 in the order of their Sends.
type Send struct {
	ID      string
	Worker  string
	Timeout time.Duration // 0 means until the client gives up
	// StartWithin is how long from now it may begin: a repeat that has waited longer for its connection would come when
	// workers have forgotten the first. 0 means any time.
	StartWithin time.Duration
}

// Cancel stops the wait for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Reject is a final answer: not served, and trying again is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // advice on when to try again; 0 means none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// SetTimer asks for a TimerFired.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Probe asks a worker for its load report.
type Probe struct{ Worker string }

// Load orders a worker to hold at least that many copies of a function; 0 only asks.
type Load struct {
	Worker, Function string
	Instances        int
}

// Unload has the idle copies of a function at a worker unloaded.
type Unload struct{ Worker, Function string }

// Subscribe asks discovery for changes of the worker list from now on, or stops asking.
type Subscribe struct{ On bool }

// FetchList asks discovery for the whole list, once.
type FetchList struct{}

// ReportFault says what this scheduler itself finds of a worker, first when that changes and again with newer proof.
type ReportFault struct {
	Worker     string
	Fault      Fault         // Well: an answer
	ObservedAt time.Duration // when the request was sent that shows it, or the answer came
}

func (ReportFault) action() {}
func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (Probe) action()       {}
func (Load) action()        {}
func (Unload) action()      {}
func (Subscribe) action()   {}
func (FetchList) action()   {}
