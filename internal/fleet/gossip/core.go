package gossip

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

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

// Core is one member's view of the fleet. It is not safe for concurrent use.
type Core struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action // of the Step in progress
	started bool
	stopped bool   // this member left, or another has taken its name
	self    Record // this member's own

	// The membership table.
	members    map[string]*member
	notAlive   int               // members that were not alive at the last sweep, and those suspected since
	candidates map[string]Record // members reported by others that have not answered yet

	// Failure detection.
	healthScore int // 0 is healthy
	probes      []*probe
	probeOrder  []string // names of all members, shuffled
	probeIndex  int      // of the next one to probe in probeOrder
	probeCount  int

	// Dissemination and anti-entropy.
	broadcasts    map[broadcastKey]*broadcast
	statements    map[string]Statement // the latest of each author
	summaryCursor int                  // of the last summary sent, in the members sorted by name

	budgets       budgets
	nextProbe     time.Duration
	nextGossip    time.Duration
	nextReconnect time.Duration
	nextSweep     time.Duration
}

// New returns a Core that knows no other member.
func New(c Config) *Core {
	core := &Core{
		config:     c,
		rng:        rand.New(rand.NewPCG(c.Seed, 1)),
		members:    map[string]*member{},
		candidates: map[string]Record{},
		broadcasts: map[broadcastKey]*broadcast{},
		statements: map[string]Statement{},
	}
	core.self = Record{Name: c.Name, Addr: Addr{c.Addr}, Epoch: c.Epoch, Incarnation: 1}
	core.signSelf()
	return core
}

func (c *Core) signSelf() {
	if c.config.Sign != nil {
		c.config.Sign(&c.self)
	}
}

// Step applies events that arrived by now, in order, does what is due, and returns the resulting actions in order.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	delay := now - c.Next() // since Step was due
	c.actions = nil
	if !c.started {
		c.started = true
		delay = 0
		c.nextProbe = now
		c.nextGossip = now
		c.nextReconnect = now
	}
	c.now = max(now, c.now)
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
	return c.actions
}

// Next returns by when Step must be called again.
func (c *Core) Next() time.Duration {
	if c.stopped {
		return math.MaxInt64
	}
	next := min(c.nextProbe, c.nextReconnect)
	if c.notAlive > 0 {
		next = min(next, c.nextSweep)
	}
	if len(c.broadcasts)+len(c.candidates) > 0 {
		next = min(next, c.nextGossip)
	}
	for _, p := range c.probes {
		next = min(next, p.sentAt+c.probeTimeout(p))
	}
	return next
}

func (c *Core) handleEvent(event Event) {
	switch event := event.(type) {
	case Received:
		c.handleMessage(event)
	case Broadcast:
		c.statements[c.config.Name] = event.Statement
		c.broadcastStatement(c.config.Name, &event.Statement)
		c.nextGossip = c.now
	case Leave:
		c.leave()
	case RemoveMember:
		c.forgetMember(event.Name)
	case UpdateSeeds:
		c.config.Seeds = event.Seeds
	}
}

// leave sends this member's last record to some members, which gossip it. Those it misses detect the silence.
func (c *Core) leave() {
	c.self.Gone = true
	c.signSelf()
	c.broadcastRecord(&c.self)
	c.sendGossip(leaveFanout)
	c.stopped = true
}

// stopForNameConflict stops this member for a later one of its name.
func (c *Core) stopForNameConflict(epoch int64) {
	c.stopped = true
	c.actions = append(c.actions, NameConflict{epoch})
}

// handleMessage applies what a message carries, and then handles it by its kind.
func (c *Core) handleMessage(received Received) {
	message := received.Message
	if received.From == c.config.Name {
		if received.Epoch > c.self.Epoch {
			c.stopForNameConflict(received.Epoch)
		}
		return
	}
	for _, record := range message.Records {
		c.mergeRecord(record)
	}
	from := c.members[received.From]
	if from != nil {
		from.lastContact = c.now
	}
	if c.stopped {
		return
	}
	if received.Trusted {
		for _, claim := range message.Claims {
			c.handleClaim(from, claim)
		}
	}
	for _, statement := range message.Statements {
		c.handleStatement(statement)
	}
	c.handleKind(received, from)
}

// handleKind handles a message by its kind. The sender is nil if it is not a member.
func (c *Core) handleKind(received Received, from *member) {
	switch received.Message.Kind {
	case Ping:
		if c.mayAnswer(from) {
			c.sendAck(received, from)
		}
	case Ack:
		c.handleAck(received)
	case Nack:
		c.handleNack(received)
	case IndirectPing:
		if from != nil && c.mayAnswer(from) {
			c.handleIndirectPing(received)
		}
	case Gossip:
		if len(received.Message.Want) > 0 && received.Trusted && c.mayAnswer(from) {
			c.sendRequestedRecords(received)
		}
	}
}

// runPeriodicTasks probes, reconnects and gossips when these are due.
func (c *Core) runPeriodicTasks() {
	if c.now >= c.nextProbe {
		c.nextProbe = c.now + c.scaleByHealth(c.config.ProbeInterval)
		c.probeNext()
	}
	if c.now >= c.nextReconnect {
		c.nextReconnect = c.now + reconnectInterval
		c.reconnect()
	}
	if c.now >= c.nextGossip && len(c.broadcasts)+len(c.candidates) > 0 {
		c.nextGossip = c.now + gossipInterval
		c.pingCandidate()
		c.sendGossip(gossipFanout)
	}
}
