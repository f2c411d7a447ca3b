// Package gossip maintains the membership of a fleet of schedulers. Failures are detected by probing and disseminated by
// gossip as in SWIM (Das, Gupta and Motivala, 2002), with the local health multiplier of Lifeguard (Dadgar, Phillips
// and Currey, 2018). It also disseminates statements, which their author signs and all others only forward.
//
// Core makes every decision and does no I/O: Step is given the events that arrived and the time, and returns what is
// to be sent and what changed. Guard authenticates datagrams, rejects replays, and bounds the work spent on both.
//
// Whatever is received, these invariants hold: a Core sends at most Config.MaxMessagesPerSecond messages in any second, none
// of them longer than MaxDatagram; it holds at most Config.MaxMembers members; and a member is declared dead only after it
// failed to answer this member, or one that reported it, and did not refute the suspicion within Config.SuspicionTimeout.
package gossip

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// pauseThreshold is by how much Step may come late before this member takes itself to have been paused.
const pauseThreshold = 1500 * time.Millisecond

// Config configures a Core. Durations and counts must be positive.
type Config struct {
	Name                 string
	Addr                 netip.AddrPort // where other members reach this one
	Epoch                int64          // when this member started, Unix milliseconds
	Seeds                []netip.AddrPort
	ProbeInterval        time.Duration // interval between probes
	ProbeTimeout         time.Duration // of a direct probe
	SuspicionTimeout     time.Duration // suspicion timeout of a small fleet
	MaxMessagesPerSecond int           // maximum number sent in any second
	MaxMembers           int           // maximum number held
	Seed                 uint64        // of the random numbers
	// Sign signs this member's own record and must do nothing else. If it is nil, records are not signed.
	Sign func(*Record)
}

// Core is one member's view of the fleet. It owns the order in which events, timers and actions follow each other; each
// mechanism owns its state. It is not safe for concurrent use.
type Core struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	started bool
	stopped bool // this member left, or another has taken its name

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

// New returns a Core that knows no other member.
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

// AddKnownMembers adds members as alive and already contacted, for a start with a complete list.
func (c *Core) AddKnownMembers(now time.Duration, records []Record) {
	for _, record := range records {
		if record.Name != c.config.Name {
			c.table.addKnown(now, record)
		}
	}
	c.table.shuffle(c.rng)
}

// Step applies events that arrived by now, in order, does what is due, and returns the resulting actions in order.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	delay := now - c.Next() // since Step was due
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

// Next returns by when Step must be called again.
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

// hasGossip reports whether there is something that a round of gossip sends.
func (c *Core) hasGossip() bool {
	return c.dissemination.pending() > 0 || c.table.hasCandidates()
}

// recoverFromPause gives up on what this member waited for while it did not run, and extends suspicions by the pause.
func (c *Core) recoverFromPause(pause time.Duration) {
	c.detector.recoverFromPause()
	c.table.extendSuspicions(pause)
	c.nextProbe = c.now + c.config.ProbeInterval
}

// localMember is this member itself: its record, and what signs it.
type localMember struct {
	record Record
	sign   func(*Record) // nil if records are not signed
}

// newLocalMember returns a member in its first incarnation.
func newLocalMember(c Config) *localMember {
	l := &localMember{
		record: Record{Name: c.Name, Addr: Addr{c.Addr}, Epoch: c.Epoch, Incarnation: 1},
		sign:   c.Sign,
	}
	l.signRecord()
	return l
}

// refute contradicts what is claimed about this member by a new incarnation.
func (l *localMember) refute() {
	l.record.Incarnation++
	l.signRecord()
}

// leave marks this member as one that has left.
func (l *localMember) leave() {
	l.record.Gone = true
	l.signRecord()
}

func (l *localMember) signRecord() {
	if l.sign != nil {
		l.sign(&l.record)
	}
}
