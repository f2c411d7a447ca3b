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
	// soakStream is the second half of the seed of what a soak draws beside its scenario.
	soakStream = 13
	// crowdEvery and shortEvery say which seeds have a crowd of clients, and clients with short deadlines.
	crowdEvery = 5
	shortEvery = 3
	// crowdFactor is how many times the rate a crowd offers.
	crowdFactor = 6
	// minShortTimeout and maxShortTimeout bound the time that clients with short deadlines give a request.
	minShortTimeout = 150 * time.Millisecond
	maxShortTimeout = 900 * time.Millisecond
)

// Soak plays faults that overlap, drawn from a seed, on a small fleet of real processes and checks that no rule is broken.
// Planned restarts are followed by the platform's kill, and clients go on over open connections until then.
type Soak struct {
	Program   string
	Env       []string
	Dir       string // in which a directory for files is created; the system's for temporary files if not set
	Instances int
	Workers   int
	Seconds   float64
	Rate      float64 // requests a second, of all
	Seed      uint64
}

// sentRequests notes when clients sent requests, and how long they wait.
type sentRequests struct {
	mu     sync.Mutex
	giveUp map[string]time.Time // by ID: when the client no longer waits
}

// note notes a request that is sent now.
func (s *sentRequests) note(request *fastcgi.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveUp[request.ID] = time.Now().Add(request.Budget)
}

// Run plays the seed.
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
	sent := &sentRequests{giveUp: map[string]time.Time{}}
	load := fleet.Offer(ctx, e.load(sent))
	if err := <-played; err != nil {
		return result, err
	}
	worst := <-wakeDelay
	result.Count(load, worst)
	result.RulesBroken = append(allViolations(fleet, load, worst), soakViolations(fleet, sent, worst)...)
	sort.Strings(result.RulesBroken)
	return result, nil
}

// load is what clients send: a crowd with some seeds, and requests with short deadlines with others.
func (e Soak) load(sent *sentRequests) workload.Load {
	rng := rand.New(rand.NewPCG(e.Seed, soakStream))
	load := workload.Load{
		Rate:      e.Rate,
		Functions: workload.FunctionsFor(e.Workers),
		Skew:      defaultSkew,
		Seed:      e.Seed,
	}
	if e.Seed%crowdEvery == 0 {
		load.Rate *= crowdFactor
	}
	short := e.Seed%shortEvery == 0
	timeout := minShortTimeout + time.Duration(rng.Int64N(int64(maxShortTimeout-minShortTimeout)))
	load.Modify = func(request *fastcgi.Request) {
		if short {
			request.Budget = timeout
		}
		sent.note(request)
	}
	return load
}

// soakViolations returns the violations of rules that only a soak checks: schedulers that ended by themselves, or not in
// time, and times told to workers that are longer than the client waits.
func soakViolations(fleet *process.Fleet, sent *sentRequests, worst time.Duration) (violations []string) {
	for _, err := range fleet.StopErrors() {
		violations = append(violations, err.Error())
	}
	for _, instance := range fleet.Instances {
		if instance.ExitedUnexpectedly() {
			violations = append(violations, instance.Name+" ended by itself")
		}
	}
	slack := maxTimeoutExcess + machineSlack + 2*worst
	for _, worker := range fleet.Workers {
		for _, arrival := range worker.Arrivals() {
			giveUp, known := sent.giveUp[arrival.ID]
			if !known {
				violations = append(violations, fmt.Sprintf("%s was sent %s, which no client sent", worker.ID, arrival.ID))
				continue
			}
			if excess := arrival.Timeout - giveUp.Sub(sentToWorkerAt(fleet, worker, arrival)); excess > slack {
				violations = append(violations, fmt.Sprintf("%s was told to work on %s for %v longer than its client waits",
					worker.ID, arrival.ID, excess.Round(time.Millisecond)))
			}
		}
	}
	return violations
}

// sentToWorkerAt returns when a request was sent that came to a worker, perhaps over a slow link.
func sentToWorkerAt(fleet *process.Fleet, worker *standin.Worker, arrival standin.Arrival) time.Time {
	if link := fleet.LinkTo(arrival.Scheduler, worker.ID); link != nil {
		return link.SentAt(arrival.At)
	}
	return arrival.At
}
