package faultreport

import (
	"maps"
	"slices"
	"time"

	"calicohill/routing"
)

const (
	minBroadcastInterval = 200 * time.Millisecond // between two statements
	broadcastsPerTTL     = 3                      // statements within Config.ReportTTL while there is a fault to report
	maxFindings          = 4096                   // workers with a finding
	maxAttempts          = 1<<15 + 1              // where the count of requests that show a fault stops
)

// finding is what this scheduler observed of a worker itself.
type finding struct {
	fault       routing.Fault
	firstSeen   time.Duration // when the oldest request was sent that shows the fault
	lastSeen    time.Duration // when the newest one was sent
	attempts    uint16        // requests that show it
	lastHealthy time.Duration // when the latest request was sent that got a response, 0 for none
}

// observe records this scheduler's own finding on a worker.
func (c *Core) observe(observed FaultObserved) {
	own := c.ensureFinding(observed.Worker)
	if own == nil {
		return
	}
	if observed.Fault == routing.Healthy {
		c.observeHealthy(own, observed)
		return
	}
	if own.fault != observed.Fault {
		own.fault = observed.Fault
		own.firstSeen = observed.At
		own.attempts = 0
		c.findingsChanged = true
	} else if observed.At > own.lastSeen {
		c.findingsChanged = true // newer evidence
	}
	own.lastSeen = max(own.lastSeen, observed.At)
	own.attempts = min(own.attempts, maxAttempts-1) + 1
}

// observeHealthy clears the finding on a worker that responded, and lowers the reputation of those whose reports the
// response contradicts.
func (c *Core) observeHealthy(own *finding, observed FaultObserved) {
	own.lastHealthy = max(own.lastHealthy, observed.At)
	if own.fault != routing.Healthy {
		c.findingsChanged = true
	}
	own.fault = routing.Healthy
	own.attempts = 0
	c.contradict(observed.Worker, observed.At)
}

// ensureFinding returns the finding on a worker. It is nil for a new one that is not listed or finds the table full.
func (c *Core) ensureFinding(worker string) *finding {
	if own := c.findings[worker]; own != nil {
		return own
	}
	if len(c.findings) >= maxFindings || !c.endpoints[worker] {
		return nil
	}
	own := &finding{}
	c.findings[worker] = own
	return own
}

// setEndpoints replaces the listed workers and drops the findings on those that are gone.
func (c *Core) setEndpoints(workers []string) {
	clear(c.endpoints)
	for _, worker := range workers {
		c.endpoints[worker] = true
	}
	for worker, own := range c.findings {
		if c.endpoints[worker] {
			continue
		}
		if own.fault != routing.Healthy {
			c.findingsChanged = true
		}
		delete(c.findings, worker)
	}
}

// expireFindings clears the faults that no request has shown for Config.ReportTTL.
func (c *Core) expireFindings() {
	for _, own := range c.findings {
		if own.fault != routing.Healthy && c.now-own.lastSeen >= c.config.ReportTTL {
			own.fault = routing.Healthy
			own.attempts = 0
			c.findingsChanged = true
		}
	}
}

// broadcast emits a statement of the own findings: when they have changed, and periodically as long as there is a
// fault. A statement without a report is repeated, since the first may be lost on its way.
func (c *Core) broadcast() {
	elapsed := c.now - c.broadcastAt
	due := elapsed >= c.config.ReportTTL/broadcastsPerTTL
	if elapsed < minBroadcastInterval || !c.findingsChanged && !due {
		return
	}
	reports := c.ownReports()
	switch {
	case len(reports) > 0:
		c.emptyBroadcastsLeft = broadcastsPerTTL
	case c.emptyBroadcastsLeft == 0:
		c.findingsChanged = false
		return
	default:
		c.emptyBroadcastsLeft--
	}
	c.broadcastAt = c.now
	c.findingsChanged = false
	c.actions = append(c.actions, Broadcast{reports})
}

// ownReports returns the own findings that are faults, sorted by worker.
func (c *Core) ownReports() []Report {
	var reports []Report
	for _, worker := range slices.Sorted(maps.Keys(c.findings)) {
		own := c.findings[worker]
		if own.fault == routing.Healthy {
			continue
		}
		reports = append(reports, Report{
			Worker:       worker,
			Fault:        own.fault,
			FirstSeenAgo: millisecondsSince(c.now, own.firstSeen),
			LastSeenAgo:  millisecondsSince(c.now, own.lastSeen),
			Attempts:     own.attempts,
		})
	}
	return reports
}

func millisecondsSince(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }
