package routing

import "time"

// Action is an instruction of a Router to its caller, who carries out actions in the order given. The concrete types
// are Send, Cancel, Reject, Fail, SetTimer, Probe, Load, Unload, Subscribe and FetchList; with Settings.FaultReporting
// also ReportFault; and after the first EndpointsConfirmed also WorkerSuspended and EndpointListStatus.
type Action interface{ action() }

// Send starts an attempt, which ends with an AttemptEnded. The attempts of a request are numbered from 0 in the order
// of their Sends.
type Send struct {
	ID      string
	Worker  string
	Timeout time.Duration // 0 means until the client times out
	// StartWithin limits how long the attempt may wait for a connection. A retry that starts later could arrive after
	// workers have forgotten its idempotency key, or after the lease on the worker has expired. 0 means no limit.
	StartWithin time.Duration
}

// Cancel aborts an attempt. The attempt still ends with an AttemptEnded.
type Cancel struct {
	ID      string
	Attempt int // number of the attempt, see Send
}

// Reject is a final answer to a request that was not served and that the client can safely retry.
type Reject struct {
	ID         string
	RetryAfter time.Duration // suggested delay before a retry; 0 means none
	Reason     EndReason
}

// Fail is a final answer to a request that was not served but may have been executed.
type Fail struct {
	ID     string
	Reason EndReason
}

// EndReason is the reason why a request was not served.
type EndReason uint8

// Values of EndReason.
const (
	Overloaded       EndReason = iota // rejected on arrival, because of expected lateness or worker pressure
	NoCapacity                        // no worker had capacity in half the client's time
	RequestExpired                    // the client is about to time out
	RetriesExhausted                  // no attempts are left, or its class allows no retry
	StreamBroken                      // the answer was lost after it had started to stream
	ShuttingDown                      // this scheduler is shutting down
)

// String returns the name of the reason, as it is logged.
func (r EndReason) String() string {
	return [...]string{"overloaded", "no capacity", "out of time", "no further try", "stream broken", "scheduler ending"}[r]
}

// WorkerSuspended reports, for the log, that a worker looks as if it were draining or gone while the endpoint list is
// unconfirmed. The worker gets no requests until it proves that it accepts them, or the list is confirmed.
type WorkerSuspended struct {
	Worker string
	Reason SuspendReason
}

// SuspendReason is the reason why a worker was suspended.
type SuspendReason uint8

// Values of SuspendReason.
const (
	RejectedRequests  SuspendReason = iota // it rejected several requests in a row
	ReportedDown                           // it answered a health check with the status for down
	WorkerUnreachable                      // a connection could not be established
	ConnectionBroken                       // its connection was reset during a request
)

// String returns the name of the reason, as it is logged.
func (r SuspendReason) String() string {
	return [...]string{"rejected requests", "reported down", "could not be reached", "connection broke"}[r]
}

// EndpointListStatus reports, for the log, that the endpoint list has not been confirmed for too long, or that it is
// confirmed again. While the list is unconfirmed, the report is repeated periodically.
type EndpointListStatus struct {
	Unconfirmed bool
	Age         time.Duration // since the last confirmation
	Ready       int           // workers listed as Ready and not ejected
	Usable      int           // of these, workers with a valid lease
}

// SetTimer starts a timer, which ends with a TimerFired.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Probe requests a worker's health and load report. It ends with a ProbeEnded.
type Probe struct{ Worker string }

// Load tells a worker to have at least Instances instances of a function loaded; 0 only queries the current number. It
// ends with a LoadEnded.
type Load struct {
	Worker    string
	Function  string
	Instances int
}

// Unload tells a worker to unload the idle instances of a function.
type Unload struct {
	Worker   string
	Function string
}

// Subscribe starts or stops the delivery of endpoint list changes by discovery.
type Subscribe struct{ On bool }

// FetchList requests the full endpoint list from discovery, once.
type FetchList struct{}

// ReportFault reports a worker's health as this scheduler itself observes it. It is repeated when the health changes
// and when there is newer evidence.
type ReportFault struct {
	Worker     string
	Fault      Fault         // Healthy if the worker answered
	ObservedAt time.Duration // when the request without an answer was sent, or the answer arrived
}

func (ReportFault) action()        {}
func (WorkerSuspended) action()    {}
func (EndpointListStatus) action() {}
func (Send) action()               {}
func (Cancel) action()             {}
func (Reject) action()             {}
func (Fail) action()               {}
func (SetTimer) action()           {}
func (Probe) action()              {}
func (Load) action()               {}
func (Unload) action()             {}
func (Subscribe) action()          {}
func (FetchList) action()          {}
