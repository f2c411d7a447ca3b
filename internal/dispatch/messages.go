package dispatch

import (
	"errors"
	"time"

	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"
)

// Errors of Submit.
var (
	// ErrDuplicateID is returned for a request whose ID belongs to a request that has not been released.
	ErrDuplicateID = errors.New("a request with this id is already open")
	// ErrTooManyRequests is returned if the limit on open requests or on their memory is reached.
	ErrTooManyRequests = errors.New("too many open requests")
)

// Call is a client's request as submitted by a front end.
type Call struct {
	ID             string // unique per request
	Class          int    // index into the deployment's classes
	Function       string
	Affinity       string // set by rules: replaces Function in the Router's decisions; "" if not set
	Route          string // the route that rules chose; "" if none
	IdempotencyKey string // "" if none
	TimeLeft       time.Duration
	MemoryMB       float64 // memory of a loaded instance, in MB; 0 if unknown
	Concurrency    int     // requests that an instance runs at a time; 0 if unknown
	LoadTime       time.Duration
	// Body is nil if empty. After a successful Submit the Dispatcher owns it and returns it to the pool.
	Body *bufferpool.Buffer
}

// Status is the kind of a final answer.
type Status int

// The kinds of final answers.
const (
	Served   Status = iota // a worker served the request
	Rejected               // not served; the client may safely retry
	Failed                 // not served, but it may have run
)

// Answer is the final answer to a Call.
type Answer struct {
	Status     Status
	Body       []byte        // the worker's response if Served; valid only during the call of Respond
	RetryAfter time.Duration // when the client of a rejected request should retry; 0 means no advice
}

// Responder receives the final answers to Calls: exactly one for each Call, with the tag that was passed to Submit. A
// canceled Call gets no answer.
type Responder interface {
	Respond(tag slotmap.Ref, answer Answer)
}

// Attempt is one try of a request at one worker.
type Attempt struct {
	Ref            slotmap.Ref // identifies the attempt in calls of Workers and Dispatcher
	Worker         string
	ID             string
	Class          int
	Function       string
	IdempotencyKey string
	Timeout        time.Duration
	Body           []byte // valid until AttemptEnded or Cancel
}

// InFlightUnknown is the value of AttemptResult.InFlightForFunction if the worker did not report it.
const InFlightUnknown = -1

// AttemptResult is the result of an attempt or of a health check.
type AttemptResult struct {
	Outcome             routing.Outcome
	Body                []byte              // response if served; valid only during the call of AttemptEnded
	InFlightForFunction int                 // the worker's requests in flight for the function, or InFlightUnknown
	Report              *routing.LoadReport // nil if the worker sent none
}

// Workers is the transport to the workers. It calls Dispatcher.AttemptEnded exactly once for each attempt that was sent
// and not canceled, and Dispatcher.ProbeEnded once for each Probe.
type Workers interface {
	// UpdateEndpoints applies an endpoint list to the transport.
	UpdateEndpoints(list EndpointList)
	// Send starts an attempt. If the attempt has to wait for a connection, it is written only if Dispatcher.MaySend
	// still returns true.
	Send(attempt Attempt)
	// Cancel aborts an attempt and reports whether any part of it had been written.
	Cancel(ref slotmap.Ref) (written bool)
	// Probe starts a health check of a worker.
	Probe(worker string)
}

// EndpointList is a complete list of workers or an incremental update.
type EndpointList struct {
	Full      bool // the list is complete: workers that are not in Endpoints are gone
	Endpoints []Endpoint
}

// Endpoint is a worker and its address.
type Endpoint struct {
	routing.Worker
	Addr     string // host:port
	Model    string // kind of machine
	ZoneName string
}
