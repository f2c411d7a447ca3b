package faultreport

import (
	"maps"
	"slices"
	"time"

	"calicohill/routing"
)

const (
	minBroadcastInterval = 200 * time.Millisecond // between two statements
	broadcastsPerTTL     = 3                      // statements per Config.ReportTTL while there is a fault to report
	maxFindings          = 4096                   // workers with a finding
	maxAttempts          = 1<<15 + 1              // upper limit of finding.attempts
)

// finding is this scheduler's own observation of a worker.
type finding struct {
	fault       routing.Fault
	firstSeen   time.Duration // send time of the oldest request that showed the fault
	lastSeen    time.Duration // send time of the newest request that showed the fault
	attempts    uint16        // number of requests that showed the fault
	lastHealthy time.Duration // send time of the latest request that got a response; 0 for none
}

// findingTable stores this scheduler's own findings on at most maxFindings workers.
type findingTable struct {
	byWorker map[string]*finding
	changed  bool // since the last call of takeReports
}

func newFindingTable() *findingTable { return &findingTable{byWorker: map[string]*finding{}} }

// observe records an observation of a worker and reports whether it was recorded. It drops the observation if the
// worker has no finding yet and is not listed, or if the table is full.
func (t *findingTable) observe(observed FaultObserved, listed bool) bool {
	entry := t.ensure(observed.Worker, listed)
	if entry == nil {
		return false
	}
	if observed.Fault == routing.Healthy {
		t.observeHealthy(entry, observed)
		return true
	}
	if entry.fault != observed.Fault {
		entry.fault = observed.Fault
		entry.firstSeen = observed.At
		entry.attempts = 0
		t.changed = true
	} else if observed.At > entry.lastSeen {
		t.changed = true // newer evidence
	}
	entry.lastSeen = max(entry.lastSeen, observed.At)
	entry.attempts = min(entry.attempts, maxAttempts-1) + 1
	return true
}

// observeHealthy clears the finding on a worker that responded.
func (t *findingTable) observeHealthy(entry *finding, observed FaultObserved) {
	entry.lastHealthy = max(entry.lastHealthy, observed.At)
	t.clearFault(entry)
}

// clearFault resets a finding to healthy.
func (t *findingTable) clearFault(entry *finding) {
	if entry.fault != routing.Healthy {
		t.changed = true
	}
	entry.fault = routing.Healthy
	entry.attempts = 0
}

// ensure returns the finding on a worker and creates it if necessary. It returns nil instead of creating one if the
// worker is not listed or the table is full.
func (t *findingTable) ensure(worker string, listed bool) *finding {
	if entry := t.byWorker[worker]; entry != nil {
		return entry
	}
	if len(t.byWorker) >= maxFindings || !listed {
		return nil
	}
	entry := &finding{}
	t.byWorker[worker] = entry
	return entry
}

// lastHealthy returns the send time of the latest request to the worker that got a response, or 0 if there is none.
func (t *findingTable) lastHealthy(worker string) time.Duration {
	entry := t.byWorker[worker]
	if entry == nil {
		return 0
	}
	return entry.lastHealthy
}

// retain drops the findings on workers that are not in endpoints.
func (t *findingTable) retain(endpoints map[string]bool) {
	for worker, entry := range t.byWorker {
		if endpoints[worker] {
			continue
		}
		if entry.fault != routing.Healthy {
			t.changed = true
		}
		delete(t.byWorker, worker)
	}
}

// expire clears faults that no request has shown within ttl.
func (t *findingTable) expire(now, ttl time.Duration) {
	for _, entry := range t.byWorker {
		if entry.fault != routing.Healthy && now-entry.lastSeen >= ttl {
			t.clearFault(entry)
		}
	}
}

// takeReports returns reports of all current faults, sorted by worker, and marks the table as unchanged.
func (t *findingTable) takeReports(now time.Duration) []Report {
	t.changed = false
	var reports []Report
	for _, worker := range slices.Sorted(maps.Keys(t.byWorker)) {
		entry := t.byWorker[worker]
		if entry.fault == routing.Healthy {
			continue
		}
		reports = append(reports, Report{
			Worker:       worker,
			Fault:        entry.fault,
			FirstSeenAgo: millisecondsSince(now, entry.firstSeen),
			LastSeenAgo:  millisecondsSince(now, entry.lastSeen),
			Attempts:     entry.attempts,
		})
	}
	return reports
}

func millisecondsSince(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

// broadcaster decides when to broadcast the findings: when they change, and periodically while there is a fault, but at
// most once per minBroadcastInterval. It repeats an empty statement, because the first one may be lost.
type broadcaster struct {
	sentAt         time.Duration
	emptyRemaining int // number of empty statements still to be broadcast
}

// hasRepeats reports whether an empty statement is still to be broadcast.
func (b *broadcaster) hasRepeats() bool { return b.emptyRemaining > 0 }

// next returns the statement to broadcast now. ok is false if there is nothing to broadcast.
func (b *broadcaster) next(now, ttl time.Duration, findings *findingTable) (statement Broadcast, ok bool) {
	elapsed := now - b.sentAt
	due := elapsed >= ttl/broadcastsPerTTL
	if elapsed < minBroadcastInterval || !findings.changed && !due {
		return Broadcast{}, false
	}
	reports := findings.takeReports(now)
	switch {
	case len(reports) > 0:
		b.emptyRemaining = broadcastsPerTTL
	case b.emptyRemaining == 0:
		return Broadcast{}, false
	default:
		b.emptyRemaining--
	}
	b.sentAt = now
	return Broadcast{reports}, true
}
