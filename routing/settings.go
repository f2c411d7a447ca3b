package routing

import (
	"errors"
	"fmt"
	"time"

	"calicohill/internal/stats/ratelimit"
	"calicohill/routing/slowstart"
)

// Settings tells a Router what the deployment allows, promises and charges. A Router keeps no other configuration.
type Settings struct {
	Schedulers int           // schedulers that share the workers, this one included
	Rank       int           // number of this scheduler among them, from 0
	Zone       int           // zone of this scheduler
	Tick       time.Duration // shortest time between two batches of events

	Classes        []Class
	Tenants        []Tenant
	OverQuotaValue float64 // value of a request over its tenant's quota, as a fraction of the usual

	MaxAttempts          int           // attempts allowed for a request
	MaxOpenRequests      int           // requests that may be open at once; 0 means no limit
	HedgingAllowed       bool          // two attempts of a request may be in flight together
	CancelAllowed        bool          // Cancel is allowed
	ProbeAllowed         bool          // Probe is allowed
	HonorsRetryAfter     bool          // clients get to see Reject.RetryAfter
	MaxRetryAfter        time.Duration // longest Retry-After that clients follow
	SubscriptionRequired bool          // the endpoint list comes only after Subscribe or FetchList
	EndpointsKnownWithin time.Duration // with SubscriptionRequired: delay of changes that arrive even without either
	ReportsInAnswers     bool          // load reports come with answers as well as with probes
	ReportsInProbes      bool          // load reports come with probes

	AnswerSlack time.Duration // how far past the client's time a final answer may arrive
	DrainGrace  time.Duration // how long sends may go on after a worker was listed as Draining or Gone

	SlowStartFraction    float64       // share of its capacity that a worker has at its start, at the least
	SlowStartDuration    time.Duration // time after its start until it has all of it, at the most
	OverloadMultiple     float64       // a warming worker crashes if it is sent more than this multiple of its capacity
	OverloadDuration     time.Duration // for this long; 0 means that nothing overloads it
	InstanceKeepAlive    time.Duration // shortest time that an idle instance stays loaded
	LoadOnDemand         bool          // a worker loads what a request lacks; otherwise only Load loads a function
	AnswersTellStartType bool          // answers tell AttemptEnded.StartType
	AnswersTellInFlight  bool          // answers tell AttemptEnded.InFlightForFunction

	LoadAllowed          bool          // Load and Unload are allowed
	LoadBudgetBase       float64       // Loads allowed in a LoadBudgetWindow whatever the traffic
	LoadBudgetPerRequest float64       // Loads allowed beside for each request that arrived in that time
	LoadBudgetWindow     time.Duration // 0 means that Loads are not limited
	LoadTimeout          time.Duration // how long an unanswered Load stays open
	WorkerMemoryMB       []float64     // memory of each kind of worker, in MB
	Fees                 Fees
	WeightsReported      bool // Worker.Weight means something
	ClientsMarkRetries   bool // clients set Request.MarkedRetry
	FaultReporting       bool // ReportFault has readers: peers, which answer with PeerReports, or the operator's routes
}

// defaultKeepAlive stands for Settings.InstanceKeepAlive where that is not set.
const defaultKeepAlive = 10 * time.Second

// validate fills in what was not set and returns the shortest latency objective of all classes, or an error that says
// what makes no sense.
func (s *Settings) validate() (shortest time.Duration, err error) {
	if len(s.Classes) == 0 || s.Schedulers < 1 || s.MaxAttempts < 1 {
		return 0, errors.New("calicohill: at least 1 class, 1 scheduler and 1 attempt are needed")
	}
	shortest, err = s.shortestObjective()
	if err != nil {
		return 0, err
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

// shortestObjective returns the shortest latency objective of all classes, or an error if a class makes no sense.
func (s *Settings) shortestObjective() (time.Duration, error) {
	shortest := s.Classes[0].LatencyObjective
	for i, class := range s.Classes {
		if class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return 0, fmt.Errorf("calicohill: class %d: aim and deadline must be above 0", i)
		}
		shortest = min(shortest, class.LatencyObjective)
	}
	return shortest, nil
}

// tenantQuotas are those of the tenants in what one scheduler takes in. A fraction of a request is saved up.
func (s *Settings) tenantQuotas() *ratelimit.Quotas {
	var rates []float64
	for _, t := range s.Tenants {
		rates = append(rates, t.RequestsPerSecond/float64(s.Schedulers))
	}
	return ratelimit.NewQuotas(rates)
}

// slowStartConfig is what the deployment says of workers that are warming up. Before any was answered, a worker is taken to
// bear one request of all schedulers at a time, answered within the shortest latency objective.
func (s *Settings) slowStartConfig(shortestObjective time.Duration) slowstart.Config {
	return slowstart.Config{
		Fraction:         s.SlowStartFraction,
		Duration:         s.SlowStartDuration,
		OverloadMultiple: s.OverloadMultiple,
		OverloadDuration: s.OverloadDuration,
		InitialRate:      1 / shortestObjective.Seconds() / float64(s.Schedulers),
	}
}

// Fees are points of the service figure, each to be multiplied by its rate.
type Fees struct {
	WastedWork  float64 // work that answered nothing, per work offered
	LateFailure float64 // value of requests that failed after their latency objective, per value offered
	StoreFetch  float64 // fetches from the store, per request
	CrossZone   float64 // attempts that cross zones, per request
	Probe       float64 // probes and Loads, per request
	IdleMemory  float64 // mean fraction of memory held by idle and loading instances
}

// Idempotency says what repeating a request of a class does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // repeats do no harm
	IdempotentByKey                    // repeats with the same key are dropped, see Class.DeduplicationScope
	NonIdempotent                      // a repeat acts twice
)

// DeduplicationScope is the group of workers that drops the repeats of an IdempotentByKey request.
type DeduplicationScope int

// The scopes.
const (
	ScopeAll  DeduplicationScope = iota // all workers
	ScopeZone                           // the workers of a zone
	ScopeCell                           // the workers of a cell
)

// Class describes a class of requests.
type Class struct {
	LatencyObjective    time.Duration // an answer within this time earns the full value
	Deadline            time.Duration // how long a client waits in all
	PriorityWeight      float64       // value of an answer in time, for comparison with other classes
	LateValue           float64       // fraction of it for an answer between LatencyObjective and Deadline
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // with IdempotentByKey: which workers drop repeats
	DeduplicationWindow time.Duration      // with IdempotentByKey: how long they remember a key
	Streaming           bool               // answers stream: StreamStarted comes before AttemptEnded
}

// Tenant describes a customer's share of the service.
type Tenant struct {
	QuotaFraction     float64 // of the service
	RequestsPerSecond float64 // the same in requests a second, over all schedulers; 0 means no limit
}
