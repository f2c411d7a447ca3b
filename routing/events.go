package routing

import "time"

// Event is something that happened, as reported to Step. The concrete types are WorkerList, Request, StreamStarted,
// AttemptEnded, ClientCanceled, TimerFired, ProbeEnded, LoadEnded, PeerMessage, PeerReports, PoolsChanged,
// EndpointsStale, EndpointsConfirmed, StateRestored and Shutdown.
type Event interface{ event() }

// WorkerList is the endpoint list or changes of it, from discovery.
type WorkerList struct {
	Kind    ListKind
	Workers []Worker
}

// ListKind tells how to read a WorkerList.
type ListKind int

// The kinds of list.
const (
	ListChanges ListKind = iota // only the entries that changed
	ListFull                    // all workers; one that is missing has been removed
	ListCached                  // all workers as last known, perhaps stale
	ListFailed                  // the call for a list failed; what was known still holds
)

// Worker is an entry of a WorkerList.
type Worker struct {
	ID      string
	State   WorkerState
	Weight  float64       // capacity, for comparison with other workers; see Settings.WeightsReported
	Kind    int           // index in Settings.WorkerMemoryMB
	Zone    int           // failure domain
	Cell    int           // workers of a cell share which idempotency keys they have seen
	Started time.Duration // time of the latest start, on the clock of Step; 0 means long ago
}

// WorkerState is what discovery knows of a worker.
type WorkerState int

// The states.
const (
	Gone     WorkerState = iota // it was removed
	Ready                       // it takes requests
	Draining                    // it ends what it has and takes nothing new
)

// Request is a client's request, to which the Router owes exactly one final answer: an attempt that ends with
// RequestAnswered, a Reject or a Fail.
type Request struct {
	ID           string
	Class        int // index in Settings.Classes
	Tenant       int // index in Settings.Tenants
	Function     string
	TimeLeft     time.Duration // until the client gives up
	ExpectedWork time.Duration // 0 if unknown
	MemoryMB     float64       // of a loaded instance, in MB
	Concurrency  int           // requests that an instance runs at a time
	LoadTime     time.Duration // usual time of a load; 0 if unknown
	MarkedRetry  bool          // the client marked it as a retry
	Pool         *Pool         // workers that may have it; nil means all
}

// fallbackSuffix is added to a function's name in the fallback of its pool: a NUL, so that it looks like no other name.
const fallbackSuffix = "\x00"

// forFallbackPool is the same request for the fallback of its pool, if there is one. It is another function there: what
// is warm in one pool is not in another.
func (q Request) forFallbackPool() (Request, bool) {
	if q.Pool == nil || q.Pool.Fallback == nil {
		return q, false
	}
	q.Pool = q.Pool.Fallback
	q.Function += fallbackSuffix
	return q, true
}

// Pool is the set of workers that requests of a route may go to. All requests of one Function name one Pool. Its owner may
// change Workers between two Steps, and reports that to the next with PoolsChanged.
type Pool struct {
	Workers  map[string]bool // by id
	Fallback *Pool           // stands in while this one has no capacity; nil means none does
}

// Has reports whether a worker belongs to a pool. Every worker belongs to the nil pool.
func (p *Pool) Has(worker string) bool { return p == nil || p.Workers[worker] }

// PoolsChanged says that some Pool has other workers than before.
type PoolsChanged struct{}

// StreamStarted says that the answer of a streaming request has begun.
type StreamStarted struct {
	ID      string
	Attempt int // number of the attempt, see Send
	Worker  string
	Latency time.Duration
}

// AttemptEnded says how an attempt ended. Every Send gets exactly one.
type AttemptEnded struct {
	ID                  string
	Attempt             int // number of the attempt, see Send
	Worker              string
	Outcome             Outcome
	RequestAnswered     bool          // the request has its final answer
	Latency             time.Duration // 0 if unknown
	StartType           StartType
	InFlightForFunction int         // requests for the function that the worker had on arrival; -1 if unknown
	Report              *LoadReport // nil if none came along
}

// Outcome says how an attempt, a Probe or a Load ended.
type Outcome int

// The outcomes.
const (
	Served          Outcome = iota // answered
	Errored                        // the worker answered with an error; the request may have run
	Shed                           // the worker rejected it unseen
	TimedOut                       // no answer in time; it may have run or be running
	ConnectFailed                  // no connection was made
	ConnectionReset                // the connection broke; it may have run
	Canceled                       // canceled by this scheduler; it may have run
	NotSent                        // it never left this scheduler
	NotLoaded                      // the function isn't loaded there and no load is under way, or the load failed
)

// String returns the name of an outcome.
func (o Outcome) String() string {
	return [...]string{
		"served", "errored", "shed", "timed out", "connect failed", "connection reset", "canceled", "not sent", "not loaded",
	}[o]
}

// StartType says in what state an answered request found its function.
type StartType int

// The start types.
const (
	StartUnknown    StartType = iota
	WarmStart                 // an instance was loaded
	ColdStart                 // the request began a load
	JoinedColdStart           // it waited for a load that had begun before
	LoadFailed                // the load that it waited for failed
)

// LoadReport is a worker's load report. A value is negative if it is unknown.
type LoadReport struct {
	InFlight           float64 // requests
	QueueLength        float64 // requests that wait
	Utilization        float64 // fraction of its cores that is busy
	MemoryHeldFraction float64 // fraction of its memory that cannot be freed
	LoadsInProgress    float64 // loads under way or waiting
}

// ClientCanceled says that the client left: nothing more is owed for the request.
type ClientCanceled struct{ ID string }

// TimerFired says that the timer with this token has come due.
type TimerFired struct{ Token uint64 }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Worker  string
	SentAt  time.Duration // 0 if unknown
	Outcome Outcome
	Latency time.Duration
	Report  *LoadReport // nil if there is none
}

// LoadEnded is the answer to a Load.
type LoadEnded struct {
	Worker    string
	Function  string
	Outcome   Outcome
	Instances int // instances that are loaded
	Latency   time.Duration
}

// PeerMessage is a message of another scheduler.
type PeerMessage struct {
	From int // rank of the sender
	Data []byte
}

// PeerReports is what other schedulers together report of the workers. It replaces all earlier reports: a worker without
// a verdict is NotReported.
type PeerReports struct {
	Verdicts map[string]PeerVerdict // by worker
	Cleared  []string               // workers that have just answered a scheduler which had reported them
}

// PeerVerdict is what other schedulers together report of a worker.
type PeerVerdict uint8

// The verdicts, each stronger than the one before.
const (
	NotReported PeerVerdict = iota
	Reported                // some find it unhealthy
	Confirmed               // more of them than may lie find it unresponsive or unreachable
)

// String returns the name of a verdict.
func (v PeerVerdict) String() string { return [...]string{"not reported", "reported", "confirmed"}[v] }

// Fault is what a scheduler may find wrong with a worker.
type Fault uint8

// The faults.
const (
	Healthy      Fault = iota
	Unresponsive       // takes requests and answers none
	Slow               // answers much later than others
	Failing            // answers errors
	Unreachable        // takes no connections, or breaks them
)

// String returns the name of a fault.
func (f Fault) String() string {
	return [...]string{"healthy", "unresponsive", "slow", "failing", "unreachable"}[f]
}

// EndpointsConfirmed says that discovery's list, as reported by all WorkerLists so far, is known to have been complete at a
// time; 0 stands for a list of unknown age. From the first on, workers get requests only as long as that, or their own
// answers, prove that no drain binds yet. A discovery that pushes changes reports none.
type EndpointsConfirmed struct{ AsOf time.Duration }

// EndpointsStale says for how long from now the endpoint list may be stale: nobody heard of changes for a while. Nothing
// is sent until then, or until another EndpointsStale says 0.
type EndpointsStale struct{ Duration time.Duration }

// StateRestored brings what an earlier process of this scheduler learned. It follows the first WorkerList.
type StateRestored struct{ State LearnedState }

// Shutdown says that this scheduler is about to end: every open request gets its final answer now.
type Shutdown struct{}

func (WorkerList) event()         {}
func (Request) event()            {}
func (StreamStarted) event()      {}
func (AttemptEnded) event()       {}
func (ClientCanceled) event()     {}
func (TimerFired) event()         {}
func (ProbeEnded) event()         {}
func (LoadEnded) event()          {}
func (PeerMessage) event()        {}
func (PeerReports) event()        {}
func (PoolsChanged) event()       {}
func (EndpointsStale) event()     {}
func (EndpointsConfirmed) event() {}
func (Shutdown) event()           {}
func (StateRestored) event()      {}
