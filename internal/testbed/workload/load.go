// Package workload defines the client load on a fleet (Load, Classes and the distribution of functions) and counts its
// outcomes (Result).
package workload

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"calicohill/internal/frontend/fastcgi"
)

// RequestTimeout is the client's timeout of a request.
const RequestTimeout = 2 * time.Second

// Load is the load that a front offers to the schedulers.
type Load struct {
	Rate      float64 // requests per second to all instances together
	Functions int     // number of distinct functions
	Skew      float64 // load skew: instance i has a weight of 1 / (1 + Skew x i); 0 distributes the load evenly
	Seed      uint64
	Modify    func(*fastcgi.Request) // changes each request before it is sent; may be nil
}

// Result counts the outcomes of requests.
type Result struct {
	Offered       int
	Served        int
	Rejected      int
	Failed        int
	Lost          int             // no response, although the process kept running
	NotAccepted   int             // no connection, or the instance was out of rotation; not included in Offered
	Interrupted   int             // no response, because the process was killed or stopped
	ResponseTimes []time.Duration // of requests with a response
	MaxOverrun    time.Duration   // longest delay of a response beyond RequestTimeout
}

// ErrNotAccepted means that no scheduler accepted the request: no connection was established, or the instance was out of
// rotation.
var ErrNotAccepted = errors.New("not accepted")

// ServedFraction returns the fraction of the requests that were served.
func (r Result) ServedFraction() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Served) / float64(r.Offered)
}

// Count counts the outcome of a request. interrupted means that the process was killed or stopped during the request.
func (r *Result) Count(reply fastcgi.Reply, err error, took time.Duration, interrupted bool) {
	if errors.Is(err, ErrNotAccepted) {
		r.NotAccepted++
		return
	}
	r.Offered++
	if err == nil {
		r.ResponseTimes = append(r.ResponseTimes, took)
		if !interrupted {
			r.MaxOverrun = max(r.MaxOverrun, took-RequestTimeout)
		}
	}
	switch {
	case err != nil && interrupted:
		r.Interrupted++
	case err != nil:
		r.Lost++
	case reply.Outcome() == fastcgi.OutcomeServed:
		r.Served++
	case reply.Outcome() == fastcgi.OutcomeRejected:
		r.Rejected++
	default:
		r.Failed++
	}
}

// Class is a request class and its fraction of the load.
type Class struct {
	Name     string
	Fraction float64
}

// Classes are the request classes with their fractions of the load, as in docs.
var Classes = []Class{
	{"consulta", 0.39},
	{"registro-horas", 0.35},
	{"certificado", 0.26},
}

// PickClass returns the index in Classes for a random number from 0 to 1.
func PickClass(draw float64) int {
	for i, class := range Classes {
		if draw < class.Fraction {
			return i
		}
		draw -= class.Fraction
	}
	return len(Classes) - 1
}

// NewFunctionDistribution returns a Zipf distribution of functions, in which few functions get most calls.
func NewFunctionDistribution(rng *rand.Rand, functions int) *rand.Zipf {
	const (
		exponent = 1.3
		offset   = 4
	)
	return rand.NewZipf(rng, exponent, offset, uint64(functions-1))
}

// FunctionName draws a function from the distribution and returns its name.
func FunctionName(zipf *rand.Zipf) string { return fmt.Sprintf("%016x", zipf.Uint64()+1) }

// FunctionsFor returns the number of distinct functions that clients call in a fleet with the given number of workers.
func FunctionsFor(workers int) int { return 3 * workers / 2 }

// Weight returns the load of an instance relative to the load of instance 0.
func (l Load) Weight(instance int) float64 { return 1 / (1 + l.Skew*float64(instance)) }
