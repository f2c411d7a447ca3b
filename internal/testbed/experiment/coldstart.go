package experiment

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/scenario"
	"calicohill/internal/testbed/workload"
)

// defaultSkew is how uneven the schedulers' fractions of the load are if no skew is given.
const defaultSkew = 0.1

// ColdStart measures a fleet's cold start, or another fault that makes all its schedulers poll at once.
type ColdStart struct {
	Program           string
	Baseline          string // an earlier build that plays the same first; "" for none
	Env               []string
	Dir               string // in which a directory for files is created; the system's for temporary files if not set
	Instances         int
	ClaimedSchedulers int // how many schedulers there are by their settings; 0 for as many as there are
	Workers           int
	Scenario          scenario.Scenario
	Seconds           float64
	Profile           string  // the workers' profile, by name
	Keep              bool    // schedulers keep their list and what they learned over a restart
	Skew              float64 // of the load; see Load
	Rate              float64 // requests a second, of all
	Seed              uint64
	Progress          func(string) // called with a summary of each run
}

// Run runs the experiment with the program, before that with the baseline if there is one.
func (e ColdStart) Run(ctx context.Context) (report.ColdStartResult, error) {
	var result report.ColdStartResult
	if e.Baseline != "" {
		earlier := e
		earlier.Program = e.Baseline
		metrics, err := earlier.runProgram(ctx, "baseline")
		if err != nil {
			return result, err
		}
		result.Baseline = &metrics
	}
	var err error
	result.Program, err = e.runProgram(ctx, "program")
	return result, err
}

// fleet prepares a fleet that is not started yet.
func (e ColdStart) fleet() (*process.Fleet, error) {
	dir, err := os.MkdirTemp(e.Dir, "calicohill-testbed-")
	if err != nil {
		return nil, err
	}
	gossips := e.Scenario.ChangesGossip()
	fleet := &process.Fleet{
		Program:              e.Program,
		Env:                  e.Env,
		Dir:                  dir,
		ConfiguredSchedulers: e.ClaimedSchedulers,
		WorkerLinks:          e.Scenario.ChangesLinks(),
		GossipEnabled:        gossips,
		GossipThroughHub:     gossips,
		Profile:              e.Profile,
		SnapshotsEnabled:     e.Keep,
	}
	if err := fleet.Prepare(e.Instances, e.Workers); err != nil {
		fleet.CloseAndRemove()
		return nil, err
	}
	return fleet, nil
}

// scenarioEnd is how a scenario ended.
type scenarioEnd struct {
	lastStep time.Time // when its last step had been executed
	err      error
}

// runProgram runs the experiment with one build.
func (e ColdStart) runProgram(ctx context.Context, name string) (report.ColdStartMetrics, error) {
	var metrics report.ColdStartMetrics
	fleet, err := e.fleet()
	if err != nil {
		return metrics, err
	}
	defer fleet.CloseAndRemove()
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(time.Duration(e.Seconds*float64(time.Second))))
	defer cancel()
	played := make(chan scenarioEnd, 1)
	go func() {
		lastStep, err := scenario.Play(ctx, fleet, e.Scenario, began, e.Seed)
		played <- scenarioEnd{lastStep, err}
	}()
	wakeDelay := fleet.MeasureWakeDelay(ctx)
	load := fleet.Offer(ctx, workload.Load{
		Rate:      e.Rate,
		Functions: workload.FunctionsFor(e.Workers),
		Skew:      cmp.Or(e.Skew, defaultSkew),
		Seed:      e.Seed,
	})
	end := <-played
	if end.err != nil {
		return metrics, end.err
	}
	collectMetrics(&metrics, fleet, began, end.lastStep)
	setLoad(&metrics, load)
	worstDelay := <-wakeDelay
	metrics.Late = float64(worstDelay.Milliseconds())
	metrics.RulesBroken = allViolations(fleet, load, worstDelay)
	e.Progress(fmt.Sprintf("%-9s %s", name, metrics.Summary()))
	return metrics, nil
}

// allViolations returns every violation of a rule by a fleet. worstDelay is by how much the machine woke goroutines late at the worst;
// time limits are longer by it.
func allViolations(fleet *process.Fleet, load workload.Result, worstDelay time.Duration) []string {
	violations := ruleViolations(fleet, load, ruleSlack+machineSlack+2*worstDelay)
	if load.MaxOverrun > maxAnswerDelay+2*worstDelay {
		violations = append(violations, fmt.Sprintf("an answer came %v after its time", load.MaxOverrun.Round(time.Millisecond)))
	}
	for _, instance := range fleet.Instances {
		text := instance.Log.String()
		if strings.Contains(text, "panic:") || strings.Contains(text, "DATA RACE") {
			violations = append(violations, instance.Name+" raced or panicked")
		}
	}
	return violations
}
