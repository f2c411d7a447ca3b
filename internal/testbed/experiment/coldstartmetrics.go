package experiment

import (
	"time"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/standin"
	"calicohill/internal/testbed/workload"
)

// setLoad sets the metrics of the client load.
func setLoad(metrics *report.ColdStartMetrics, load workload.Result) {
	metrics.Served = load.ServedFraction()
	metrics.Requests = load.Offered
	metrics.Lost = load.Lost
}

// collectMetrics sets the metrics of the list service and the workers.
func collectMetrics(metrics *report.ColdStartMetrics, fleet *process.Fleet, began, lastStep time.Time) {
	collectPolls(metrics, fleet, began, lastStep)
	connects := offsets(fleet.List.AcceptedAt(), began)
	metrics.ConnectsPeak = report.PeakPer100ms(connects, 0)
	metrics.Connects = len(connects)
	collectWorkers(metrics, fleet, began)
}

// collectPolls sets the metrics of polls, and of the time until each scheduler had the last event.
func collectPolls(metrics *report.ColdStartMetrics, fleet *process.Fleet, began, lastStep time.Time) {
	schedulers := len(fleet.Instances)
	polls := fleet.List.Polls()
	listedAt := listedTimes(polls, len(fleet.List.PublishedAt()), lastStep)
	var pollTimes []time.Duration
	for _, poll := range polls {
		pollTimes = append(pollTimes, poll.At.Sub(began))
		metrics.Bytes += poll.Bytes
		at, ok := listedAt[poll.Scheduler]
		if poll.At.After(lastStep) && (!ok || !poll.At.After(at)) {
			metrics.PollsSent++
		}
	}
	for _, at := range listedAt {
		metrics.AllListed = max(metrics.AllListed, float64(at.Sub(lastStep).Milliseconds()))
		metrics.PollsNeeded += 1 + int(at.Sub(lastStep)/standin.MaxPollDuration)
	}
	if len(listedAt) < schedulers {
		metrics.AllListed = -1
	}
	metrics.RecordPolls(pollTimes)
	metrics.PollsEven = standin.EvenPollsPer100ms(schedulers)
	metrics.Limit = float64(standin.PollPeriod.Milliseconds())
	if rate := fleet.List.AnswersPerSecond(); rate > 0 {
		metrics.Limit = float64(schedulers) / rate * float64(time.Second/time.Millisecond)
	}
}

// listedTimes returns when each scheduler first had the last event after the last step of the scenario. A response that
// delivers the event counts, and so does a poll that acknowledges it.
func listedTimes(polls []standin.Poll, lastEvent int, lastStep time.Time) map[string]time.Time {
	listedAt := map[string]time.Time{}
	for _, poll := range polls {
		at := poll.AnsweredAt
		switch {
		case poll.After == lastEvent && (at.IsZero() || at.After(lastStep)):
			at = poll.At
			if at.Before(lastStep) { // the poll was already pending at the last step
				at = lastStep
			}
		case poll.LastEvent != lastEvent:
			continue
		}
		earlier, ok := listedAt[poll.Scheduler]
		if !at.Before(lastStep) && (!ok || at.Before(earlier)) {
			listedAt[poll.Scheduler] = at
		}
	}
	return listedAt
}

// collectWorkers sets the metrics of the workers.
func collectWorkers(metrics *report.ColdStartMetrics, fleet *process.Fleet, began time.Time) {
	handshakes := 0
	pairs := 0 // of a scheduler and a worker that received requests from it
	for _, worker := range fleet.Workers {
		connects := offsets(worker.AcceptedAt(), began)
		metrics.RecordAgentConnects(connects)
		handshakes += len(connects)
		if !worker.CrashedAt().IsZero() {
			metrics.Crashed++
		}
		refused, peakLoad := worker.OverloadStats()
		metrics.RefusedConnections += refused
		metrics.PeakWarmUpLoadFraction = max(metrics.PeakWarmUpLoadFraction, peakLoad)
		schedulers := map[string]bool{}
		for _, arrival := range worker.Arrivals() {
			schedulers[arrival.Scheduler] = true
			if arrival.ColdStart {
				metrics.Loads++
			}
		}
		pairs += len(schedulers)
	}
	starts := 0
	for _, instance := range fleet.Instances {
		starts += instance.CountMessages(process.LogSchedulerStarted)
	}
	schedulers := float64(len(fleet.Instances))
	metrics.Handshakes = float64(handshakes) / float64(max(starts, 1))
	metrics.PreferredWorkers = float64(countPreferredPairs(fleet.Workers)) / schedulers
	metrics.Workers = float64(pairs) / schedulers
}

// countPreferredPairs counts the pairs of a scheduler and a worker that schedulers need if they all share the same
// preferred worker of each function. A pair counts if the scheduler received a call of a function whose calls went mostly
// to the worker.
func countPreferredPairs(workers []*standin.Worker) int {
	calls := map[string]map[string]int{}
	preferred := map[string]string{}
	for _, worker := range workers {
		for _, arrival := range worker.Arrivals() {
			function := arrival.Function
			if calls[function] == nil {
				calls[function] = map[string]int{}
			}
			calls[function][worker.ID]++
			best := preferred[function]
			if best == "" || calls[function][worker.ID] > calls[function][best] {
				preferred[function] = worker.ID
			}
		}
	}
	type pair struct{ scheduler, worker string }
	pairs := map[pair]bool{}
	for _, worker := range workers {
		for _, arrival := range worker.Arrivals() {
			pairs[pair{scheduler: arrival.Scheduler, worker: preferred[arrival.Function]}] = true
		}
	}
	return len(pairs)
}

// offsets converts times to durations since from.
func offsets(times []time.Time, from time.Time) []time.Duration {
	var list []time.Duration
	for _, at := range times {
		list = append(list, at.Sub(from))
	}
	return list
}
