package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// randomStream is the second half of the random seed. It makes the draws independent of those for other purposes.
	randomStream = 11
	// firstFaultAt is the time of the first fault, by which the schedulers have started.
	firstFaultAt = 2 * time.Second
	// RecoveryTime is the final phase of a random scenario, without faults. The schedulers shut down in it as in a planned
	// restart.
	RecoveryTime = 8 * time.Second
	// terminationLead is the time between the schedulers' SIGTERM and the end of the scenario.
	terminationLead = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of successive faults.
	meanFaultInterval = 1500 * time.Millisecond
	// maxOutage is the maximum outage of the list service. It exceeds the time for which schedulers may use old information
	// about workers.
	maxOutage = 16 * time.Second
	// maxSignalPause is the maximum pause between two signals in a series. A series has minSignals to
	// minSignals + signalCountRange - 1 signals.
	maxSignalPause   = 250 * time.Millisecond
	minSignals       = 2
	signalCountRange = 6
	// The minimum and maximum shares of workers and schedulers that a fault affects.
	minShare            = 0.1
	maxDepartingWorkers = 0.2
	maxFaultyWorkers    = 0.3
	maxLinkedWorkers    = 0.4
	maxPausedSchedulers = 0.5
	maxKilledSchedulers = 0.7
	minRestartBatch     = 0.25 // one scheduler of four
	// restartOdds is the reciprocal of the probability that workers restart during an outage.
	restartOdds = 3
	// maxFaultDuration is the maximum duration of other faults.
	maxFaultDuration = 4 * time.Second
)

// scenarioGenerator generates a random scenario.
type scenarioGenerator struct {
	rng   *rand.Rand
	end   time.Duration // time at which all faults have ended
	steps Scenario
}

// Random returns a scenario of overlapping faults that is determined by the seed. No fault is active in the last
// RecoveryTime.
func Random(seed uint64, duration time.Duration) Scenario {
	generator := &scenarioGenerator{rng: rand.New(rand.NewPCG(seed, randomStream)), end: max(duration-RecoveryTime, firstFaultAt)}
	generator.add(0, "known full")
	generator.add(0, "start 1")
	faults := []func(at time.Duration){
		generator.listOutage, generator.listOutage, generator.listFault, generator.drain, generator.replaceWorkers, generator.killSchedulers,
		generator.rollingRestart, generator.pauseSchedulers, generator.signals, generator.linkFault, generator.workerFault,
	}
	for at := firstFaultAt; at < generator.end; at += generator.randomDuration(2 * meanFaultInterval) {
		faults[generator.rng.IntN(len(faults))](at)
	}
	for _, step := range []string{"cont 1", "list healthy", "link healthy 1 1", "workers healthy 1", "start 1"} {
		generator.add(generator.end, "%s", step)
	}
	generator.add(generator.end+RecoveryTime-terminationLead, "term 1")
	slices.SortStableFunc(generator.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return generator.steps
}

// String returns the script of a scenario.
func (s Scenario) String() string {
	var text strings.Builder
	for _, step := range s {
		fmt.Fprintf(&text, "%v %s %s\n", step.At, step.Verb, strings.Join(step.Args, " "))
	}
	return text.String()
}

// add adds a step.
func (r *scenarioGenerator) add(at time.Duration, format string, args ...any) {
	fields := strings.Fields(fmt.Sprintf(format, args...))
	r.steps = append(r.steps, Step{At: at.Round(time.Millisecond), Verb: fields[0], Args: fields[1:]})
}

// randomDuration returns a random duration from 0 to longest.
func (r *scenarioGenerator) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(longest)))
}

// randomEnd returns a random end time of a fault that starts at the given time and lasts at most longest.
func (r *scenarioGenerator) randomEnd(at, longest time.Duration) time.Duration {
	return min(at+r.randomDuration(longest), r.end)
}

// randomShare returns a random share between minShare and most.
func (r *scenarioGenerator) randomShare(most float64) float64 {
	return minShare + r.rng.Float64()*(most-minShare)
}

// randomWord returns a random element of words.
func (r *scenarioGenerator) randomWord(words ...string) string { return words[r.rng.IntN(len(words))] }

// listOutage makes the list service unavailable. Soon after its start workers drain, and in some outages workers restart.
func (r *scenarioGenerator) listOutage(at time.Duration) {
	r.add(at, "list %s", r.randomWord("refusing", "unresponsive", "overloaded"))
	r.add(at+r.randomDuration(time.Second), "drain %.2f", r.randomShare(maxFaultyWorkers))
	if r.rng.IntN(restartOdds) == 0 {
		r.add(at+r.randomDuration(maxFaultDuration), "restart_workers %.2f", r.randomShare(maxFaultyWorkers))
	}
	r.add(r.randomEnd(at, maxOutage), "list healthy")
}

// listFault makes the list service delay or lose responses to polls.
func (r *scenarioGenerator) listFault(at time.Duration) {
	r.add(at, "%s", r.randomWord("list truncating", "list rate_limited 0.1", "disconnect", "publish"))
	r.add(r.randomEnd(at, maxFaultDuration), "list healthy")
}

func (r *scenarioGenerator) drain(at time.Duration) {
	r.add(at, "drain %.2f", r.randomShare(maxDepartingWorkers))
}

func (r *scenarioGenerator) replaceWorkers(at time.Duration) {
	r.add(at, "replace %.2f %s", r.randomShare(maxDepartingWorkers), warmingUp)
}

func (r *scenarioGenerator) killSchedulers(at time.Duration) {
	r.add(at, "kill %.2f", r.randomShare(maxKilledSchedulers))
	r.add(r.randomEnd(at, 2*time.Second), "start 1")
}

func (r *scenarioGenerator) rollingRestart(at time.Duration) {
	r.add(at, "rolling_restart %.2f 500ms", max(minRestartBatch, r.randomShare(maxPausedSchedulers)))
}

func (r *scenarioGenerator) pauseSchedulers(at time.Duration) {
	r.add(at, "stop %.2f", r.randomShare(maxPausedSchedulers))
	r.add(r.randomEnd(at, maxFaultDuration), "cont 1")
}

// signals sends a series of signals.
func (r *scenarioGenerator) signals(at time.Duration) {
	for range minSignals + r.rng.IntN(signalCountRange) {
		at = r.randomEnd(at, maxSignalPause)
		r.add(at, "%s 1", r.randomWord("hup", "usr1"))
	}
}

func (r *scenarioGenerator) linkFault(at time.Duration) {
	condition := r.randomWord("partitioned", "partitioned_forward", "partitioned_backward", "hang", "throttled", "high_latency", connectionReset)
	r.add(at, "link %s %.2f %.2f", condition, r.randomShare(1), r.randomShare(maxLinkedWorkers))
	r.add(r.randomEnd(at, maxFaultDuration), "link healthy 1 1")
}

func (r *scenarioGenerator) workerFault(at time.Duration) {
	r.add(at, "workers %s %.2f", r.randomWord("unresponsive", "slow", "failing", "refusing"), r.randomShare(maxFaultyWorkers))
	r.add(r.randomEnd(at, maxFaultDuration), "workers healthy 1")
}
