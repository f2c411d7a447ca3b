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

// Phases of a gossipRun. A phase lasts the duration of the run divided by its constant.
const (
	faultStartDivisor    = 5 // from the start of the run to the start of the fault
	faultDurationDivisor = 2 // from the start of the fault to its end
	accuseAllDivisor     = 4 // from the start of the run; byzantine members accuse all workers during this phase
	workersPerAccused    = 8 // one worker in this many is accused afterwards
	minAccused           = 2
)

// gossipRun is one run of Gossip with one fleet.
type gossipRun struct {
	fleet        *process.Fleet
	unresponsive []*standin.Worker // between faultFrom and faultUntil
	healthy      []string          // IDs of the other workers
	faultFrom    time.Time
	faultUntil   time.Time
}

// newGossipRun returns a run in which these workers become unresponsive.
func newGossipRun(fleet *process.Fleet, unresponsive []*standin.Worker) *gossipRun {
	return &gossipRun{
		fleet:        fleet,
		unresponsive: unresponsive,
		healthy:      workerIDs(excludeWorkers(fleet.Workers, unresponsive)),
	}
}

// playFault makes workers unresponsive after a fifth of the duration, for half of the duration.
func (r *gossipRun) playFault(ctx context.Context, duration time.Duration) {
	if !wait.Sleep(ctx, duration/faultStartDivisor) {
		return
	}
	r.faultFrom = time.Now()
	r.setFault(standin.WorkerUnresponsive)
	if !wait.Sleep(ctx, duration/faultDurationDivisor) {
		return
	}
	r.faultUntil = time.Now()
	r.setFault(standin.WorkerHealthy)
}

// setFault sets or clears the fault of the unresponsive workers.
func (r *gossipRun) setFault(fault standin.WorkerFault) {
	for _, worker := range r.unresponsive {
		worker.Set(fault)
	}
}

// addByzantineMembers joins byzantine members to the fleet. They accuse all workers during the first quarter of the run.
// Afterwards they collude: all accuse the same few healthy workers. closeMembers closes the members that have joined, and
// is valid even if an error is returned.
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
			if wait.Sleep(ctx, duration/accuseAllDivisor) {
				member.Accuse(few)
			}
		}()
	}
	return closeMembers, nil
}

// gossipMetrics is the measurements of one run.
type gossipMetrics struct {
	load            workload.Result
	lost            int     // requests sent to unresponsive workers
	detectionMillis float64 // from the fault to the last request sent to an unresponsive worker; median over these workers
	messages        float64 // per second, sent by the busiest instance
	bytes           float64 // per second, sent by the busiest instance
	peak            float64 // highest number of messages in any second of any instance
	wronglyEjected  float64 // worker-seconds, summed over instances
	ignoredPeers    int     // how often an instance began to ignore the reports of a peer
}

// countArrivals counts the requests that reached unresponsive workers.
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

// readLogs collects metrics from the schedulers' logs.
func (m *gossipMetrics) readLogs(run *gossipRun) {
	for _, instance := range run.fleet.Instances {
		m.readLog(run, instance.Log.Lines(), time.Now())
	}
}

// readLog collects metrics from the log of one scheduler. end is the end of the log.
func (m *gossipMetrics) readLog(run *gossipRun, lines []process.LogLine, end time.Time) {
	ejectedAt := map[string]time.Time{}
	for _, line := range lines {
		worker := line.Text("worker")
		switch line.Text("msg") {
		case process.LogWorkerEjected:
			ejectedAt[worker] = line.Time()
		case process.LogWorkerReadmitted:
			m.wronglyEjected += run.wrongEjectionSeconds(worker, ejectedAt[worker], line.Time())
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
		m.wronglyEjected += run.wrongEjectionSeconds(worker, at, end)
	}
}

// wrongEjectionSeconds returns for how many seconds an ejection was wrong. The ejection of a healthy worker is wrong for its
// whole duration. The ejection of a faulty worker is wrong before the fault, and after the last report of the fault must
// have expired.
func (r *gossipRun) wrongEjectionSeconds(worker string, from, until time.Time) float64 {
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
