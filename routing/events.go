package routing

import "time"

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
