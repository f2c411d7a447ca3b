// Package faultreport decides how much the fault reports of other schedulers about workers count.
//
// Each scheduler broadcasts what it observed itself, and only first-hand reports count, once for each signer. The
// reports together give each worker a verdict; the Router decides what it does with that. Core does no I/O and reads
// no clock: Step is given the events and the current time.
//
// The following holds whatever is received, as long as no more than the configured number of members are byzantine:
// no worker has the verdict Confirmed unless an honest member finds it unhealthy; never more than Config.MaxEjectedFraction
// of the listed workers are Confirmed; and no report counts for longer than Config.ReportTTL unless it is repeated.
package faultreport

import (
	"time"

	"calicohill/routing"
)

// idleStepInterval is the longest time between two steps while there is nothing to broadcast or publish, so that
// reporters and findings still expire.
const idleStepInterval = time.Second

// Why a reporter is ignored. Operators find these in the log.
const (
	reasonContradicted = "answers here belie what it says"
	reasonEquivocation = "it tells different stories" // it signed two statements with one sequence number
	reasonMassReports  = "it accuses most of the workers"
)

// Core is one scheduler's view of the fault reports in the fleet. It owns the order in which events are applied and
// actions emitted; findings, reporters and verdicts own their state. It is not safe for concurrent use.
type Core struct {
	config    Config
	now       time.Duration
	fleetSize int // members, this one included
	endpoints map[string]bool
	actions   []Action // of the step in progress

	findings    *findingTable
	broadcaster broadcaster
	reporters   *reporterTable
	verdicts    *verdictBoard
}

// New returns a Core that knows no workers, members or reports.
func New(c Config) *Core {
	return &Core{
		config:    c,
		fleetSize: 1,
		endpoints: map[string]bool{},
		findings:  newFindingTable(),
		reporters: newReporterTable(),
		verdicts:  newVerdictBoard(),
	}
}

// Step applies the events of one moment in order and returns the actions to carry out. Time never goes back: an
// earlier now counts as the latest one.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	c.now = max(now, c.now)
	c.actions = nil
	for _, event := range events {
		c.apply(event)
	}
	c.reporters.expire(c.now, c.config.ReportTTL, c.endpoints)
	c.findings.expire(c.now, c.config.ReportTTL)
	if statement, ok := c.broadcaster.next(c.now, c.config.ReportTTL, c.findings); ok {
		c.actions = append(c.actions, statement)
	}
	if verdicts, ok := c.verdicts.next(c.now, c.reporters.count(c.now), c.Quorum(), c.maxEjected()); ok {
		c.actions = append(c.actions, verdicts)
	}
	return c.actions
}

// Next is the time by which Step must be called again.
func (c *Core) Next() time.Duration {
	if c.verdicts.empty() && !c.broadcaster.repeats() && !c.findings.changed {
		return c.now + idleStepInterval
	}
	return c.now + minBroadcastInterval
}

// Quorum returns how many reporters it takes to have a worker ejected: one more than may be byzantine, and at least
// minQuorum.
func (c *Core) Quorum() int { return quorumOf(c.fleetSize, c.config.MaxByzantine) }

// maxEjected is how many workers may be Confirmed.
func (c *Core) maxEjected() int {
	return int(c.config.MaxEjectedFraction * float64(len(c.endpoints)))
}

func (c *Core) apply(event Event) {
	switch event := event.(type) {
	case FaultObserved:
		if c.findings.observe(event, c.endpoints[event.Worker]) && event.Fault == routing.Healthy {
			c.contradict(event.Worker, event.At)
		}
	case EndpointsChanged:
		c.setEndpoints(event.Workers)
	case MembersChanged:
		c.reporters.setMembers(event.Names)
		c.fleetSize = len(event.Names) + 1
	case StatementReceived:
		c.receive(event)
	case EquivocationDetected:
		if sender := c.reporters.get(event.From); sender != nil {
			c.mute(event.From, sender, reasonEquivocation)
		}
	case Configure:
		c.config = event.Config
	}
}

// setEndpoints replaces the listed workers and drops the findings on those that are gone.
func (c *Core) setEndpoints(workers []string) {
	clear(c.endpoints)
	for _, worker := range workers {
		c.endpoints[worker] = true
	}
	c.findings.retain(c.endpoints)
}

// receive replaces the reports of a member with those of its new statement. Malformed statements and those of unknown
// members are dropped.
func (c *Core) receive(statement StatementReceived) {
	sender := c.reporters.get(statement.From)
	if sender == nil {
		return
	}
	list, err := Decode(statement.Body)
	if err != nil {
		return
	}
	previous := sender.takeReports()
	listed := 0
	for _, report := range list {
		if !c.endpoints[report.Worker] {
			continue // the sender may have a newer or an older endpoint list
		}
		listed++
		counts := sender.store(c.now, c.config.ReportTTL, report, previous)
		if lastHealthy := c.findings.lastHealthy(report.Worker); counts && lastHealthy > 0 {
			c.contradict(report.Worker, lastHealthy)
		}
	}
	if listed > massReportThreshold && float64(listed) > massReportFraction*float64(len(c.endpoints)) {
		c.mute(statement.From, sender, reasonMassReports)
		return
	}
	c.verdicts.clear(sender.withdrawn(c.now, c.config.ReportTTL, previous))
}

// contradict lowers the reputation of those whose reports of a worker are contradicted by a response that it gave to a
// request which was sent at the given time.
func (c *Core) contradict(worker string, at time.Duration) {
	for _, name := range c.reporters.names() {
		if sender := c.reporters.get(name); sender.contradict(c.now, worker, at) {
			c.announceDiscredit(name, sender, reasonContradicted)
		}
	}
}

// mute ignores a member for a while.
func (c *Core) mute(name string, sender *reporter, reason string) {
	sender.mute(c.now)
	c.announceDiscredit(name, sender, reason)
}

// announceDiscredit emits Discredited, once until the member is trusted again.
func (c *Core) announceDiscredit(name string, sender *reporter, reason string) {
	if sender.markDiscredited() {
		c.actions = append(c.actions, Discredited{From: name, Why: reason})
	}
}
