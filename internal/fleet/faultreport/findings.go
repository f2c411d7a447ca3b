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
	own := t.ensure(observed.Worker, listed)
	if own == nil {
		return false
	}
	if observed.Fault == routing.Healthy {
		t.observeHealthy(own, observed)
		return true
	}
	if own.fault != observed.Fault {
		own.fault = observed.Fault
		own.firstSeen = observed.At
		own.attempts = 0
		t.changed = true
	} else if observed.At > own.lastSeen {
		t.changed = true // newer evidence
	}
	own.lastSeen = max(own.lastSeen, observed.At)
	own.attempts = min(own.attempts, maxAttempts-1) + 1
	return true
}

// observeHealthy clears the finding on a worker that responded.
func (t *findingTable) observeHealthy(own *finding, observed FaultObserved) {
	own.lastHealthy = max(own.lastHealthy, observed.At)
	t.clearFault(own)
}

// clearFault resets a finding to healthy.
func (t *findingTable) clearFault(own *finding) {
	if own.fault != routing.Healthy {
		t.changed = true
	}
	own.fault = routing.Healthy
	own.attempts = 0
}

// ensure returns the finding on a worker and creates it if necessary. It returns nil instead of creating one if the
// worker is not listed or the table is full.
func (t *findingTable) ensure(worker string, listed bool) *finding {
	if own := t.byWorker[worker]; own != nil {
		return own
	}
	if len(t.byWorker) >= maxFindings || !listed {
		return nil
	}
	own := &finding{}
	t.byWorker[worker] = own
	return own
}

// lastHealthy returns the send time of the latest request to the worker that got a response, or 0 if there is none.
func (t *findingTable) lastHealthy(worker string) time.Duration {
	own := t.byWorker[worker]
	if own == nil {
		return 0
	}
	return own.lastHealthy
}

// retain drops the findings on workers that are not in endpoints.
func (t *findingTable) retain(endpoints map[string]bool) {
	for worker, own := range t.byWorker {
		if endpoints[worker] {
			continue
		}
		if own.fault != routing.Healthy {
			t.changed = true
		}
		delete(t.byWorker, worker)
	}
}

// expire clears faults that no request has shown within ttl.
func (t *findingTable) expire(now, ttl time.Duration) {
	for _, own := range t.byWorker {
		if own.fault != routing.Healthy && now-own.lastSeen >= ttl {
			t.clearFault(own)
		}
	}
}

// takeReports returns reports of all current faults, sorted by worker, and marks the table as unchanged.
func (t *findingTable) takeReports(now time.Duration) []Report {
	t.changed = false
	var reports []Report
	for _, worker := range slices.Sorted(maps.Keys(t.byWorker)) {
		own := t.byWorker[worker]
		if own.fault == routing.Healthy {
			continue
		}
		reports = append(reports, Report{
			Worker:       worker,
			Fault:        own.fault,
			FirstSeenAgo: millisecondsSince(now, own.firstSeen),
			LastSeenAgo:  millisecondsSince(now, own.lastSeen),
			Attempts:     own.attempts,
		})
	}
	return reports
}

func millisecondsSince(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

// broadcaster decides when to broadcast the findings: when they change, and periodically while there is a fault, but at
// most once per minBroadcastInterval. It repeats an empty statement, because the first one may be lost.
type broadcaster struct {
	sentAt    time.Duration
	emptyLeft int // number of empty statements still to be broadcast
}

// hasRepeats reports whether an empty statement is still to be broadcast.
func (b *broadcaster) repeats() bool { return b.emptyLeft > 0 }

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
		b.emptyLeft = broadcastsPerTTL
	case b.emptyLeft == 0:
		return Broadcast{}, false
	default:
		b.emptyLeft--
	}
	b.sentAt = now
	return Broadcast{reports}, true
}
