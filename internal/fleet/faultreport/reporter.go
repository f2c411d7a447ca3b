package faultreport

import (
	"maps"
	"slices"
	"time"

	"calicohill/routing"
)

// Reputation is in 0..1 and starts at 1. A reporter whose reports the own observations contradict loses it.
const (
	initialReputation           = 1.0
	maxReputation               = 1.0
	minReputation               = 0.6 // below it a reporter is ignored
	contradictionFactor         = 0.5 // applied to the reputation for each contradicted report
	reputationRecoveryPerSecond = 0.02
	// contradictionMargin is by how much the request of a response must be later than the first, and earlier than the last,
	// that a report is about to contradict the report.
	contradictionMargin = 300 * time.Millisecond
)

// A reporter with a fault report on more than massReportFraction of the listed workers and on more than
// massReportThreshold is muted: its own network is the likelier fault.
const (
	massReportFraction  = 0.5
	massReportThreshold = 4
	muteDuration        = 30 * time.Second
	maxReporters        = 4096
)

// reporter is another member, with the reports of its latest statement.
type reporter struct {
	isMember           bool // among the live members
	reputation         float64
	reputationAt       time.Duration // when reputation had this value
	mutedUntil         time.Duration
	discreditAnnounced bool
	reports            map[string]peerReport    // by worker
	clearedAt          map[string]time.Duration // when its withdrawal of a report last counted, by worker
}

// peerReport is a received report, with times by this scheduler's clock.
type peerReport struct {
	fault        routing.Fault
	firstSeen    time.Duration
	lastSeen     time.Duration
	expiresAt    time.Duration
	contradicted bool // by a response that this scheduler got meanwhile; it does not count
}

// warrantsEjection reports whether a worker may be ejected for a fault. One that is only slow or fails some requests
// still serves.
func warrantsEjection(fault routing.Fault) bool {
	return fault == routing.Unresponsive || fault == routing.Unreachable
}

// reputationNow is the reputation with what was regained since it last changed.
func (r *reporter) reputationNow(now time.Duration) float64 {
	return min(maxReputation, r.reputation+reputationRecoveryPerSecond*(now-r.reputationAt).Seconds())
}

// isTrusted reports whether the reports of the member count now.
func (r *reporter) isTrusted(now time.Duration) bool {
	return r.isMember && now >= r.mutedUntil && r.reputationNow(now) >= minReputation
}

// isClean reports whether nothing is held against the member.
func (r *reporter) isClean(now time.Duration) bool {
	return now >= r.mutedUntil && r.reputationNow(now) >= maxReputation
}

// takeReports removes the reports of the latest statement and returns them by worker.
func (r *reporter) takeReports() map[string]peerReport {
	taken := r.reports
	r.reports = map[string]peerReport{}
	return taken
}

// store keeps a received report unless it has expired, and reports whether it counts. A report that was contradicted
// stays so however often it is repeated, as long as it is about the same outage.
func (r *reporter) store(now, ttl time.Duration, received Report, previous map[string]peerReport) (counts bool) {
	report := peerReport{
		fault:     received.Fault,
		firstSeen: now - milliseconds(received.FirstSeenAgo),
		lastSeen:  now - milliseconds(received.LastSeenAgo),
	}
	report.expiresAt = report.lastSeen + ttl
	if report.expiresAt <= now {
		return false
	}
	if old, ok := previous[received.Worker]; ok && old.contradicted && report.firstSeen < old.lastSeen {
		report.contradicted = true
	}
	r.reports[received.Worker] = report
	return !report.contradicted
}

// withdrawn returns the workers that the member no longer reports: it has had a response from them. A byzantine member
// may pretend that, which costs one probe at most; so it counts once in a time to live for each worker.
func (r *reporter) withdrawn(now, ttl time.Duration, previous map[string]peerReport) []string {
	var cleared []string
	for _, worker := range slices.Sorted(maps.Keys(previous)) {
		report := previous[worker]
		_, stillReported := r.reports[worker]
		if stillReported || !warrantsEjection(report.fault) || report.contradicted || !r.isTrusted(now) {
			continue
		}
		clearedAt := r.clearedAt[worker]
		if clearedAt == 0 || now-clearedAt >= ttl {
			r.clearedAt[worker] = now
			cleared = append(cleared, worker)
		}
	}
	return cleared
}

// contradict lowers the reputation of a member that reports a worker as unresponsive or unreachable over a time in which
// it responded to this scheduler: to a request that was sent at the given time. It reports whether that left the member
// too little.
func (r *reporter) contradict(now time.Duration, worker string, at time.Duration) (discredited bool) {
	report, ok := r.reports[worker]
	if !ok || report.contradicted || !warrantsEjection(report.fault) {
		return false
	}
	if at < report.firstSeen+contradictionMargin || at > report.lastSeen-contradictionMargin {
		return false
	}
	report.contradicted = true
	r.reports[worker] = report
	r.reputation = r.reputationNow(now) * contradictionFactor
	r.reputationAt = now
	return r.reputation < minReputation
}

// mute drops the reports of the member and ignores it for muteDuration.
func (r *reporter) mute(now time.Duration) {
	r.mutedUntil = now + muteDuration
	clear(r.reports)
}

// markDiscredited notes that the member is announced as discredited, and reports whether it was not yet.
func (r *reporter) markDiscredited() (first bool) {
	first = !r.discreditAnnounced
	r.discreditAnnounced = true
	return first
}

// expire drops expired reports and those of workers that are not listed.
func (r *reporter) expire(now, ttl time.Duration, endpoints map[string]bool) {
	maps.DeleteFunc(r.reports, func(worker string, report peerReport) bool {
		return now >= report.expiresAt || !endpoints[worker]
	})
	maps.DeleteFunc(r.clearedAt, func(_ string, at time.Duration) bool { return now-at >= ttl })
	if r.isTrusted(now) {
		r.discreditAnnounced = false
	}
}

// reporterTable holds the other members with their reputation and their reports: at most maxReporters, each with the
// reports of one statement.
type reporterTable struct {
	byName map[string]*reporter
}

func newReporterTable() *reporterTable { return &reporterTable{byName: map[string]*reporter{}} }

// get returns the reporter of a name, or nil.
func (t *reporterTable) get(name string) *reporter { return t.byName[name] }

// names returns the names of all reporters, sorted.
func (t *reporterTable) names() []string { return slices.Sorted(maps.Keys(t.byName)) }

// setMembers replaces the live members.
func (t *reporterTable) setMembers(names []string) {
	for _, known := range t.byName {
		known.isMember = false
	}
	for _, name := range names {
		if member := t.ensure(name); member != nil {
			member.isMember = true
		}
	}
}

// ensure returns the reporter of a name, nil for a new one if the table is full.
func (t *reporterTable) ensure(name string) *reporter {
	known := t.byName[name]
	if known == nil && len(t.byName) < maxReporters {
		known = &reporter{
			reputation: initialReputation,
			reports:    map[string]peerReport{},
			clearedAt:  map[string]time.Duration{},
		}
		t.byName[name] = known
	}
	return known
}

// expire drops expired reports and the reporters that have left with nothing held against them.
func (t *reporterTable) expire(now, ttl time.Duration, endpoints map[string]bool) {
	maps.DeleteFunc(t.byName, func(_ string, known *reporter) bool {
		known.expire(now, ttl, endpoints)
		return !known.isMember && len(known.reports) == 0 && known.isClean(now)
	})
}

// count counts the trusted reporters of each worker.
func (t *reporterTable) count(now time.Duration) reportCounts {
	counts := reportCounts{any: map[string]int{}, ejecting: map[string]int{}}
	for _, sender := range t.byName {
		if !sender.isTrusted(now) {
			continue
		}
		for worker, report := range sender.reports {
			if report.contradicted {
				continue
			}
			counts.any[worker]++
			if warrantsEjection(report.fault) {
				counts.ejecting[worker]++
			}
		}
	}
	return counts
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
