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
	// ErrDuplicateID says that a request with the same ID has not been released yet.
	ErrDuplicateID = errors.New("a request of this id is open")
	// ErrTooManyRequests says that as many requests are open as the deployment allows.
	ErrTooManyRequests = errors.New("too many requests are open")
)

// Call is a client's request, as a front end submits it.
type Call struct {
	ID             string // unique for each request
	Class          int    // index into the deployment's classes
	Function       string
	Affinity       string // stands for Function in the Router's decisions if rules set it; "" if they don't
	Route          string // the route that rules chose; "" if none
	IdempotencyKey string // "" if none
	TimeLeft       time.Duration
	MemoryMB       float64 // memory of a loaded instance, in MB; 0 if unknown
	Concurrency    int     // requests that an instance runs at a time; 0 if unknown
	LoadTime       time.Duration
	// Body is nil if empty. From a successful Submit on the Dispatcher owns it and returns it to the pool.
	Body *bufferpool.Buffer
}

// Status is the kind of a final answer.
type Status int

// The kinds of final answers.
const (
	Served   Status = iota // a worker served the request
	Rejected               // not served; a retry is harmless
	Failed                 // not served, and it may have run
)

// Answer is the final answer to a Call.
type Answer struct {
	Status     Status
	Body       []byte        // of a served request; valid only during the call of Respond
	RetryAfter time.Duration // advice to the client of a rejected request; 0 means none
}

// Responder submits Calls and is given exactly one final answer to each, with the tag that it passed to Submit. A Call
// that it cancels gets no answer.
type Responder interface {
	Respond(tag slotmap.Ref, answer Answer)
}

// Attempt is one try of a request on one worker.
type Attempt struct {
	Ref            slotmap.Ref // names the attempt in Workers.Cancel, Dispatcher.MaySend and Dispatcher.AttemptEnded
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
	Body                []byte              // of a served attempt; valid only during the call of AttemptEnded
	InFlightForFunction int                 // requests for the function in flight at the worker, or InFlightUnknown
	Report              *routing.LoadReport // nil if the worker sent none
}

// Workers is the transport to the workers. It calls Dispatcher.AttemptEnded exactly once for each attempt that was sent
// and not canceled, and Dispatcher.ProbeEnded once for each Probe.
type Workers interface {
	// UpdateEndpoints applies an endpoint list to the transport.
	UpdateEndpoints(list EndpointList)
	// Send starts an attempt. One that waits for a connection is written only if Dispatcher.MaySend still allows it.
	Send(attempt Attempt)
	// Cancel abandons an attempt and reports whether any of it had been written.
	Cancel(ref slotmap.Ref) (written bool)
	// Probe starts a health check of a worker.
	Probe(worker string)
}

// EndpointList is a complete list of workers, or the changes to one.
type EndpointList struct {
	Full      bool // workers that are not in Endpoints are gone
	Endpoints []Endpoint
}

// Endpoint is a worker and its address.
type Endpoint struct {
	routing.Worker
	Addr     string
	Model    string
	ZoneName string
}
