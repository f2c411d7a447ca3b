// Package faultreport aggregates the fault reports that schedulers exchange about workers.
//
// Each scheduler broadcasts only the faults that it observed itself, and each signer counts once per worker. Core
// combines the reports into one verdict per worker; the Router decides how to act on it. Core does no I/O and reads no
// clock: the caller passes the events and the current time to Step.
//
// As long as no more than the configured number of members are byzantine, Core guarantees the following for any input:
//   - A worker is Confirmed only if at least one honest member reports it as faulty.
//   - At most Config.MaxEjectedFraction of the listed workers are Confirmed.
//   - A report expires after Config.ReportTTL unless it is repeated.
package faultreport

import (
	"time"

	"calicohill/routing"
)

// idleStepInterval is the longest time between two steps while there is nothing to broadcast or publish. Reporters and
// findings expire during a step.
const idleStepInterval = time.Second

// Reasons for ignoring a reporter, as they appear in the log.
const (
	reasonContradicted = "its reports contradict responses received here"
	reasonEquivocation = "it signed two different statements with one sequence number"
	reasonMassReports  = "it reported most workers as faulty"
)

// Core is one scheduler's view of the fault reports in the fleet. It orders the events and the actions; the findings,
// reporters and verdicts manage their own state. It is not safe for concurrent use.
type Core struct {
	config    Config
	now       time.Duration
	fleetSize int // number of members, including this one
	endpoints map[string]bool
	actions   []Action // actions of the current step

	findings    *findingTable
	broadcaster broadcaster
	reporters   *reporterTable
	verdicts    *verdictPublisher
}

// New returns a Core without workers, members or reports.
func New(c Config) *Core {
	return &Core{
		config:    c,
		fleetSize: 1,
		endpoints: map[string]bool{},
		findings:  newFindingTable(),
		reporters: newReporterTable(),
		verdicts:  newVerdictPublisher(),
	}
}

// Step applies events in order at the time now and returns the actions to carry out. If now is earlier than in a
// previous call, Step uses the latest time so far.
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

// Next returns the time by which Step must be called again.
func (c *Core) Next() time.Duration {
	if c.verdicts.empty() && !c.broadcaster.hasRepeats() && !c.findings.changed {
		return c.now + idleStepInterval
	}
	return c.now + minBroadcastInterval
}

// Quorum returns the number of reporters required to eject a worker: one more than the tolerated byzantine members, and
// at least minQuorum.
func (c *Core) Quorum() int { return quorumSize(c.fleetSize, c.config.MaxByzantine) }

// maxEjected returns the maximum number of Confirmed workers.
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

// setEndpoints replaces the listed workers and drops the findings on workers that are no longer listed.
func (c *Core) setEndpoints(workers []string) {
	clear(c.endpoints)
	for _, worker := range workers {
		c.endpoints[worker] = true
	}
	c.findings.retain(c.endpoints)
}

// receive replaces the reports of a member with the reports in its new statement. It drops malformed statements and
// statements of unknown members.
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
			continue // the sender may have a different version of the endpoint list
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
	c.verdicts.addCleared(sender.withdrawn(c.now, c.config.ReportTTL, previous))
}

// contradict lowers the reputation of each member whose report on the worker conflicts with a response. at is the time
// at which the answered request was sent.
func (c *Core) contradict(worker string, at time.Duration) {
	for _, name := range c.reporters.names() {
		if sender := c.reporters.get(name); sender.contradict(c.now, worker, at) {
			c.announceDiscredited(name, sender, reasonContradicted)
		}
	}
}

// mute ignores a member for muteDuration and announces it.
func (c *Core) mute(name string, sender *reporter, reason string) {
	sender.mute(c.now)
	c.announceDiscredited(name, sender, reason)
}

// announceDiscredited emits Discredited at most once until the member is trusted again.
func (c *Core) announceDiscredited(name string, sender *reporter, reason string) {
	if sender.markDiscredited() {
		c.actions = append(c.actions, Discredited{From: name, Reason: reason})
	}
}
