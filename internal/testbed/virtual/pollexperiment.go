package virtual

import (
	"time"

	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/standin"
)

// Phases of the poll simulations.
const (
	simulatedWarmUp     = 10 * time.Second // before the fault
	simulatedFault      = 8 * time.Second
	simulatedRecovery   = 20 * time.Second // after it
	rateLimitedDuration = 40 * time.Second
	rateLimitedPeriod   = 20 * time.Second // time in which the rate-limited service answers one poll of each scheduler
)

// SimulatePolls simulates faults of the list service with fleets of the given sizes.
func SimulatePolls(sizes []int, seed uint64) []report.VirtualPollResult {
	withFault := func(fault standin.ListFault) func(*PollSimulation) {
		return func(sim *PollSimulation) {
			sim.SetFault(fault)
			sim.Run(simulatedFault)
			sim.SetFault(standin.ListHealthy)
		}
	}
	faults := map[string]func(*PollSimulation){
		"refused_8s":    withFault(standin.ListRefusing),
		"overloaded_8s": withFault(standin.ListOverloaded),
		"silent_8s":     withFault(standin.ListUnresponsive),
		"broken":        (*PollSimulation).BreakConnections,
		"event":         (*PollSimulation).Publish,
	}
	var results []report.VirtualPollResult
	for _, size := range sizes {
		result := simulateRateLimited(size, seed)
		start := NewPollSimulation(size, time.Second, seed, true)
		start.Run(simulatedWarmUp)
		result.Peaks["start"] = report.PeakPer100ms(start.Polls, 0)
		for name, inject := range faults {
			sim := NewPollSimulation(size, time.Second, seed, true)
			sim.Run(simulatedWarmUp)
			from := sim.Now
			inject(sim)
			sim.Run(simulatedRecovery)
			result.Peaks[name] = report.PeakPer100ms(sim.Polls, from)
		}
		results = append(results, result)
	}
	return results
}

// simulateRateLimited simulates a start with a list service that has an update for all schedulers, but answers only a tenth
// of the fleet's polls in a PollPeriod.
func simulateRateLimited(size int, seed uint64) report.VirtualPollResult {
	result := report.VirtualPollResult{
		Schedulers:  size,
		EvenPeak:    standin.EvenPollsPer100ms(size),
		Peaks:       map[string]int{},
		LimitMillis: float64(rateLimitedPeriod.Milliseconds()),
	}
	sim := NewPollSimulation(size, time.Second, seed, true)
	sim.SetFault(standin.ListRateLimited)
	sim.Queue.AnswersPerSecond = float64(size) / rateLimitedPeriod.Seconds()
	const update = 2 // number of the event that all schedulers must receive
	sim.Queue.LastEvent = update
	began := sim.Now
	sim.Run(rateLimitedDuration)
	allListed := time.Duration(0)
	for _, scheduler := range sim.Schedulers {
		if scheduler.LastEvent < update {
			result.Sent = 0
			result.Needed = 0
			result.AllListedMillis = -1
			return result
		}
		for _, at := range scheduler.Polls {
			if at < scheduler.UpdatedAt {
				result.Sent++
			}
		}
		took := scheduler.UpdatedAt - began
		result.Needed += 1 + int(took/standin.MaxPollDuration)
		allListed = max(allListed, took)
	}
	result.AllListedMillis = float64(allListed.Milliseconds())
	return result
}
