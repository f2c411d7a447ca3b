package routing

import (
	"errors"
	"fmt"
	"time"

	"calicohill/internal/stats/ratelimit"
	"calicohill/routing/slowstart"
)

// Settings is the configuration of a Router: the limits, promises and cost weights of the deployment.
type Settings struct {
	Schedulers int           // number of schedulers that share the workers, including this one
	Rank       int           // number of this scheduler among them, from 0
	Zone       int           // zone of this scheduler
	Tick       time.Duration // shortest time between two Steps

	Classes        []Class
	Tenants        []Tenant
	OverQuotaValue float64 // value of a request over its tenant's quota, as a fraction of the normal value

	MaxAttempts           int           // maximum number of attempts per request
	MaxOpenRequests       int           // maximum number of open requests; 0 means no limit
	HedgingAllowed        bool          // two attempts of a request may be in flight together
	CancelAllowed         bool          // Cancel is allowed
	ProbeAllowed          bool          // Probe is allowed
	SendsRetryAfter       bool          // Reject.RetryAfter is passed on to clients
	MaxRetryAfter         time.Duration // longest Retry-After that clients honor
	SubscriptionRequired  bool          // the endpoint list arrives only after Subscribe or FetchList
	UnsubscribedListDelay time.Duration // with SubscriptionRequired: delay of changes without either action
	ReportsInAnswers      bool          // answers and probe results carry load reports
	ReportsInProbes       bool          // probe results carry load reports

	AnswerSlack time.Duration // how long after the client's timeout a final answer may arrive
	DrainGrace  time.Duration // how long a worker may get requests after it was listed as Draining or Gone

	SlowStartFraction      float64       // smallest fraction of its capacity that a worker has at its start
	SlowStartDuration      time.Duration // longest time from its start until it has full capacity
	OverloadMultiple       float64       // a worker that is warming up crashes above this multiple of its capacity
	OverloadDuration       time.Duration // for this long; 0 means that overload causes no crash
	InstanceKeepAlive      time.Duration // shortest time that an idle instance stays loaded
	LoadOnDemand           bool          // a request loads its function if needed; otherwise only Load does
	AnswersReportStartType bool          // answers report AttemptEnded.StartType
	AnswersReportInFlight  bool          // answers report AttemptEnded.InFlightForFunction

	LoadAllowed          bool          // Load and Unload are allowed
	LoadBudgetBase       float64       // Loads allowed in a LoadBudgetWindow, regardless of traffic
	LoadBudgetPerRequest float64       // additional Loads per request that arrived in the window
	LoadBudgetWindow     time.Duration // 0 means that Loads are not limited
	LoadTimeout          time.Duration // timeout of a Load
	WorkerMemoryMB       []float64     // memory by kind of worker, in MB
	CostWeights          CostWeights
	WeightsReported      bool // Worker.Weight is set by discovery
	ClientsMarkRetries   bool // clients set Request.MarkedRetry
	FaultReporting       bool // ReportFault is used by peers, which send PeerReports, or by the operator's routes
	FunctionMemory       int  // limit on the memory for idle functions and worker orders, in bytes; 0 means none
}

// functionMemoryParts divides Settings.FunctionMemory into equal parts, one for the records of functions and one for
// the cached orders of workers.
const functionMemoryParts = 2

// defaultKeepAlive is the value of Settings.InstanceKeepAlive if that is not set.
const defaultKeepAlive = 10 * time.Second

// validate sets defaults and returns the shortest latency objective of all classes. It returns an error for invalid
// settings.
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
	if !s.SendsRetryAfter {
		s.MaxRetryAfter = 0
	}
	return shortest, nil
}

// shortestObjective returns the shortest latency objective of all classes, or an error if a class is invalid.
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

// tenantQuotas returns the tenants' quotas at one scheduler. Unused fractions of a request accumulate.
func (s *Settings) tenantQuotas() *ratelimit.Quotas {
	var rates []float64
	for _, t := range s.Tenants {
		rates = append(rates, t.RequestsPerSecond/float64(s.Schedulers))
	}
	return ratelimit.NewQuotas(rates)
}

// slowStartConfig returns the configuration of the slow-start budget. Until throughput has been measured, a worker is
// assumed to handle one request at a time, from all schedulers together, within the shortest latency objective.
func (s *Settings) slowStartConfig(shortestObjective time.Duration) slowstart.Config {
	return slowstart.Config{
		Fraction:         s.SlowStartFraction,
		Duration:         s.SlowStartDuration,
		OverloadMultiple: s.OverloadMultiple,
		OverloadDuration: s.OverloadDuration,
		InitialRate:      1 / shortestObjective.Seconds() / float64(s.Schedulers),
	}
}

// CostWeights holds the weight of each cost in the service score, to be multiplied by the rate of that cost.
type CostWeights struct {
	WastedWork  float64 // work without an answer, per work offered
	LateFailure float64 // value of requests failed after their latency objective, per value offered
	StoreFetch  float64 // fetches from the store, per request
	CrossZone   float64 // attempts that cross zones, per request
	Probe       float64 // probes and Loads, per request
	IdleMemory  float64 // mean fraction of memory used by idle and loading instances
}

// Idempotency is the effect of repeating a request of a class.
type Idempotency int

// Values of Idempotency.
const (
	Idempotent      Idempotency = iota // repeats are harmless
	IdempotentByKey                    // repeats with the same key are dropped, see Class.DeduplicationScope
	NonIdempotent                      // a repeat is executed again
)

// DeduplicationScope is the group of workers that share the idempotency keys that they have seen.
type DeduplicationScope int

// Values of DeduplicationScope.
const (
	ScopeAll  DeduplicationScope = iota // all workers
	ScopeZone                           // the workers of a zone
	ScopeCell                           // the workers of a cell
)

// Class is the configuration of a class of requests.
type Class struct {
	LatencyObjective    time.Duration // an answer within this time has its full value
	Deadline            time.Duration // longest time that a client waits
	PriorityWeight      float64       // value of an answer in time, relative to other classes
	LateValue           float64       // fraction of that value for an answer between LatencyObjective and Deadline
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // with IdempotentByKey: which workers drop repeats
	DeduplicationWindow time.Duration      // with IdempotentByKey: how long workers remember a key
	Streaming           bool               // answers are streamed: StreamStarted precedes AttemptEnded
}

// Tenant is the quota of a tenant.
type Tenant struct {
	QuotaFraction     float64 // fraction of the service's capacity
	RequestsPerSecond float64 // quota in requests per second, over all schedulers; 0 means no limit
}
