package testbed

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"calicohill/internal/testbed/wait"
	"calicohill/internal/testbed/workload"
)

// ColdStartScenarios has the scenarios of 'testbed coldstart' by name.
var ColdStartScenarios = map[string]string{
	"well":    "0s known full\n0s start 1\n8s tell",
	"empty":   "0s known empty\n0s start 1\n8s tell",
	"old":     "0s drain 0.2\n0s known old\n0s start 1\n8s tell",
	"refused": "0s known full\n0s list refuse\n0s start 1\n10s list well",
	"busy":    "0s known full\n0s list busy\n0s start 1\n10s list well",
	"crowded": "0s drain 0.2\n0s known old\n0s list crowded 0.1\n0s start 1",
	"silent":  "0s known full\n0s start 1\n5s list silent\n19s list well",
	"broken":  "0s known full\n0s start 1\n6s break\n12s break",
	"torn":    "0s known full\n0s start 1\n5s list torn\n5s drain 0.1\n9s list well",
	"roll":    "0s known full\n0s start 1\n5s replace 0.2\n5s roll 0.1 1s\n16s tell",
	"herd":    "0s known full\n0s start 1\n6s kill 0.7\n7s start 1",
	"mute":    "0s known full\n0s start 1\n6s workers mute 0.2\n6s kill 0.7\n7s start 1\n12s workers sound 0.2",
	"cut":     "0s known full\n0s start 1\n6s link cut 1 0.2\n6s kill 0.7\n7s start 1\n12s link whole 1 0.2",
	"cold":    "0s boot 1\n0s known full\n0s start 1",
	"zone":    "0s known full\n0s start 1\n6s link cut 0.3 1\n9s link whole 0.3 1",
	"reborn":  "0s known full\n0s start 1\n6s boot 0.4\n6s kill 0.4\n7s start 1",
	"jammed":  "0s known full\n0s start 1\n6s boot 0.2\n6s jam 4s\n6s kill 0.7\n7s start 1",
	"split":   "0s known full\n0s start 1\n4s talk lossy 0.3\n6s talk cut 0.3\n6s workers mute 0.2\n12s talk whole 1\n14s workers sound 0.2",
	"stopped": "0s known full\n0s start 1\n6s stop 0.5\n11s cont 0.5",
	"slow":    "0s known full\n0s start 1\n5s workers stalls 0.3\n5s list crowded 0.2\n6s drain 0.1\n12s workers sound 0.3",
}

// defaultSkew is how uneven the schedulers' fractions of the load are if no skew is given.
const defaultSkew = 0.1

// ColdStartExperiment measures a fleet's cold start, or another fault that makes all its schedulers poll at once.
type ColdStartExperiment struct {
	Program           string
	Baseline          string // an earlier build that plays the same first; "" for none
	Env               []string
	Dir               string // in which a directory for files is created; the system's for temporary files if not set
	Instances         int
	ClaimedSchedulers int // how many schedulers there are by their settings; 0 for as many as there are
	Workers           int
	Scenario          Scenario
	Seconds           float64
	Profile           string  // the workers' profile, by name
	Keep              bool    // schedulers keep their list and what they learned over a restart
	Skew              float64 // of the load; see Load
	Rate              float64 // requests a second, of all
	Seed              uint64
	Progress          func(string) // called with a summary of each run
}

// Run runs the experiment with the program, before that with the baseline if there is one.
func (e ColdStartExperiment) Run(ctx context.Context) (ColdStartResult, error) {
	var result ColdStartResult
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
func (e ColdStartExperiment) fleet() (*Fleet, error) {
	dir, err := os.MkdirTemp(e.Dir, "calicohill-testbed-")
	if err != nil {
		return nil, err
	}
	gossips := e.Scenario.has("talk")
	fleet := &Fleet{
		Program:           e.Program,
		Env:               e.Env,
		Dir:               dir,
		ClaimedSchedulers: e.ClaimedSchedulers,
		LinkedWorkers:     e.Scenario.has("link"),
		Sharing:           gossips,
		GossipThroughHub:  gossips,
		Profile:           e.Profile,
		KeepState:         e.Keep,
	}
	if err := fleet.Prepare(e.Instances, e.Workers); err != nil {
		fleet.closeAndRemove()
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
func (e ColdStartExperiment) runProgram(ctx context.Context, name string) (ColdStartMetrics, error) {
	var metrics ColdStartMetrics
	fleet, err := e.fleet()
	if err != nil {
		return metrics, err
	}
	defer fleet.closeAndRemove()
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(time.Duration(e.Seconds*float64(time.Second))))
	defer cancel()
	scenario := make(chan scenarioEnd, 1)
	go func() {
		lastStep, err := fleet.play(ctx, e.Scenario, began, e.Seed)
		scenario <- scenarioEnd{lastStep, err}
	}()
	wakeDelay := fleet.measureWakeDelay(ctx)
	load := fleet.Offer(ctx, workload.Load{
		Rate:      e.Rate,
		Functions: workload.FunctionsFor(e.Workers),
		Skew:      cmp.Or(e.Skew, defaultSkew),
		Seed:      e.Seed,
	})
	end := <-scenario
	if end.err != nil {
		return metrics, end.err
	}
	metrics.collect(fleet, began, end.lastStep)
	metrics.setLoad(load)
	worstDelay := <-wakeDelay
	metrics.Late = float64(worstDelay.Milliseconds())
	metrics.RulesBroken = fleet.allViolations(load, worstDelay)
	e.Progress(fmt.Sprintf("%-9s %s", name, metrics.summary()))
	return metrics, nil
}

// allViolations returns every violation of a rule. worstDelay is by how much the machine woke goroutines late at the worst;
// time limits are longer by it.
func (f *Fleet) allViolations(load workload.Result, worstDelay time.Duration) []string {
	violations := f.ruleViolations(load, ruleSlack+machineSlack+2*worstDelay)
	if load.MaxOverrun > maxAnswerDelay+2*worstDelay {
		violations = append(violations, fmt.Sprintf("an answer came %v after its time", load.MaxOverrun.Round(time.Millisecond)))
	}
	for _, instance := range f.Instances {
		text := instance.Log.String()
		if strings.Contains(text, "panic:") || strings.Contains(text, "DATA RACE") {
			violations = append(violations, instance.Name+" raced or panicked")
		}
	}
	return violations
}

// measureWakeDelay measures by how much this machine wakes sleeping goroutines late, until the context ends. Schedulers are
// woken as late.
func (f *Fleet) measureWakeDelay(ctx context.Context) <-chan time.Duration {
	const interval = 5 * time.Millisecond
	measured := make(chan time.Duration, 1)
	go func() {
		worst := time.Duration(0)
		for at := time.Now(); wait.Sleep(ctx, interval); at = time.Now() {
			worst = max(worst, time.Since(at)-interval)
			f.wakeDelay.Store(int64(worst))
		}
		measured <- worst
	}()
	return measured
}
