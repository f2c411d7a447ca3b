package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"time"

	"calicohill/internal/frontend/fastcgi"
	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/scenario"
	"calicohill/internal/testbed/standin"
	"calicohill/internal/testbed/workload"
)

const (
	// soakStream is the second half of the random seed of a soak's load. It makes the draws independent of the scenario's.
	soakStream = 13
	// Every surgeSeedInterval-th seed has a load surge, and every shortDeadlineSeedInterval-th one has clients with short
	// deadlines.
	surgeSeedInterval         = 5
	shortDeadlineSeedInterval = 3
	// surgeFactor multiplies the request rate in a load surge.
	surgeFactor = 6
	// minShortTimeout and maxShortTimeout bound the request timeout of clients with short deadlines.
	minShortTimeout = 150 * time.Millisecond
	maxShortTimeout = 900 * time.Millisecond
)

// Soak plays overlapping random faults on a small fleet of real processes and checks that no rule is broken. In a planned
// restart the platform kills a process that is still running at its deadline. Until then clients continue to use open
// connections.
type Soak struct {
	Program   string
	Env       []string
	Dir       string // parent of the working directory; the system's temporary directory if empty
	Instances int
	Workers   int
	Seconds   float64
	Rate      float64 // requests per second to all schedulers together
	Seed      uint64
}

// requestDeadlines records the deadlines of the requests that clients sent.
type requestDeadlines struct {
	mu        sync.Mutex
	byRequest map[string]time.Time // by request ID
}

// record stores the deadline of a request that is sent now.
func (d *requestDeadlines) record(request *fastcgi.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byRequest[request.ID] = time.Now().Add(request.Budget)
}

// Run plays the scenario of the seed.
func (e Soak) Run(ctx context.Context) (report.SoakResult, error) {
	script := scenario.Random(e.Seed, time.Duration(e.Seconds*float64(time.Second)))
	result := report.SoakResult{Seed: e.Seed, Script: script.String()}
	dir, err := os.MkdirTemp(e.Dir, "calicohill-soak-")
	if err != nil {
		return result, err
	}
	fleet := &process.Fleet{Program: e.Program, Env: e.Env, Dir: dir, WorkerLinks: true, KillAtDeadline: true}
	if err := fleet.Prepare(e.Instances, e.Workers); err != nil {
		fleet.CloseAndRemove()
		return result, err
	}
	defer fleet.CloseAndRemove()
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(time.Duration(e.Seconds*float64(time.Second))))
	defer cancel()
	played := make(chan error, 1)
	go func() {
		_, err := scenario.Play(ctx, fleet, script, began, e.Seed)
		played <- err
	}()
	wakeDelay := fleet.MeasureWakeDelay(ctx)
	sent := &requestDeadlines{byRequest: map[string]time.Time{}}
	load := fleet.Offer(ctx, e.load(sent))
	if err := <-played; err != nil {
		return result, err
	}
	worstDelay := <-wakeDelay
	result.Count(load, worstDelay)
	result.RulesBroken = append(allViolations(fleet, load, worstDelay), soakViolations(fleet, sent, worstDelay)...)
	sort.Strings(result.RulesBroken)
	return result, nil
}

// load returns the client load. Some seeds have a load surge, others requests with short deadlines.
func (e Soak) load(sent *requestDeadlines) workload.Load {
	rng := rand.New(rand.NewPCG(e.Seed, soakStream))
	load := workload.Load{
		Rate:      e.Rate,
		Functions: workload.FunctionsFor(e.Workers),
		Skew:      defaultSkew,
		Seed:      e.Seed,
	}
	if e.Seed%surgeSeedInterval == 0 {
		load.Rate *= surgeFactor
	}
	short := e.Seed%shortDeadlineSeedInterval == 0
	timeout := minShortTimeout + time.Duration(rng.Int64N(int64(maxShortTimeout-minShortTimeout)))
	load.Modify = func(request *fastcgi.Request) {
		if short {
			request.Budget = timeout
		}
		sent.record(request)
	}
	return load
}

// soakViolations returns the violations of rules that only a soak checks: schedulers that exited unexpectedly or not in
// time, and requests sent to workers with a timeout that exceeds the client's.
func soakViolations(fleet *process.Fleet, sent *requestDeadlines, worstDelay time.Duration) (violations []string) {
	for _, err := range fleet.StopErrors() {
		violations = append(violations, err.Error())
	}
	for _, instance := range fleet.Instances {
		if instance.ExitedUnexpectedly() {
			violations = append(violations, instance.Name+" exited unexpectedly")
		}
	}
	slack := maxTimeoutExcess + machineSlack + 2*worstDelay
	for _, worker := range fleet.Workers {
		for _, arrival := range worker.Arrivals() {
			deadline, known := sent.byRequest[arrival.ID]
			if !known {
				violations = append(violations, fmt.Sprintf("%s received request %s, which no client sent", worker.ID, arrival.ID))
				continue
			}
			if excess := arrival.Timeout - deadline.Sub(sentToWorkerAt(fleet, worker, arrival)); excess > slack {
				violations = append(violations, fmt.Sprintf("%s received request %s with a timeout %v longer than its client's",
					worker.ID, arrival.ID, excess.Round(time.Millisecond)))
			}
		}
	}
	return violations
}

// sentToWorkerAt returns when the request of an arrival was sent, which is earlier than its arrival over a slow link.
func sentToWorkerAt(fleet *process.Fleet, worker *standin.Worker, arrival standin.Arrival) time.Time {
	if link := fleet.LinkTo(arrival.Scheduler, worker.ID); link != nil {
		return link.SentAt(arrival.At)
	}
	return arrival.At
}
