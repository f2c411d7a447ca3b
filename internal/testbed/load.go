package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/testbed/wait"
)

// requestTimeout is the time that a client gives a request.
const requestTimeout = 2 * time.Second

// Load is what a front offers to the schedulers.
type Load struct {
	Rate      float64 // requests a second, of all instances together
	Functions int     // how many are called
	Skew      float64 // how uneven the instances' fractions are: instance i has a weight of 1 / (1 + Skew x i); 0 means equal ones
	Seed      uint64
	Modify    func(*fastcgi.Request) // changes each request before it is sent; may be nil
}

// LoadResult counts what became of requests.
type LoadResult struct {
	Offered       int
	Served        int
	Rejected      int
	Failed        int
	Lost          int             // without any response
	NotAccepted   int             // no connection was established, or the instance was out of rotation; not Offered
	Interrupted   int             // without a response, of a process that was killed or stopped meanwhile
	ResponseTimes []time.Duration // of those that were answered
	MaxOverrun    time.Duration   // the most by which a response came after requestTimeout
}

// ServedShare returns the fraction of the requests that were served.
func (r LoadResult) ServedShare() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Served) / float64(r.Offered)
}

// count counts the end of a request. interrupted reports that the process was killed or stopped meanwhile.
func (r *LoadResult) count(reply fastcgi.Reply, err error, took time.Duration, interrupted bool) {
	if errors.Is(err, errNotAccepted) {
		r.NotAccepted++
		return
	}
	r.Offered++
	if err == nil {
		r.ResponseTimes = append(r.ResponseTimes, took)
		if !interrupted {
			r.MaxOverrun = max(r.MaxOverrun, took-requestTimeout)
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

// classes are the request classes and their fractions of the load, as in docs: two in five read, as many file hours, the
// rest certify.
var classes = []struct {
	name     string
	fraction float64
}{
	{"consulta", 0.39},
	{"registro-horas", 0.35},
	{"certificado", 0.26},
}

// pickClass returns the number of the class that a draw from 0 to 1 falls on.
func pickClass(draw float64) int {
	for i, class := range classes {
		if draw < class.fraction {
			return i
		}
		draw -= class.fraction
	}
	return len(classes) - 1
}

// newFunctionDistribution draws functions by Zipf's law: few of them are called often.
func newFunctionDistribution(rng *rand.Rand, functions int) *rand.Zipf {
	const (
		exponent = 1.3
		offset   = 4
	)
	return rand.NewZipf(rng, exponent, offset, uint64(functions-1))
}

// functionName draws the name of a function.
func functionName(zipf *rand.Zipf) string { return fmt.Sprintf("%016x", zipf.Uint64()+1) }

// weight returns how much of the load an instance gets, relative to the first one's 1.
func (l Load) weight(instance int) float64 { return 1 / (1 + l.Skew*float64(instance)) }

// Offer offers load to the instances until the context ends, and counts what became of it.
func (f *Fleet) Offer(ctx context.Context, load Load) LoadResult {
	total := 0.0
	for i := range f.Instances {
		total += load.weight(i)
	}
	var mu sync.Mutex // guards result
	var result LoadResult
	var wg sync.WaitGroup
	for i, instance := range f.Instances {
		front := newFront(f, instance, func(reply fastcgi.Reply, err error, took time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			result.count(reply, err, took, instance.disruptedSince(time.Now().Add(-took-closeRaceWindow)))
		})
		clients := instanceClients{load: load, instance: instance, index: i, rate: load.Rate * load.weight(i) / total}
		wg.Go(func() {
			if instance.waitHealthy(ctx) != nil {
				return
			}
			defer front.close()
			clients.run(ctx, front)
		})
	}
	wg.Wait()
	return result
}

// instanceClients is the clients that send their requests to one instance.
type instanceClients struct {
	load     Load
	instance *Instance
	index    int     // the instance's
	rate     float64 // requests a second
}

// run sends requests until the context ends.
func (c instanceClients) run(ctx context.Context, front *front) {
	rng := rand.New(rand.NewPCG(c.load.Seed, uint64(c.index)))
	zipf := newFunctionDistribution(rng, c.load.Functions)
	start := time.Now()
	due := 0.0 // seconds from the start
	for {
		due += rng.ExpFloat64() / c.rate
		if !wait.Sleep(ctx, time.Until(start.Add(time.Duration(due*float64(time.Second))))) {
			return
		}
		front.send(ctx, c.request(rng, zipf))
	}
}

// request draws a request.
func (c instanceClients) request(rng *rand.Rand, zipf *rand.Zipf) fastcgi.Request {
	const idBits = 48
	class := classes[pickClass(rng.Float64())].name
	request := fastcgi.Request{
		Path:           "/rpc/" + class,
		ID:             fmt.Sprintf("%04x%012x", c.index, rng.Uint64()&(1<<idBits-1)),
		Function:       functionName(zipf),
		IdempotencyKey: fmt.Sprintf("%04x%016x", c.index, rng.Uint64()),
		Budget:         requestTimeout,
		Spec:           "memory_mb:512;lanes:4",
		Body:           []byte(c.instance.Name + " asks"),
	}
	if c.load.Modify != nil {
		c.load.Modify(&request)
	}
	return request
}
