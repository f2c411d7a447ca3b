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
func (s *Settings) validate() (shortest time.Duration, err error) {
	if len(s.Classes) == 0 || s.Schedulers < 1 || s.MaxAttempts < 1 {
		return 0, errors.New("calicohill: at least 1 class, 1 scheduler and 1 attempt are needed")
	}
	shortest = s.Classes[0].LatencyObjective
	for i, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return 0, fmt.Errorf("calicohill: class %d: aim and deadline must be above 0", i)
		}
		shortest = min(shortest, c.LatencyObjective)
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
	return shortest, nil
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
