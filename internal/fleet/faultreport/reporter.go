package faultreport

import (
	"maps"
	"slices"
	"time"

	"calicohill/routing"
)

// Reputation ranges from 0 to 1. A reporter loses reputation when this scheduler's observations contradict its reports.
const (
	initialReputation           = 1.0
	maxReputation               = 1.0
	minReputation               = 0.6 // a reporter below it is ignored
	contradictionFactor         = 0.5 // multiplies the reputation on each contradicted report
	reputationRecoveryPerSecond = 0.02
	// contradictionMargin is the minimum distance between the send time of a request that got a response and both ends
	// of the reported outage. A response closer to either end does not contradict the report.
	contradictionMargin = 300 * time.Millisecond
)

// A reporter is muted if it reports more than massReportFraction of the listed workers and more than
// massReportThreshold workers: a fault of its own network is the more likely cause.
const (
	massReportFraction  = 0.5
	massReportThreshold = 4
	muteDuration        = 30 * time.Second
	maxReporters        = 4096
)

// reporter is the state of another member, including the reports of its latest statement.
type reporter struct {
	isMember           bool // whether it is a live member
	reputation         float64
	reputationAt       time.Duration // time of the last change of reputation
	mutedUntil         time.Duration
	discreditAnnounced bool
	reports            map[string]peerReport    // by worker
	clearedAt          map[string]time.Duration // time of its last withdrawal that was counted, by worker
}

// peerReport is a received report, with its times converted to this scheduler's clock.
type peerReport struct {
	fault        routing.Fault
	firstSeen    time.Duration
	lastSeen     time.Duration
	expiresAt    time.Duration
	contradicted bool // whether a response to this scheduler contradicts it; such a report is ignored
}

// warrantsEjection reports whether a worker may be ejected for a fault. A worker that is slow or fails some requests is
// not ejected, because it still serves other requests.
func warrantsEjection(fault routing.Fault) bool {
	return fault == routing.Unresponsive || fault == routing.Unreachable
}

// currentReputation returns the reputation including the recovery since its last change.
func (r *reporter) currentReputation(now time.Duration) float64 {
	return min(maxReputation, r.reputation+reputationRecoveryPerSecond*(now-r.reputationAt).Seconds())
}

// isTrusted reports whether the reports of the member are counted.
func (r *reporter) isTrusted(now time.Duration) bool {
	return r.isMember && now >= r.mutedUntil && r.currentReputation(now) >= minReputation
}

// hasFullReputation reports whether the member is not muted and has fully recovered its reputation.
func (r *reporter) hasFullReputation(now time.Duration) bool {
	return now >= r.mutedUntil && r.currentReputation(now) >= maxReputation
}

// takeReports removes and returns the reports of the latest statement, by worker.
func (r *reporter) takeReports() map[string]peerReport {
	taken := r.reports
	r.reports = map[string]peerReport{}
	return taken
}

// store stores a received report unless it has expired, and reports whether it counts. Repeating a contradicted report
// of the same outage does not make it count again.
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

// withdrawn returns the workers that the member no longer reports because it got a response from them. A false
// withdrawal by a byzantine member costs one probe, so at most one withdrawal per worker counts within ttl.
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

// contradict lowers the reputation of the member if it reports the worker as unresponsive or unreachable during a
// period in which the worker responded to this scheduler. at is the send time of the answered request. contradict
// reports whether the reputation has dropped below minReputation.
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
	r.reputation = r.currentReputation(now) * contradictionFactor
	r.reputationAt = now
	return r.reputation < minReputation
}

// mute drops the reports of the member and ignores its statements for muteDuration.
func (r *reporter) mute(now time.Duration) {
	r.mutedUntil = now + muteDuration
	clear(r.reports)
}

// markDiscredited marks the member as announced as discredited, and reports whether it was not marked before.
func (r *reporter) markDiscredited() (first bool) {
	first = !r.discreditAnnounced
	r.discreditAnnounced = true
	return first
}

// expire drops expired reports and reports on workers that are not listed.
func (r *reporter) expire(now, ttl time.Duration, endpoints map[string]bool) {
	maps.DeleteFunc(r.reports, func(worker string, report peerReport) bool {
		return now >= report.expiresAt || !endpoints[worker]
	})
	maps.DeleteFunc(r.clearedAt, func(_ string, at time.Duration) bool { return now-at >= ttl })
	if r.isTrusted(now) {
		r.discreditAnnounced = false
	}
}

// reporterTable holds the reputation and the latest reports of at most maxReporters other members.
type reporterTable struct {
	byName map[string]*reporter
}

func newReporterTable() *reporterTable { return &reporterTable{byName: map[string]*reporter{}} }

// get returns the reporter with the given name, or nil.
func (t *reporterTable) get(name string) *reporter { return t.byName[name] }

// names returns the names of all reporters, sorted.
func (t *reporterTable) names() []string { return slices.Sorted(maps.Keys(t.byName)) }

// setMembers replaces the live members.
func (t *reporterTable) setMembers(names []string) {
	for _, entry := range t.byName {
		entry.isMember = false
	}
	for _, name := range names {
		if member := t.ensure(name); member != nil {
			member.isMember = true
		}
	}
}

// ensure returns the reporter with the given name and creates it if necessary. It returns nil if the table is full.
func (t *reporterTable) ensure(name string) *reporter {
	entry := t.byName[name]
	if entry == nil && len(t.byName) < maxReporters {
		entry = &reporter{
			reputation: initialReputation,
			reports:    map[string]peerReport{},
			clearedAt:  map[string]time.Duration{},
		}
		t.byName[name] = entry
	}
	return entry
}

// expire drops expired reports. It also drops former members that have no reports and full reputation.
func (t *reporterTable) expire(now, ttl time.Duration, endpoints map[string]bool) {
	maps.DeleteFunc(t.byName, func(_ string, entry *reporter) bool {
		entry.expire(now, ttl, endpoints)
		return !entry.isMember && len(entry.reports) == 0 && entry.hasFullReputation(now)
	})
}

// count counts the trusted reporters of each worker.
func (t *reporterTable) count(now time.Duration) reportCounts {
	counts := reportCounts{anyFault: map[string]int{}, ejectionFault: map[string]int{}}
	for _, sender := range t.byName {
		if !sender.isTrusted(now) {
			continue
		}
		for worker, report := range sender.reports {
			if report.contradicted {
				continue
			}
			counts.anyFault[worker]++
			if warrantsEjection(report.fault) {
				counts.ejectionFault[worker]++
			}
		}
	}
	return counts
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
