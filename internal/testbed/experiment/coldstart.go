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

// defaultSkew is the load skew between schedulers if none is configured. See workload.Load.Skew.
const defaultSkew = 0.1

// ColdStart measures the cold start of a fleet, or another fault that makes all its schedulers poll at the same time.
type ColdStart struct {
	Program           string
	Baseline          string // path of an earlier build to run the same scenario with first; "" for none
	Env               []string
	Dir               string // parent of the working directory; the system's temporary directory if empty
	Instances         int
	ClaimedSchedulers int // number of schedulers in their settings; 0 means Instances
	Workers           int
	Scenario          scenario.Scenario
	Seconds           float64
	Profile           string  // name of the workers' profile
	KeepState         bool    // schedulers keep their endpoint list and learned state across a restart
	Skew              float64 // load skew between schedulers; see workload.Load
	Rate              float64 // requests per second to all schedulers together
	Seed              uint64
	Progress          func(string) // called with a summary of each run
}

// Run runs the experiment with the baseline, if there is one, and then with the program.
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

// fleet prepares a fleet without starting it.
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
		SnapshotsEnabled:     e.KeepState,
	}
	if err := fleet.Prepare(e.Instances, e.Workers); err != nil {
		fleet.CloseAndRemove()
		return nil, err
	}
	return fleet, nil
}

// scenarioEnd is the outcome of a played scenario.
type scenarioEnd struct {
	lastStep time.Time // completion time of the last step
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

// allViolations returns all rule violations of a fleet. worstDelay is the largest wake-up delay of a goroutine on this
// machine. It extends the time limits.
func allViolations(fleet *process.Fleet, load workload.Result, worstDelay time.Duration) []string {
	violations := ruleViolations(fleet, load, ruleSlack+machineSlack+2*worstDelay)
	if load.MaxOverrun > maxAnswerDelay+2*worstDelay {
		violations = append(violations, fmt.Sprintf("a response came %v after the client's timeout", load.MaxOverrun.Round(time.Millisecond)))
	}
	for _, instance := range fleet.Instances {
		text := instance.Log.String()
		if strings.Contains(text, "panic:") || strings.Contains(text, "DATA RACE") {
			violations = append(violations, instance.Name+" reported a data race or a panic")
		}
	}
	return violations
}
