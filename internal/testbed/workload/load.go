// Package workload says what clients send to a fleet (Load, Classes, functions by Zipf's law) and counts what became of it
// (Result).
package workload

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"calicohill/internal/frontend/fastcgi"
)

// RequestTimeout is the time that a client gives a request.
const RequestTimeout = 2 * time.Second

// Load is what a front offers to the schedulers.
type Load struct {
	Rate      float64 // requests a second, of all instances together
	Functions int     // how many are called
	Skew      float64 // how uneven the instances' fractions are: instance i has a weight of 1 / (1 + Skew x i); 0 means equal ones
	Seed      uint64
	Modify    func(*fastcgi.Request) // changes each request before it is sent; may be nil
}

// Result counts what became of requests.
type Result struct {
	Offered       int
	Served        int
	Rejected      int
	Failed        int
	Lost          int             // without any response
	NotAccepted   int             // no connection was established, or the instance was out of rotation; not Offered
	Interrupted   int             // without a response, of a process that was killed or stopped meanwhile
	ResponseTimes []time.Duration // of those that were answered
	MaxOverrun    time.Duration   // the most by which a response came after RequestTimeout
}

// ErrNotAccepted is the error of a request that no scheduler accepted: no connection was established, or the instance was
// out of rotation.
var ErrNotAccepted = errors.New("not accepted")

// ServedFraction returns the fraction of the requests that were served.
func (r Result) ServedFraction() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Served) / float64(r.Offered)
}

// Count counts the end of a request. interrupted reports that the process was killed or stopped meanwhile.
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

// Classes are the request classes, as in docs: two in five read, as many file hours, the rest certify.
var Classes = []Class{
	{"consulta", 0.39},
	{"registro-horas", 0.35},
	{"certificado", 0.26},
}

// PickClass returns the number of the class that a draw from 0 to 1 falls on.
func PickClass(draw float64) int {
	for i, class := range Classes {
		if draw < class.Fraction {
			return i
		}
		draw -= class.Fraction
	}
	return len(Classes) - 1
}

// NewFunctionDistribution draws functions by Zipf's law: few of them are called often.
func NewFunctionDistribution(rng *rand.Rand, functions int) *rand.Zipf {
	const (
		exponent = 1.3
		offset   = 4
	)
	return rand.NewZipf(rng, exponent, offset, uint64(functions-1))
}

// FunctionName draws the name of a function.
func FunctionName(zipf *rand.Zipf) string { return fmt.Sprintf("%016x", zipf.Uint64()+1) }

// FunctionsFor returns how many functions the clients of so many workers call.
func FunctionsFor(workers int) int { return 3 * workers / 2 }

// Weight returns how much of the load an instance gets, relative to the first one's 1.
func (l Load) Weight(instance int) float64 { return 1 / (1 + l.Skew*float64(instance)) }
