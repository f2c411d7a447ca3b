package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
	"calicohill/internal/testbed/wait"
	"calicohill/internal/testbed/workload"
)

// The course of a gossipRun, by what its duration is divided by.
const (
	untilFault         = 5 // from the beginning to the fault
	untilRecovery      = 2 // from the fault to its end
	untilFewAreAccused = 4 // from the beginning, while byzantine members accuse all workers
	workersPerAccused  = 8 // how many workers there are for each that is accused afterwards
	minAccused         = 2
)

// gossipRun is a run of Gossip with one fleet.
type gossipRun struct {
	fleet        *process.Fleet
	unresponsive []*standin.Worker // for a while
	healthy      []string          // IDs of the others
	faultFrom    time.Time
	faultUntil   time.Time
}

// newGossipRun returns a run in which these workers become unresponsive.
func newGossipRun(fleet *process.Fleet, unresponsive []*standin.Worker) *gossipRun {
	return &gossipRun{
		fleet:        fleet,
		unresponsive: unresponsive,
		healthy:      workerIDs(without(fleet.Workers, unresponsive)),
	}
}

// playFault makes the run's workers unresponsive from a fifth of its duration on, for half of it.
func (r *gossipRun) playFault(ctx context.Context, duration time.Duration) {
	if !wait.Sleep(ctx, duration/untilFault) {
		return
	}
	r.faultFrom = time.Now()
	r.setFault(standin.WorkerUnresponsive)
	if !wait.Sleep(ctx, duration/untilRecovery) {
		return
	}
	r.faultUntil = time.Now()
	r.setFault(standin.WorkerHealthy)
}

// setFault gives the workers of the run a fault, or none.
func (r *gossipRun) setFault(fault standin.WorkerFault) {
	for _, worker := range r.unresponsive {
		worker.Set(fault)
	}
}

// addByzantineMembers has byzantine members join. For the first quarter of the run they accuse all workers, then a few
// healthy ones, the same for all members, so that they collude. closeMembers ends those that have joined, also where there
// is an error.
func (r *gossipRun) addByzantineMembers(ctx context.Context, count int, duration time.Duration) (closeMembers func(), err error) {
	var members []*fault.ByzantineMember
	closeMembers = func() {
		for _, member := range slices.Backward(members) {
			member.Close()
		}
	}
	for i := range count {
		member, err := r.fleet.NewByzantineMember(fmt.Sprintf("liar%d", i))
		if err != nil {
			return closeMembers, err
		}
		members = append(members, member)
	}
	all := workerIDs(r.fleet.Workers)
	few := r.healthy[:min(len(r.healthy), max(minAccused, len(all)/workersPerAccused))]
	for _, member := range members {
		member.Accuse(all)
		go func() {
			if wait.Sleep(ctx, duration/untilFewAreAccused) {
				member.Accuse(few)
			}
		}()
	}
	return closeMembers, nil
}

// gossipMetrics is what a run measured.
type gossipMetrics struct {
	load            workload.Result
	lost            int     // requests to unresponsive workers
	detectionMillis float64 // until the last request to an unresponsive worker, the median over these workers
	messages        float64 // a second, sent by the worst instance
	bytes           float64 // a second, sent by the worst instance
	peak            float64 // messages, the most of any second and instance
	wronglyEjected  float64 // worker-seconds, by instances
	ignoredPeers    int     // times that an instance began to ignore a peer's reports
}

// countArrivals counts the requests that went to unresponsive workers.
func (m *gossipMetrics) countArrivals(run *gossipRun) {
	var detections []float64
	for _, worker := range run.unresponsive {
		last := run.faultFrom
		for _, arrival := range worker.Arrivals() {
			if arrival.Fault == standin.WorkerUnresponsive {
				m.lost++
				last = arrival.At
			}
		}
		detections = append(detections, float64(last.Sub(run.faultFrom).Milliseconds()))
	}
	slices.Sort(detections)
	m.detectionMillis = detections[len(detections)/2]
}

// readLogs fills in what the schedulers' logs say.
func (m *gossipMetrics) readLogs(run *gossipRun) {
	for _, instance := range run.fleet.Instances {
		m.readLog(run, instance.Log.Lines(), time.Now())
	}
}

// readLog fills in what one scheduler's log says, which ended at a time.
func (m *gossipMetrics) readLog(run *gossipRun, lines []process.LogLine, end time.Time) {
	ejectedAt := map[string]time.Time{}
	for _, line := range lines {
		worker := line.Text("worker")
		switch line.Text("msg") {
		case process.LogWorkerEjected:
			ejectedAt[worker] = line.Time()
		case process.LogWorkerReadmitted:
			m.wronglyEjected += run.wrongSeconds(worker, ejectedAt[worker], line.Time())
			delete(ejectedAt, worker)
		case process.LogPeerIgnored:
			m.ignoredPeers++
		case process.LogGossipEnded:
			seconds := line.Number("seconds")
			m.messages = max(m.messages, line.Number("sent")/seconds)
			m.bytes = max(m.bytes, line.Number("bytes")/seconds)
			m.peak = max(m.peak, line.Number("peak"))
		}
	}
	for worker, at := range ejectedAt {
		m.wronglyEjected += run.wrongSeconds(worker, at, end)
	}
}

// wrongSeconds returns how many seconds of an ejection were wrong: all of them for a worker without a fault; for another
// those before its fault, and those after reports of it may have lasted.
func (r *gossipRun) wrongSeconds(worker string, from, until time.Time) float64 {
	if slices.Contains(r.healthy, worker) {
		return until.Sub(from).Seconds()
	}
	wrong := 0.0
	if from.Before(r.faultFrom) {
		wrong += r.faultFrom.Sub(from).Seconds()
	}
	if expired := r.faultUntil.Add(reportLifetime); until.After(expired) {
		wrong += until.Sub(expired).Seconds()
	}
	return wrong
}
