package routing

import "time"

// Action is something that a Router asks for, to be done in the order given. The concrete types are Send, Cancel, Reject,
// Fail, SetTimer, Probe, Load, Unload, Subscribe, FetchList, with Settings.FaultReporting ReportFault, and after an
// EndpointsConfirmed WorkerSuspended and EndpointsDoubted.
type Action interface{ action() }

// Send starts an attempt. The attempts of a request are numbered from 0 in the order of their Sends. It is answered by
// AttemptEnded.
type Send struct {
	ID      string
	Worker  string
	Timeout time.Duration // 0 means until the client gives up
	// StartWithin is how long from now the attempt may begin: a repeat that has waited longer for its connection would
	// arrive when workers have forgotten the idempotency key. 0 means any time.
	StartWithin time.Duration
}

// Cancel stops the wait for an attempt. The attempt still gets its AttemptEnded.
type Cancel struct {
	ID      string
	Attempt int // number of the attempt, see Send
}

// Reject is a final answer: the request was not served, and a retry is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // advice on when to retry; 0 means none
	Reason     EndReason
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct {
	ID     string
	Reason EndReason
}

// EndReason says why a request was not served.
type EndReason uint8

// The reasons.
const (
	Overloaded      EndReason = iota // rejected on arrival: it would have been late, or its worker is under pressure
	NoCapacity                       // no worker had capacity in half of its time
	OutOfTime                        // its client is about to give up
	NoFurtherTry                     // its attempts are used up, or its class allows no further one
	StreamBroken                     // the answer had begun to stream
	SchedulerEnding                  // this scheduler is about to end
)

// String returns the name of a reason.
func (r EndReason) String() string {
	return [...]string{"overloaded", "no capacity", "out of time", "no further try", "stream broken", "scheduler ending"}[r]
}

// WorkerSuspended says that a worker gets no requests until it shows that it takes them, or discovery confirms its list:
// while that is in doubt, the worker gave reason to take it for draining or gone. It is for the log.
type WorkerSuspended struct {
	Worker string
	Reason SuspendReason
}

// SuspendReason says what a worker was suspended for.
type SuspendReason uint8

// The reasons.
const (
	RejectedRequests  SuspendReason = iota // it rejected several in a row
	ReportedDown                           // a health check was answered with the word for down
	CouldNotBeReached                      // no connection came up
	ConnectionBroke                        // its connection broke under a request
)

// String returns the name of a reason.
func (r SuspendReason) String() string {
	return [...]string{"rejected requests", "reported down", "could not be reached", "connection broke"}[r]
}

// EndpointsDoubted says that the endpoint list came into doubt, since nothing confirmed it for a while, or is confirmed
// again; in between it is repeated. It is for the log.
type EndpointsDoubted struct {
	InDoubt bool
	Age     time.Duration // since the last confirmation
	Ready   int           // workers that are listed as ready
	Usable  int           // of these, workers that may be sent requests
}

// SetTimer asks for a TimerFired.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Probe asks a worker for its load report. It is answered by ProbeEnded.
type Probe struct{ Worker string }

// Load orders a worker to hold at least this many instances of a function; 0 only asks how many there are. It is answered
// by LoadEnded.
type Load struct {
	Worker    string
	Function  string
	Instances int
}

// Unload orders a worker to unload the idle instances of a function.
type Unload struct {
	Worker   string
	Function string
}

// Subscribe asks discovery for changes of the endpoint list from now on, or stops that.
type Subscribe struct{ On bool }

// FetchList asks discovery for the whole endpoint list, once.
type FetchList struct{}

// ReportFault says what this scheduler itself finds of a worker: once when that changes, and again with newer evidence.
type ReportFault struct {
	Worker     string
	Fault      Fault         // Healthy: the worker answered
	ObservedAt time.Duration // when the request that shows it was sent, or the answer arrived
}

func (ReportFault) action()      {}
func (WorkerSuspended) action()  {}
func (EndpointsDoubted) action() {}
func (Send) action()             {}
func (Cancel) action()           {}
func (Reject) action()           {}
func (Fail) action()             {}
func (SetTimer) action()         {}
func (Probe) action()            {}
func (Load) action()             {}
func (Unload) action()           {}
func (Subscribe) action()        {}
func (FetchList) action()        {}
