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

// Why a reporter is ignored. Operators find these in the log.
const (
	reasonContradicted = "answers here belie what it says"
	reasonMassReports  = "it accuses most of the workers"
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

// setMembers replaces the live members.
func (c *Core) setMembers(names []string) {
	for _, known := range c.reporters {
		known.isMember = false
	}
	for _, name := range names {
		if member := c.ensureReporter(name); member != nil {
			member.isMember = true
		}
	}
	c.fleetSize = len(names) + 1
}

// ensureReporter returns the reporter of a name, nil for a new one if the table is full.
func (c *Core) ensureReporter(name string) *reporter {
	known := c.reporters[name]
	if known == nil && len(c.reporters) < maxReporters {
		known = &reporter{
			reputation: initialReputation,
			reports:    map[string]peerReport{},
			clearedAt:  map[string]time.Duration{},
		}
		c.reporters[name] = known
	}
	return known
}

// receive replaces the reports of a member with those of its new statement. Malformed statements and those of unknown
// members are dropped.
func (c *Core) receive(statement StatementReceived) {
	sender := c.reporters[statement.From]
	if sender == nil {
		return
	}
	list, err := Decode(statement.Body)
	if err != nil {
		return
	}
	previous := sender.reports
	sender.reports = map[string]peerReport{}
	listed := 0
	for _, report := range list {
		if !c.endpoints[report.Worker] {
			continue // the sender may have a newer or an older endpoint list
		}
		listed++
		c.store(sender, report, previous)
	}
	if listed > massReportThreshold && float64(listed) > massReportFraction*float64(len(c.endpoints)) {
		c.mute(statement.From, sender, reasonMassReports)
		return
	}
	c.clearWithdrawn(sender, previous)
}

// store keeps a received report unless it has expired. A report that was contradicted stays so however often it is
// repeated, as long as it is about the same outage.
func (c *Core) store(sender *reporter, received Report, previous map[string]peerReport) {
	report := peerReport{
		fault:     received.Fault,
		firstSeen: c.now - milliseconds(received.FirstSeenAgo),
		lastSeen:  c.now - milliseconds(received.LastSeenAgo),
	}
	report.expiresAt = report.lastSeen + c.config.ReportTTL
	if report.expiresAt <= c.now {
		return
	}
	if old, ok := previous[received.Worker]; ok && old.contradicted && report.firstSeen < old.lastSeen {
		report.contradicted = true
	}
	sender.reports[received.Worker] = report
	own := c.findings[received.Worker]
	if own != nil && own.lastHealthy > 0 && !report.contradicted {
		c.contradict(received.Worker, own.lastHealthy)
	}
}

// clearWithdrawn notes the workers that a reporter no longer reports: it has had a response from them. A byzantine
// member may pretend that, which costs one probe at most; so it counts once in Config.ReportTTL for each worker.
func (c *Core) clearWithdrawn(sender *reporter, previous map[string]peerReport) {
	for _, worker := range slices.Sorted(maps.Keys(previous)) {
		report := previous[worker]
		_, stillReported := sender.reports[worker]
		if stillReported || !warrantsEjection(report.fault) || report.contradicted || !c.isTrusted(sender) {
			continue
		}
		clearedAt := sender.clearedAt[worker]
		if clearedAt == 0 || c.now-clearedAt >= c.config.ReportTTL {
			sender.clearedAt[worker] = c.now
			c.cleared = append(c.cleared, worker)
		}
	}
}

// contradict lowers the reputation of all that report a worker as unresponsive or unreachable over a time in which it
// responded to this scheduler: to a request that was sent at the given time.
func (c *Core) contradict(worker string, at time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.reporters)) {
		sender := c.reporters[name]
		report, ok := sender.reports[worker]
		if !ok || report.contradicted || !warrantsEjection(report.fault) {
			continue
		}
		if at < report.firstSeen+contradictionMargin || at > report.lastSeen-contradictionMargin {
			continue
		}
		report.contradicted = true
		sender.reports[worker] = report
		sender.reputation = sender.reputationNow(c.now) * contradictionFactor
		sender.reputationAt = c.now
		if sender.reputation < minReputation {
			c.announceDiscredit(name, sender, reasonContradicted)
		}
	}
}

// mute drops the reports of a member and ignores it for muteDuration.
func (c *Core) mute(name string, sender *reporter, reason string) {
	sender.mutedUntil = c.now + muteDuration
	clear(sender.reports)
	c.announceDiscredit(name, sender, reason)
}

// announceDiscredit emits Discredited, once until the member is trusted again.
func (c *Core) announceDiscredit(name string, sender *reporter, reason string) {
	if sender.discreditAnnounced {
		return
	}
	sender.discreditAnnounced = true
	c.actions = append(c.actions, Discredited{From: name, Why: reason})
}

// isTrusted reports whether the reports of a member count now.
func (c *Core) isTrusted(sender *reporter) bool {
	return sender.isMember && c.now >= sender.mutedUntil && sender.reputationNow(c.now) >= minReputation
}

// expireReporters drops expired reports and the reporters that have left with nothing held against them.
func (c *Core) expireReporters() {
	maps.DeleteFunc(c.reporters, func(_ string, known *reporter) bool {
		maps.DeleteFunc(known.reports, func(worker string, report peerReport) bool {
			return c.now >= report.expiresAt || !c.endpoints[worker]
		})
		maps.DeleteFunc(known.clearedAt, func(_ string, at time.Duration) bool {
			return c.now-at >= c.config.ReportTTL
		})
		if c.isTrusted(known) {
			known.discreditAnnounced = false
		}
		isClean := c.now >= known.mutedUntil && known.reputationNow(c.now) >= maxReputation
		return !known.isMember && len(known.reports) == 0 && isClean
	})
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
