package main

import (
	"os"
	"strings"
	"sync"
	"testing"

	"calicohill/internal/testbed/experiment"
	"calicohill/internal/testbed/scenario"
)

// startupScenario is a scenario of the testbed with its length and the maximum number of simultaneous polls.
type startupScenario struct {
	name    string
	seconds float64
	peak    int // maximum number of polls within 100 ms; 0 for no check, where a start or an event causes simultaneous polls
	script  string
}

var startupScenarios = []startupScenario{
	// In each of the first four scenarios, 23 or 24 of 24 polls arrived within 100 ms before polls were spread out.
	{"refused", 9, 12, "0s known full\n0s list refuse\n0s start 1\n5s list well"},
	{"silent", 12, 12, "0s known full\n0s start 1\n3s list silent\n9s list well"},
	{"broken", 9, 12, "0s known full\n0s start 1\n3s break\n6s break"},
	{"in step after an event", 9, 14, "0s known full\n0s start 1\n3s tell"},
	{"behind while workers drain", 16, 12, "0s known full\n0s start 1\n3s list crowded 0.3\n4s drain 0.2\n12s list well"},
	{"release during a stall", 14, 0, "0s known full\n0s start 1\n3s list silent\n4s replace 0.2\n4s roll 0.25 1s\n9s list well"},
	{"killed while workers are cut", 18, 0, "0s known full\n0s start 1\n3s link cut 1 0.2\n3s kill 0.7\n4s start 1\n8s link whole 1 0.2"},
	{"half cut from some workers", 18, 0, "0s known full\n0s start 1\n3s link cut-back 0.5 0.3\n5s link cut-there 0.5 0.3\n6s drain 0.1\n8s link whole 0.5 0.3"},
	{"reset, slow and far ways", 18, 0, "0s known full\n0s start 1\n3s link far 1 0.3\n4s link reset 1 0.5\n5s link slow 0.5 0.5\n6s link reset 1 1\n8s link whole 1 1"},
	{"half stopped", 13, 0, "0s known full\n0s start 1\n3s stop 0.5\n4s drain 0.1\n7s cont 0.5"},
	{"slow list, slow workers", 14, 0, "0s known full\n0s start 1\n3s workers stalls 0.3\n3s list crowded 0.3\n4s drain 0.1\n9s list well\n9s workers sound 0.3"},
	{"ended at their start", 9, 0, "0s known full\n0s list silent\n0s start 1\n1s term 0.5\n3s list well\n4s start 1"},
	// The schedulers gossip, and a third of them is partitioned from the others while workers become unresponsive.
	{"fallen in two", 13, 0, "0s known full\n0s start 1\n3s talk lossy 0.3\n4s talk cut 0.3\n4s workers mute 0.2\n5s drain 0.1\n8s talk whole 1\n9s workers sound 0.2"},
	// Workers of low capacity that crash if they are overloaded while warming up. Guards against a fault in which no
	// requests were sent to them.
	{"all cold at once", 12, 0, "0s boot 1\n0s known full\n0s start 1"},
	// The same, together with warm workers whose throughput all schedulers have measured. The load that the schedulers
	// send to a warming worker adds up.
	{"most boot cold", 18, 0, "0s known full\n0s start 1\n6s boot 0.7"},
	{"replaced by cold ones", 18, 0, "0s known full\n0s start 1\n6s replace 0.7 cold"},
	{"most boot cold during a release", 18, 0, "0s known full\n0s start 1\n5s boot 0.7\n5s roll 0.25 1s"},
	{"half killed while most boot cold", 18, 0, "0s known full\n0s start 1\n6s boot 0.7\n6s kill 0.5\n7s start 1"},
}

// maxConcurrentScenarios is the maximum number of concurrent scenarios. Each one starts 24 processes at once. With
// eight scenarios (192 processes) under the race detector, the testbed's clients got no processor time for seconds.
// They sent late, on connections that had been closed meanwhile, and counted these requests as unanswered.
const maxConcurrentScenarios = 3

// TestColdStarts runs 24 scheduler processes, configured as part of a fleet of 300, with faults of the list service and
// of the workers. It guards against thundering herds at the list service and against violations of the platform's
// rules.
func TestColdStarts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 24 processes a scenario")
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	running := make(chan struct{}, maxConcurrentScenarios)
	var alone sync.RWMutex // held for writing by a scenario that runs alone
	for _, tt := range startupScenarios {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if tt.offersOverload() {
				alone.Lock()
				defer alone.Unlock()
			} else {
				alone.RLock()
				defer alone.RUnlock()
				running <- struct{}{}
				defer func() { <-running }()
			}
			tt.run(t, self)
		})
	}
}

// warmsUp reports whether the scenario contains workers that are warming up.
func (tt startupScenario) warmsUp() bool {
	return strings.Contains(tt.script, "boot") || strings.Contains(tt.script, "cold")
}

// offersOverload reports whether the offered load is far above the capacity of the workers. Such a scenario runs alone:
// if processes have to wait for a processor, requests that were sent apart arrive at a warming worker at the same time.
func (tt startupScenario) offersOverload() bool {
	return tt.warmsUp() && !strings.HasPrefix(tt.script, "0s boot")
}

// run runs the scenario with the given program.
func (tt startupScenario) run(t *testing.T, program string) {
	t.Helper()
	script, err := scenario.Parse(tt.script)
	if err != nil {
		t.Fatal(err)
	}
	coldStart := experiment.ColdStart{
		Program: program, Env: programVariables(), Dir: t.TempDir(), Instances: 24, ClaimedSchedulers: 300,
		Workers: 10, Scenario: script, Seconds: tt.seconds, Rate: 60, Seed: 1, Progress: func(s string) { t.Log(s) },
	}
	minServed := 0.0
	switch {
	case tt.offersOverload(): // warm workers could serve a quarter of the offered load; each gets its slow-start budget
		coldStart.Profile, coldStart.ClaimedSchedulers, coldStart.Workers, coldStart.Rate, minServed = "small", 24, 3, 300, 0.08
	case tt.warmsUp():
		coldStart.Profile, coldStart.ClaimedSchedulers, minServed = "small", 24, 0.3
	}
	result, err := coldStart.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, brokenRule := range result.Program.RulesBroken {
		t.Error(brokenRule)
	}
	if result.Program.Served < minServed {
		t.Errorf("a fraction of %.2f served by workers that are warming up, want at least %.2f", result.Program.Served, minServed)
	}
	t.Logf("peak load of a warming worker: %.2f of the load at which it crashes", result.Program.PeakWarmUpLoadFraction)
	if result.Program.AllListed < 0 {
		t.Error("some schedulers did not receive the list again")
	}
	// Delayed wake-ups on a busy machine may make polls coincide that were spread out, so that they raise the limit.
	if maxPolls := tt.peak * int(100+2*result.Program.Late) / 100; tt.peak > 0 && result.Program.PollsPeak > maxPolls {
		t.Errorf("%d of 24 polled within 100 ms", result.Program.PollsPeak)
	}
}
