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
	// randomStream is the second half of the seed of random scenarios, which sets their draws apart from others.
	randomStream = 11
	// faultsFrom is when the first fault of a random scenario begins: schedulers have started by then.
	faultsFrom = 2 * time.Second
	// RecoveryTime is the end of a random scenario, in which all is healthy and schedulers end as in a planned restart.
	RecoveryTime = 8 * time.Second
	// terminateBefore is how long before its end schedulers are told to end.
	terminateBefore = 4 * time.Second
	// meanFaultInterval is the mean time between the beginnings of two faults.
	meanFaultInterval = 1500 * time.Millisecond
	// maxOutage is the longest outage of the list service: longer than anything that is known of workers may be used.
	maxOutage = 16 * time.Second
	// maxSignalPause is the longest pause between two signals of a series, which has minSignals and up to moreSignals - 1 more.
	maxSignalPause = 250 * time.Millisecond
	minSignals     = 2
	moreSignals    = 6
	// The largest shares of workers and schedulers that one fault concerns, and the least.
	leastShare     = 0.1
	mostFewWorkers = 0.2
	mostWorkers    = 0.3
	mostCutWorkers = 0.4
	halfSchedulers = 0.5
	mostSchedulers = 0.7
	leastRolled    = 0.25 // one scheduler of four
	// restartOdds is one in how many outages sees workers restart.
	restartOdds = 3
	// maxFault is how long other faults last.
	maxFault = 4 * time.Second
)

// randomScenario draws a scenario.
type randomScenario struct {
	rng   *rand.Rand
	end   time.Duration // of the faults
	steps Scenario
}

// Random returns a scenario of faults that overlap, drawn from a seed. In the last RecoveryTime all is healthy again.
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

// upTo draws a time from 0 to longest.
func (r *randomScenario) upTo(longest time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(longest)))
}

// until draws the end of a fault that begins at a time.
func (r *randomScenario) until(at, longest time.Duration) time.Duration {
	return min(at+r.upTo(longest), r.end)
}

// share draws a share between a tenth and most.
func (r *randomScenario) share(most float64) float64 {
	return leastShare + r.rng.Float64()*(most-leastShare)
}

// pick draws one of some words.
func (r *randomScenario) pick(words ...string) string { return words[r.rng.IntN(len(words))] }

// listOutage has nothing heard of the list service, and workers drain, or restart, just after that began.
func (r *randomScenario) listOutage(at time.Duration) {
	r.add(at, "list %s", r.pick("refusing", "unresponsive", "overloaded"))
	r.add(at+r.upTo(time.Second), "drain %.2f", r.share(mostWorkers))
	if r.rng.IntN(restartOdds) == 0 {
		r.add(at+r.upTo(maxFault), "restart_workers %.2f", r.share(mostWorkers))
	}
	r.add(r.until(at, maxOutage), "list healthy")
}

// listFault gives the list service a fault by which polls are late, or get lost.
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

// signals sends signals in series.
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
