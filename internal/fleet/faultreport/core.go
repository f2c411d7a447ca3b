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

// reasonEquivocation is why a member is muted that signed two statements with one sequence number.
const reasonEquivocation = "it tells different stories"

// Core is one scheduler's view of the fault reports in the fleet. It is not safe for concurrent use.
type Core struct {
	config    Config
	now       time.Duration
	fleetSize int // members, this one included
	endpoints map[string]bool
	actions   []Action // of the step in progress

	// This scheduler's own findings and their broadcast.
	findings            map[string]*finding
	findingsChanged     bool // since the latest broadcast
	broadcastAt         time.Duration
	emptyBroadcastsLeft int // statements without a report that are still to be broadcast

	// What was received, and the verdicts that it gives.
	reporters           map[string]*reporter
	cleared             []string // workers that a reporter has just withdrawn its report of
	verdicts            map[string]routing.PeerVerdict
	verdictsPublishedAt time.Duration
}

// New returns a Core that knows no workers, members or reports.
func New(c Config) *Core {
	return &Core{
		config:    c,
		fleetSize: 1,
		endpoints: map[string]bool{},
		findings:  map[string]*finding{},
		reporters: map[string]*reporter{},
		verdicts:  map[string]routing.PeerVerdict{},
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
	c.expire()
	c.broadcast()
	c.publishVerdicts()
	return c.actions
}

func (c *Core) apply(event Event) {
	switch event := event.(type) {
	case FaultObserved:
		c.observe(event)
	case EndpointsChanged:
		c.setEndpoints(event.Workers)
	case MembersChanged:
		c.setMembers(event.Names)
	case StatementReceived:
		c.receive(event)
	case EquivocationDetected:
		if sender := c.reporters[event.From]; sender != nil {
			c.mute(event.From, sender, reasonEquivocation)
		}
	case Configure:
		c.config = event.Config
	}
}

// Next is the time by which Step must be called again.
func (c *Core) Next() time.Duration {
	if len(c.verdicts) == 0 && c.emptyBroadcastsLeft == 0 && !c.findingsChanged {
		return c.now + idleStepInterval
	}
	return c.now + minBroadcastInterval
}

func (c *Core) expire() {
	c.expireReporters()
	c.expireFindings()
}
