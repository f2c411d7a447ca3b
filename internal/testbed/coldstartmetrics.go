package testbed

import (
	"fmt"
	"time"

	"calicohill/internal/testbed/standin"
	"calicohill/internal/testbed/workload"
)

// summary describes the metrics in a sentence.
func (m *ColdStartMetrics) summary() string {
	return fmt.Sprintf("served %.4f of %d, at most %d polls and %d connections within 100 ms at the list service, %d at a worker; all listed after %.0f ms; %d rules broken",
		m.Served, m.Requests, m.PollsPeak, m.ConnectsPeak, m.AgentConnects, m.AllListed, len(m.RulesBroken))
}

// setLoad fills in what became of the load.
func (m *ColdStartMetrics) setLoad(load workload.Result) {
	m.Served = load.ServedShare()
	m.Requests = load.Offered
	m.Lost = load.Lost
}

// collect fills in what reached the list service and the workers.
func (m *ColdStartMetrics) collect(fleet *Fleet, began, lastStep time.Time) {
	m.collectPolls(fleet, began, lastStep)
	connects := offsets(fleet.List.AcceptedAt(), began)
	m.ConnectsPeak = PeakPer100ms(connects, 0)
	m.Connects = len(connects)
	m.collectWorkers(fleet, began)
}

// collectPolls fills in what reached the list service, and when each scheduler had the last event.
func (m *ColdStartMetrics) collectPolls(fleet *Fleet, began, lastStep time.Time) {
	schedulers := len(fleet.Instances)
	polls := fleet.List.Polls()
	listedAt := listedTimes(polls, len(fleet.List.PublishedAt()), lastStep)
	for _, poll := range polls {
		m.pollTimes = append(m.pollTimes, poll.At.Sub(began))
		m.Bytes += poll.Bytes
		at, ok := listedAt[poll.Scheduler]
		if poll.At.After(lastStep) && (!ok || !poll.At.After(at)) {
			m.PollsSent++
		}
	}
	for _, at := range listedAt {
		m.AllListed = max(m.AllListed, float64(at.Sub(lastStep).Milliseconds()))
		m.PollsNeeded += 1 + int(at.Sub(lastStep)/standin.MaxPollDuration)
	}
	if len(listedAt) < schedulers {
		m.AllListed = -1
	}
	m.PollsPeak = PeakPer100ms(m.pollTimes, 0)
	m.PollsEven = standin.EvenPollsPer100ms(schedulers)
	m.Limit = float64(standin.PollPeriod.Milliseconds())
	if rate := fleet.List.AnswersPerSecond(); rate > 0 {
		m.Limit = float64(schedulers) / rate * 1000
	}
}

// listedTimes returns when each scheduler first had the last event after the last step of the scenario, by a response or by
// a poll that shows that it has it.
func listedTimes(polls []standin.Poll, lastEvent int, lastStep time.Time) map[string]time.Time {
	listedAt := map[string]time.Time{}
	for _, poll := range polls {
		at := poll.AnsweredAt
		switch {
		case poll.After == lastEvent && (at.IsZero() || at.After(lastStep)):
			at = poll.At
			if at.Before(lastStep) { // the poll was pending already
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

// collectWorkers fills in what reached the workers.
func (m *ColdStartMetrics) collectWorkers(fleet *Fleet, began time.Time) {
	handshakes := 0
	pairs := 0 // of a scheduler and a worker that it sent anything
	for _, worker := range fleet.Workers {
		connects := offsets(worker.AcceptedAt(), began)
		m.agentConnectTimes = append(m.agentConnectTimes, connects...)
		m.AgentConnects = max(m.AgentConnects, PeakPer100ms(connects, 0))
		handshakes += len(connects)
		if !worker.CrashedAt().IsZero() {
			m.Crashed++
		}
		refused, peakLoad := worker.Overload()
		m.RefusedConnections += refused
		m.PeakWarmUpLoadShare = max(m.PeakWarmUpLoadShare, peakLoad)
		schedulers := map[string]bool{}
		for _, arrival := range worker.Arrivals() {
			schedulers[arrival.From] = true
			if arrival.Load {
				m.Loads++
			}
		}
		pairs += len(schedulers)
	}
	starts := 0
	for _, instance := range fleet.Instances {
		starts += instance.Count(logSchedulerStarted)
	}
	schedulers := float64(len(fleet.Instances))
	m.Handshakes = float64(handshakes) / float64(max(starts, 1))
	m.PreferredWorkers = float64(countPreferredPairs(fleet.Workers)) / schedulers
	m.Workers = float64(pairs) / schedulers
}

// countPreferredPairs counts the pairs of a scheduler and a worker that follow from the preferred workers which all
// schedulers share: the scheduler received a call of a function most of whose calls went to the worker.
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
	pairs := map[linkKey]bool{}
	for _, worker := range workers {
		for _, arrival := range worker.Arrivals() {
			pairs[linkKey{scheduler: arrival.From, worker: preferred[arrival.Function]}] = true
		}
	}
	return len(pairs)
}

// offsets returns how long each of these times is after from.
func offsets(times []time.Time, from time.Time) []time.Duration {
	var list []time.Duration
	for _, at := range times {
		list = append(list, at.Sub(from))
	}
	return list
}
