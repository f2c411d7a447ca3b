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
	// faultsFrom is the time of the first fault, by which the schedulers have started.
	faultsFrom = 2 * time.Second
	// RecoveryTime is the final phase of a random scenario, without faults. The schedulers shut down in it as in a planned
	// restart.
	RecoveryTime = 8 * time.Second
	// terminateBefore is the time from SIGTERM to the schedulers until the end of the scenario.
	terminateBefore = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of successive faults.
	meanFaultInterval = 1500 * time.Millisecond
	// maxOutage is the maximum outage of the list service. It exceeds the time for which schedulers may use old information
	// about workers.
	maxOutage = 16 * time.Second
	// maxSignalPause is the maximum pause between two signals in a series. A series has minSignals to
	// minSignals + moreSignals - 1 signals.
	maxSignalPause = 250 * time.Millisecond
	minSignals     = 2
	moreSignals    = 6
	// The minimum and maximum shares of workers and schedulers that a fault affects.
	leastShare     = 0.1
	mostFewWorkers = 0.2
	mostWorkers    = 0.3
	mostCutWorkers = 0.4
	halfSchedulers = 0.5
	mostSchedulers = 0.7
	leastRolled    = 0.25 // one scheduler of four
	// restartOdds is the reciprocal of the probability that workers restart during an outage.
	restartOdds = 3
	// maxFault is the maximum duration of other faults.
	maxFault = 4 * time.Second
)

// randomScenario generates a random scenario.
type randomScenario struct {
	rng   *rand.Rand
	end   time.Duration // time at which all faults have ended
	steps Scenario
}

// Random returns a scenario of overlapping faults that is determined by the seed. No fault is active in the last
// RecoveryTime.
func Random(seed uint64, duration time.Duration) Scenario {
	drawn := &randomScenario{rng: rand.New(rand.NewPCG(seed, randomStream)), end: max(duration-RecoveryTime, faultsFrom)}
	drawn.add(0, "known full")
	drawn.add(0, "start 1")
	faults := []func(at time.Duration){
		drawn.listOutage, drawn.listOutage, drawn.listFault, drawn.drain, drawn.replaceWorkers, drawn.killSchedulers,
		drawn.rollingRestart, drawn.pauseSchedulers, drawn.signals, drawn.cutLinks, drawn.workerFault,
	}
	for at := faultsFrom; at < drawn.end; at += drawn.upTo(2 * meanFaultInterval) {
		faults[drawn.rng.IntN(len(faults))](at)
	}
	for _, step := range []string{"cont 1", "list healthy", "link healthy 1 1", "workers healthy 1", "start 1"} {
		drawn.add(drawn.end, "%s", step)
	}
	drawn.add(drawn.end+RecoveryTime-terminateBefore, "term 1")
	slices.SortStableFunc(drawn.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return drawn.steps
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
func (r *randomScenario) add(at time.Duration, format string, args ...any) {
	fields := strings.Fields(fmt.Sprintf(format, args...))
	r.steps = append(r.steps, Step{At: at.Round(time.Millisecond), Verb: fields[0], Args: fields[1:]})
}

// upTo returns a random duration from 0 to longest.
func (r *randomScenario) upTo(longest time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(longest)))
}

// until returns a random end time of a fault that starts at the given time and lasts at most longest.
func (r *randomScenario) until(at, longest time.Duration) time.Duration {
	return min(at+r.upTo(longest), r.end)
}

// share returns a random share between leastShare and most.
func (r *randomScenario) share(most float64) float64 {
	return leastShare + r.rng.Float64()*(most-leastShare)
}

// pick returns a random element of words.
func (r *randomScenario) pick(words ...string) string { return words[r.rng.IntN(len(words))] }

// listOutage makes the list service unavailable. Soon after its start workers drain, and in some outages workers restart.
func (r *randomScenario) listOutage(at time.Duration) {
	r.add(at, "list %s", r.pick("refusing", "unresponsive", "overloaded"))
	r.add(at+r.upTo(time.Second), "drain %.2f", r.share(mostWorkers))
	if r.rng.IntN(restartOdds) == 0 {
		r.add(at+r.upTo(maxFault), "restart_workers %.2f", r.share(mostWorkers))
	}
	r.add(r.until(at, maxOutage), "list healthy")
}

// listFault makes the list service delay or lose responses to polls.
func (r *randomScenario) listFault(at time.Duration) {
	r.add(at, "%s", r.pick("list truncating", "list rate_limited 0.1", "disconnect", "publish"))
	r.add(r.until(at, maxFault), "list healthy")
}

func (r *randomScenario) drain(at time.Duration) { r.add(at, "drain %.2f", r.share(mostFewWorkers)) }

func (r *randomScenario) replaceWorkers(at time.Duration) {
	r.add(at, "replace %.2f %s", r.share(mostFewWorkers), warmingUp)
}

func (r *randomScenario) killSchedulers(at time.Duration) {
	r.add(at, "kill %.2f", r.share(mostSchedulers))
	r.add(r.until(at, 2*time.Second), "start 1")
}

func (r *randomScenario) rollingRestart(at time.Duration) {
	r.add(at, "rolling_restart %.2f 500ms", max(leastRolled, r.share(halfSchedulers)))
}

func (r *randomScenario) pauseSchedulers(at time.Duration) {
	r.add(at, "stop %.2f", r.share(halfSchedulers))
	r.add(r.until(at, maxFault), "cont 1")
}

// signals sends a series of signals.
func (r *randomScenario) signals(at time.Duration) {
	for range minSignals + r.rng.IntN(moreSignals) {
		at = r.until(at, maxSignalPause)
		r.add(at, "%s 1", r.pick("hup", "usr1"))
	}
}

func (r *randomScenario) cutLinks(at time.Duration) {
	condition := r.pick("partitioned", "partitioned_forward", "partitioned_backward", "hang", "throttled", "high_latency", connectionReset)
	r.add(at, "link %s %.2f %.2f", condition, r.share(1), r.share(mostCutWorkers))
	r.add(r.until(at, maxFault), "link healthy 1 1")
}

func (r *randomScenario) workerFault(at time.Duration) {
	r.add(at, "workers %s %.2f", r.pick("unresponsive", "slow", "failing", "refusing"), r.share(mostWorkers))
	r.add(r.until(at, maxFault), "workers healthy 1")
}
