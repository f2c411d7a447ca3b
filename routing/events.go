package routing

import "time"

// Event is an input to Step. The concrete types are WorkerList, Request, StreamStarted, AttemptEnded, ClientCanceled,
// TimerFired, ProbeEnded, LoadEnded, PeerMessage, PeerReports, PoolsChanged, EndpointsStale, EndpointsConfirmed,
// StateRestored and Shutdown.
type Event interface{ event() }

// WorkerList is a full or partial endpoint list from discovery.
type WorkerList struct {
	Kind    ListKind
	Workers []Worker
}

// ListKind is the kind of a WorkerList.
type ListKind int

// Values of ListKind.
const (
	ListChanges ListKind = iota // only the entries that changed
	ListFull                    // all workers; a known worker that is missing was removed
	ListCached                  // all workers as of an earlier time; may be stale
	ListFailed                  // the list call failed; the known workers stay
)

// Worker is an entry of a WorkerList.
type Worker struct {
	ID      string
	State   WorkerState
	Weight  float64       // relative capacity, see Settings.WeightsReported
	Kind    int           // index in Settings.WorkerMemoryMB
	Zone    int           // failure domain
	Cell    int           // workers of a cell share their seen idempotency keys
	Started time.Duration // latest start, on the clock of Step; 0 means long ago
}

// WorkerState is the state of a worker in the endpoint list.
type WorkerState int

// Values of WorkerState.
const (
	Gone     WorkerState = iota // removed
	Ready                       // accepts requests
	Draining                    // finishes its requests and accepts no new ones
)

// Request is a client's request. It gets exactly one final answer: an attempt that ends with RequestAnswered, a Reject
// or a Fail.
type Request struct {
	ID           string
	Class        int // index in Settings.Classes
	Tenant       int // index in Settings.Tenants
	Function     string
	TimeLeft     time.Duration // time to the client's timeout
	ExpectedWork time.Duration // 0 if unknown
	MemoryMB     float64       // memory of a loaded instance, in MB
	Concurrency  int           // requests that one instance runs in parallel
	LoadTime     time.Duration // typical load time; 0 if unknown
	MarkedRetry  bool          // marked as a retry by the client
	Pool         *Pool         // workers allowed to serve it; nil means all
}

// fallbackSuffix is appended to a function's name in the fallback of its pool. It is a NUL, so that the
// result cannot collide with another name.
const fallbackSuffix = "\x00"

// forFallbackPool returns the request addressed to the fallback of its pool, or false if there is none. The fallback
// pool has a separate function record, since instances in one pool are not available in the other.
func (q Request) forFallbackPool() (Request, bool) {
	if q.Pool == nil || q.Pool.Fallback == nil {
		return q, false
	}
	q.Pool = q.Pool.Fallback
	q.Function += fallbackSuffix
	return q, true
}

// Pool is the set of workers that requests of a route may be sent to. All requests of one Function have the same Pool.
// The caller may change Workers between two Steps and reports the change to the next Step with PoolsChanged.
type Pool struct {
	Workers  map[string]bool // by id
	Fallback *Pool           // used while this pool has no capacity; nil means none
}

// Has reports whether the pool contains a worker. A nil Pool contains every worker.
func (p *Pool) Has(worker string) bool { return p == nil || p.Workers[worker] }

// PoolsChanged reports that the Workers of a Pool have changed.
type PoolsChanged struct{}

// StreamStarted reports that the answer to a streaming request has started.
type StreamStarted struct {
	ID      string
	Attempt int // number of the attempt, see Send
	Worker  string
	Latency time.Duration
}

// AttemptEnded reports the outcome of an attempt. There is exactly one for every Send.
type AttemptEnded struct {
	ID                  string
	Attempt             int // number of the attempt, see Send
	Worker              string
	Outcome             Outcome
	RequestAnswered     bool          // the request has its final answer
	Latency             time.Duration // 0 if unknown
	StartType           StartType
	InFlightForFunction int         // requests for the function at the worker on arrival; -1 if unknown
	Report              *LoadReport // nil if the answer carried none
}

// Outcome is the result of an attempt, a Probe or a Load.
type Outcome int

// Values of Outcome.
const (
	Served          Outcome = iota // answered
	Errored                        // the worker answered with an error; the request may have run
	Shed                           // the worker rejected it without executing it
	TimedOut                       // no answer within the timeout; it may have run or still be running
	ConnectFailed                  // the connection could not be established
	ConnectionReset                // the connection was reset; it may have run
	Canceled                       // canceled by this scheduler; it may have run
	NotSent                        // it was not sent to the worker
	NotLoaded                      // the function is not loaded or loading there, or its load failed
)

// String returns the name of the outcome, as it is logged.
func (o Outcome) String() string {
	return [...]string{
		"served", "errored", "shed", "timed out", "connect failed", "connection reset", "canceled", "not sent", "not loaded",
	}[o]
}

// StartType is the state of the function when an answered request arrived at the worker.
type StartType int

// Values of StartType.
const (
	StartUnknown    StartType = iota
	WarmStart                 // an instance was loaded
	ColdStart                 // the request started a load
	JoinedColdStart           // the request waited for a load in progress
	LoadFailed                // the load failed
)

// LoadReport is a worker's load report. Unknown values are negative.
type LoadReport struct {
	InFlight                    float64 // requests
	QueueLength                 float64 // waiting requests
	Utilization                 float64 // busy fraction of the worker's cores
	UnreclaimableMemoryFraction float64 // fraction of the worker's memory that cannot be freed
	LoadsInProgress             float64 // running and waiting loads
}

// ClientCanceled reports that the client has disconnected. The request needs no answer any more.
type ClientCanceled struct{ ID string }

// TimerFired reports that the timer with this token has expired.
type TimerFired struct{ Token uint64 }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Worker  string
	SentAt  time.Duration // 0 if unknown
	Outcome Outcome
	Latency time.Duration
	Report  *LoadReport // nil if there is none
}

// LoadEnded is the result of a Load.
type LoadEnded struct {
	Worker    string
	Function  string
	Outcome   Outcome
	Instances int // loaded instances
	Latency   time.Duration
}

// PeerMessage is a message from another scheduler.
type PeerMessage struct {
	From int // rank of the sender
	Data []byte
}

// PeerReports holds the verdicts of the other schedulers on the workers. It replaces all earlier reports: a worker
// without a verdict is NotReported.
type PeerReports struct {
	Verdicts map[string]PeerVerdict // by worker
	Cleared  []string               // workers that answered a scheduler which had reported them
}

// PeerVerdict is the combined verdict of the other schedulers on a worker.
type PeerVerdict uint8

// Values of PeerVerdict, in order of severity.
const (
	NotReported PeerVerdict = iota
	Reported                // some peers report it as unhealthy
	Confirmed               // a quorum of peers reports it as unresponsive or unreachable
)

// String returns the name of the verdict.
func (v PeerVerdict) String() string { return [...]string{"not reported", "reported", "confirmed"}[v] }

// Fault is a fault of a worker, as observed by a scheduler.
type Fault uint8

// Values of Fault.
const (
	Healthy      Fault = iota
	Unresponsive       // accepts requests but does not answer
	Slow               // answers much more slowly than other workers
	Failing            // answers with errors
	Unreachable        // refuses or resets connections
)

// String returns the name of the fault.
func (f Fault) String() string {
	return [...]string{"healthy", "unresponsive", "slow", "failing", "unreachable"}[f]
}

// EndpointsConfirmed reports that the endpoint list, as built from all WorkerLists so far, was complete at AsOf; 0
// means that its age is unknown. After the first confirmation, a worker gets requests only while a confirmation or its
// own answers rule out that a drain has taken effect. There are no confirmations if discovery pushes changes.
type EndpointsConfirmed struct{ AsOf time.Duration }

// EndpointsStale reports that the endpoint list may be stale for this duration from now, because changes may have been
// missed. Nothing is sent until then, or until an EndpointsStale with Duration 0.
type EndpointsStale struct{ Duration time.Duration }

// StateRestored passes on what an earlier process of this scheduler learned. It follows the first WorkerList.
type StateRestored struct{ State LearnedState }

// Shutdown reports that this scheduler is shutting down. Every open request gets its final answer at once.
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
