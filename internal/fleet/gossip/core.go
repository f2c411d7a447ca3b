// Package gossip maintains the membership of a fleet of schedulers. It detects failures by probing and disseminates
// them by gossip as in SWIM (Das, Gupta and Motivala, 2002), with the local health multiplier of Lifeguard (Dadgar,
// Phillips and Currey, 2018). It also disseminates statements, which are signed by their author and forwarded
// unchanged.
//
// Core makes all protocol decisions and does no I/O: Step takes the current time and the events that arrived, and
// returns the messages to send and the changes to report. Guard authenticates datagrams, rejects replays, and bounds
// the cost of both.
//
// The following invariants hold for any input:
//   - A Core sends at most Config.MaxMessagesPerSecond messages in any second, none longer than MaxDatagram.
//   - A Core stores at most Config.MaxMembers members.
//   - A member is declared dead only after it failed to answer this member, or a member that reported it, and did not
//     refute the suspicion within Config.SuspicionTimeout.
package gossip

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// pauseThreshold is the delay of a Step call above which the process is assumed to have been paused.
const pauseThreshold = 1500 * time.Millisecond

// Config configures a Core. Durations and counts must be positive.
type Config struct {
	Name                 string
	Addr                 netip.AddrPort // address at which other members reach this one
	Epoch                int64          // start time of this member, Unix milliseconds
	Seeds                []netip.AddrPort
	ProbeInterval        time.Duration
	ProbeTimeout         time.Duration // timeout of a direct probe
	SuspicionTimeout     time.Duration // base value; larger fleets use a longer timeout
	MaxMessagesPerSecond int           // limit for any one-second window
	MaxMembers           int
	Seed                 uint64 // seed of the random number generator
	// Sign signs this member's own record and must have no other side effects. If it is nil, records are not signed.
	Sign func(*Record)
}

// Core is one member's view of the fleet. It sequences events, timers and actions; each mechanism below owns its own
// state. A Core is not safe for concurrent use.
type Core struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	started bool
	stopped bool // this member left, or another member started later with the same name

	self          *localMember
	table         *memberTable
	detector      *failureDetector
	dissemination *dissemination
	antiEntropy   *antiEntropy
	limits        *rateLimits
	outbox        *outbox

	nextProbe     time.Duration
	nextGossip    time.Duration
	nextReconnect time.Duration
	nextSweep     time.Duration
}

// New returns a Core without other members.
func New(c Config) *Core {
	core := &Core{
		config:        c,
		rng:           rand.New(rand.NewPCG(c.Seed, 1)),
		self:          newLocalMember(c),
		table:         newMemberTable(c.MaxMembers),
		detector:      newFailureDetector(c.ProbeInterval, c.ProbeTimeout),
		dissemination: newDissemination(c.Name, c.MaxMembers),
		antiEntropy:   newAntiEntropy(c.Addr, c.Seeds),
		limits:        newRateLimits(c.MaxMessagesPerSecond),
	}
	core.outbox = newOutbox(core.self, core.table, core.dissemination, core.limits)
	return core
}

// Members returns the other members, sorted by name.
func (c *Core) Members() []Member { return c.table.list() }

// NumMembers returns the number of members that are alive or suspect, this one included.
func (c *Core) NumMembers() int { return c.table.inFleet() + 1 }

// AddKnownMembers adds members as alive and already contacted. It is meant for simulations and benchmarks that start
// with a complete member list.
func (c *Core) AddKnownMembers(now time.Duration, records []Record) {
	for _, record := range records {
		if record.Name != c.config.Name {
			c.table.addKnown(now, record)
		}
	}
	c.table.shuffle(c.rng)
}

// Step applies events in order, runs the timers that are due at now, and returns the resulting actions in order.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	delay := now - c.Next() // lateness of this call
	if !c.started {
		c.started = true
		delay = 0
		c.nextProbe = now
		c.nextGossip = now
		c.nextReconnect = now
	}
	c.now = max(now, c.now)
	c.outbox.begin(c.now)
	if delay > pauseThreshold {
		c.recoverFromPause(delay)
	}
	for _, event := range events {
		if c.stopped {
			break
		}
		c.handleEvent(event)
	}
	if !c.stopped {
		c.expireProbes()
		c.sweepMembers()
		c.runPeriodicTasks()
	}
	return c.outbox.actions
}

// Next returns the time at which Step must be called next, even if no event arrives.
func (c *Core) Next() time.Duration {
	if c.stopped {
		return math.MaxInt64
	}
	next := min(c.nextProbe, c.nextReconnect, c.detector.nextTimeout())
	if c.table.hasNotAlive() {
		next = min(next, c.nextSweep)
	}
	if c.hasGossip() {
		next = min(next, c.nextGossip)
	}
	return next
}

// hasGossip reports whether a gossip round has anything to send.
func (c *Core) hasGossip() bool {
	return c.dissemination.numQueued() > 0 || c.table.hasCandidates()
}

// recoverFromPause abandons the probes that were in flight during a pause of the process, and extends suspicions by the
// length of the pause.
func (c *Core) recoverFromPause(pause time.Duration) {
	c.detector.recoverFromPause()
	c.table.extendSuspicions(pause)
	c.nextProbe = c.now + c.config.ProbeInterval
}

// localMember is this member's own record and the function that signs it.
type localMember struct {
	record Record
	sign   func(*Record) // nil if records are not signed
}

// newLocalMember returns the local member in its first incarnation.
func newLocalMember(c Config) *localMember {
	l := &localMember{
		record: Record{Name: c.Name, Addr: Addr{c.Addr}, Epoch: c.Epoch, Incarnation: 1},
		sign:   c.Sign,
	}
	l.signRecord()
	return l
}

// refute starts a new incarnation, which overrides claims about the previous one.
func (l *localMember) refute() {
	l.record.Incarnation++
	l.signRecord()
}

// leave marks this member's record as having left the fleet.
func (l *localMember) leave() {
	l.record.Gone = true
	l.signRecord()
}

func (l *localMember) signRecord() {
	if l.sign != nil {
		l.sign(&l.record)
	}
}
