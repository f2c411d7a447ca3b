// Package gossip keeps the membership of a fleet of schedulers: who is there, found out by asking and told on by
// word of mouth, as in SWIM (Das, Gupta and Motivala, 2002), with the local health of Lifeguard (Dadgar, Phillips
// and Currey, 2018). It also carries statements, which each member signs and others only pass on.
//
// Core decides all of it and does no I/O: Step is told what came and what time it is, and returns what is to be
// sent and what changed. Guard decides which datagrams are read at all, and how much work may be spent on them.
//
// What holds, whatever is received: a Core sends no more than Config.Messages in any second, none of them over
// MaxDatagram; it holds no more than Config.MaxMembers members; a member is counted dead only after it was silent
// to this member, or to one that told so, and did not contradict within Config.SuspectFor.
package gossip

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"calicohill/internal/stats/ratelimit"
)

// State is what a member is taken to be.
type State uint8

// The states. Of two claims on one incarnation the later state holds.
const (
	Alive State = iota
	Suspect
	Dead
	Left // of its own accord
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Config is what a Core works with. Times of 0 and counts of 0 are not allowed.
type Config struct {
	Name         string
	Addr         netip.AddrPort // that others reach it at
	Epoch        int64          // its start, Unix milliseconds
	Seeds        []netip.AddrPort
	ProbeEvery   time.Duration
	ProbeTimeout time.Duration
	SuspectFor   time.Duration
	Messages     int // in any second, at the most
	MaxMembers   int
	Seed         uint64 // of random numbers
	// Sign signs this member's own record. It must do nothing else; nil leaves records unsigned.
	Sign func(*Record)
}

const (
	indirectProbes       = 3                      // members asked to ask one that did not answer
	gossipFanout         = 3                      // members that news goes to at a time
	gossipInterval       = 200 * time.Millisecond // how often
	maxHealthScore       = 8                      // the worst local health; times grow with it
	probesPerSync        = 5                      // every which probe compares what both know
	reconnectInterval    = 5 * time.Second        // how often one that is dead, or a seed, is asked
	deadRetention        = 60 * time.Second       // how long one that is gone is remembered, so that old news does not bring it back
	claimRate            = 1.0                    // claims a second that are believed of one member, and
	claimBurst           = 4.0                    // how many at once
	answerRate           = 1.0                    // pings a second of one member that are answered, and
	answerBurst          = 4.0                    // how many at once
	maxWaiting           = 64                     // candidates, and pings of others that are waited for
	retransmitMultiplier = 2                      // how often news is told: this often times the logarithm of the members
	sweepInterval        = 100 * time.Millisecond // how often those suspected or gone are looked at
	maxSuspicionNotices  = 3                      // how often a suspect is told so by this member itself before it counts as dead
	noticeShare          = 0.1                    // of the messages, for that
	pauseThreshold       = 1500 * time.Millisecond
	maxPayloadBytes      = MaxDatagram - fixedHeaderBytes - 2*(maxNameBytes+1) - signatureBytes - 64 // left for what a message carries
)

// Event is something that a Core is told. The concrete types are Received, Say, Leave, RemoveMember and UpdateSeeds.
type Event interface{ event() }

// Received is a message that a Guard let through.
type Received struct {
	From    string
	Addr    netip.AddrPort
	Epoch   int64
	Message *Message
	Trusted bool // no replay: what it claims is worth hearing
}

// Say has a statement of this member's told to all.
type Say struct{ Statement Statement }

// Leave has this member say that it goes.
type Leave struct{}

// RemoveMember says that a member no longer counts: its key does not.
type RemoveMember struct{ Name string }

// UpdateSeeds changes the seeds.
type UpdateSeeds struct{ Seeds []netip.AddrPort }

func (Received) event()     {}
func (Say) event()          {}
func (Leave) event()        {}
func (RemoveMember) event() {}
func (UpdateSeeds) event()  {}

// Action is something that a Core asks for. The concrete types are Transmit, MemberChanged, MemberForgotten, StatementReceived and NameConflict.
type Action interface{ action() }

// Transmit sends a message.
type Transmit struct {
	To      string // "" where only the address is known
	Addr    netip.AddrPort
	Inc     uint32 // the sender's
	Message *Message
}

// MemberChanged says that a member is new, or another state holds for it.
type MemberChanged struct{ Member Member }

// MemberForgotten says that nothing is held of a member any more.
type MemberForgotten struct{ Name string }

// StatementReceived brings a statement that is new.
type StatementReceived struct{ Statement Statement }

// NameConflict says that another member of this one's name started later. Nothing is sent from then on.
type NameConflict struct{ Epoch int64 }

func (Transmit) action()          {}
func (MemberChanged) action()     {}
func (StatementReceived) action() {}
func (MemberForgotten) action()   {}
func (NameConflict) action()      {}

// Member is what a Core holds of another member.
type Member struct {
	Record
	State      State
	StateSince time.Duration // when the state began
}

type member struct {
	Member
	ackBudget, claimBudget ratelimit.TokenBucket
	lastContact            time.Duration // when it last said something itself
	suspicionNotices       int           // how often it was told that it is suspect
}

func (m *member) currentClaim() Claim {
	return Claim{Name: m.Name, Epoch: m.Epoch, Incarnation: m.Incarnation, State: m.State}
}

// probe is a ping that is out.
type probe struct {
	target         string // "" of a seed
	nonce          uint64
	sentAt         time.Duration
	indirect       bool // others were asked to ask
	nacks          int
	relays         int
	requester      string // who asked this member to ask
	requesterNonce uint64 // nonce
	nackSent       bool
}

// news is something to be told on.
type broadcast struct {
	record    *Record
	claim     *Claim
	statement *Statement
	transmits int
}

// Core is one member's view of the fleet. It is not safe for concurrent use.
type Core struct {
	config                       Config
	rng                          *rand.Rand
	now                          time.Duration
	actions                      []Action
	started                      bool
	stopped                      bool // it left or was usurped
	self                         Record
	healthScore                  int // 0 is well
	members                      map[string]*member
	probeOrder                   []string // that members are probed in, shuffled
	probeIndex                   int      // in it
	probes                       []*probe
	broadcasts                   map[string]*broadcast
	candidates                   map[string]Record // who is said to be there, and has not answered yet
	sendBudget                   ratelimit.TokenBucket
	gossipBudget                 ratelimit.TokenBucket
	noticeBudget                 ratelimit.TokenBucket
	answerBudget, strangerBudget ratelimit.TokenBucket
	nonce                        uint64
	nextProbe                    time.Duration
	nextGossip                   time.Duration
	nextReconnect                time.Duration
	nextSweep                    time.Duration
	probeRound                   int
	summaryCursor                int // among members, for summaries
	notAlive                     int // members that are not alive
	statements                   map[string]Statement
	Sent                         uint64 // messages so far
}

// New returns a Core that knows nobody.
func New(c Config) *Core {
	k := &Core{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), members: map[string]*member{}, broadcasts: map[string]*broadcast{},
		candidates: map[string]Record{}, statements: map[string]Statement{},
	}
	k.self = Record{Name: c.Name, Addr: Addr{c.Addr}, Epoch: c.Epoch, Incarnation: 1}
	k.signSelf()
	return k
}

func (c *Core) signSelf() {
	if c.config.Sign != nil {
		c.config.Sign(&c.self)
	}
}

// Step tells the Core what happened at one moment, in order, and returns what is to be done.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	gap := now - c.Next() // by how much the wish to be stepped was missed
	c.actions = nil
	if !c.started {
		c.started, gap = true, 0
		c.nextProbe, c.nextGossip, c.nextReconnect = now, now, now
	}
	c.now = max(now, c.now)
	if gap > pauseThreshold {
		c.recoverFromPause(gap)
	}
	for _, e := range events {
		if c.stopped {
			break
		}
		switch e := e.(type) {
		case Received:
			c.handleMessage(e)
		case Say:
			c.statements[c.config.Name] = e.Statement
			c.enqueueBroadcast("s"+c.config.Name, &broadcast{statement: &e.Statement})
			c.nextGossip = c.now
		case Leave:
			c.self.Gone = true
			c.signSelf()
			c.enqueueBroadcast("r"+c.config.Name, &broadcast{record: &c.self})
			c.sendGossip(2 * gossipFanout)
			c.stopped = true // whoever is not told finds out
		case RemoveMember:
			c.forgetMember(e.Name)
		case UpdateSeeds:
			c.config.Seeds = e.Seeds
		}
	}
	if !c.stopped {
		c.expireTimeouts()
		c.runPeriodicTasks()
	}
	return c.actions
}

// Next is when Step must be called at the latest.
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

// Members is what is held of the others, by name.
func (c *Core) Members() []Member {
	list := make([]Member, 0, len(c.members))
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		list = append(list, c.members[name].Member)
	}
	return list
}

// NumMembers is how many members are taken to be there, this one included.
func (c *Core) NumMembers() int {
	n := 1
	for _, m := range c.members {
		if m.State <= Suspect {
			n++
		}
	}
	return n
}

// HealthScore is the local health: 0 is well, 8 the worst.
func (c *Core) HealthScore() int { return c.healthScore }

// paused forgets what was waited for while this member did not run: that nothing was heard proves nothing.
func (c *Core) recoverFromPause(gap time.Duration) {
	c.probes = nil
	c.healthScore = min(c.healthScore+2, maxHealthScore)
	for _, m := range c.members {
		if m.State == Suspect {
			m.StateSince += gap
		}
	}
	c.nextProbe = c.now + c.config.ProbeEvery
}

// slow is a time that grows with the local health: a member that has trouble itself waits longer for others.
func (c *Core) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+c.healthScore)
}

func (c *Core) probeTimeout(p *probe) time.Duration {
	if p.requester != "" && !p.nackSent {
		return c.config.ProbeTimeout * 4 / 5
	}
	if p.requester == "" && !p.indirect {
		return min(c.scaleByHealth(c.config.ProbeTimeout), c.scaleByHealth(c.config.ProbeEvery)/2)
	}
	return c.scaleByHealth(c.config.ProbeEvery)
}

// ---- what comes ----

func (c *Core) handleMessage(e Received) {
	m := e.Message
	if e.From == c.config.Name {
		if e.Epoch > c.self.Epoch {
			c.stopForNameConflict(e.Epoch)
		}
		return
	}
	for _, r := range m.Records {
		c.mergeRecord(r)
	}
	from := c.members[e.From]
	if from != nil {
		from.lastContact = c.now
	}
	if c.stopped {
		return
	}
	if e.Trusted {
		for _, cl := range m.Claims {
			c.handleClaim(from, cl)
		}
	}
	for _, s := range m.Statements {
		c.handleStatement(s)
	}
	switch m.Kind {
	case Ping:
		if c.mayAnswer(from) {
			c.sendAck(e, from)
		}
	case Ack:
		c.handleAck(e)
	case Nack:
		if p := c.probeByNonce(m.Nonce); p != nil {
			p.nacks++
		}
	case IndirectPing:
		if from != nil && c.mayAnswer(from) {
			c.handleIndirectPing(e)
		}
	case Gossip:
		if len(m.Want) > 0 && e.Trusted && c.mayAnswer(from) {
			c.transmit(e.From, e.Addr, &Message{Kind: Gossip, Records: c.requestedRecords(m.Want)})
		}
	}
}

// owes reports whether a member is still owed an answer: each so many a second, all that are not members yet as many
// as three, and all together a part of what is sent. Otherwise one that asks all the time would leave nothing for this
// member's own pings and for the answers to others.
func (c *Core) mayAnswer(from *member) bool {
	own, parts := &c.strangerBudget, 3.0
	if from != nil {
		own, parts = &from.ackBudget, 1
	}
	most := float64(c.config.Messages)
	return own.Take(c.now, 1, parts*answerRate, parts*answerBurst) && c.answerBudget.Take(c.now, 1, 0.3*most, 0.3*most)
}

// answer acknowledges a ping, with what its sender lacks.
func (c *Core) sendAck(e Received, from *member) {
	a := &Message{Kind: Ack, Nonce: e.Message.Nonce}
	if from == nil || len(e.Message.Cert) > 0 {
		a.Records = append(a.Records, c.self)
	}
	if from == nil {
		a.Want = append(a.Want, e.From)
	}
	if from != nil && from.State > Alive { // it is told what to contradict
		a.Claims = append(a.Claims, from.currentClaim())
	}
	room := maxPayloadBytes - maxCertBytes
	for _, s := range e.Message.Summaries {
		m := c.members[s.Name]
		switch {
		case s.Name == c.config.Name:
		case m == nil:
			// One that is gone is not asked for: it would be taken for alive.
			if s.State <= Suspect && len(a.Want) < maxItems/2 {
				a.Want = append(a.Want, s.Name)
				room -= len(s.Name) + 2
			}
		case supersedes(m.Epoch, m.Incarnation, m.State, s) && (m.State <= Suspect || m.Gone):
			if room -= m.size(); room > 0 {
				a.Records = append(a.Records, m.Record)
			}
		}
	}
	if len(e.Message.Summaries) > 0 || from == nil {
		// Whoever knows nobody asks with a list that is short: it gets some that are not in it.
		for _, m := range c.randomMembers(gossipFanout, func(m *member) bool {
			return m.State == Alive && m.Name != e.From && !slices.ContainsFunc(e.Message.Summaries,
				func(s Claim) bool { return s.Name == m.Name })
		}) {
			if room -= m.size(); room > 0 {
				a.Records = append(a.Records, m.Record)
			}
		}
	}
	c.transmit(e.From, e.Addr, a)
}

// newer reports whether what is held is later than a summary.
func supersedes(epoch int64, inc uint32, state State, s Claim) bool {
	return cmp.Or(cmp.Compare(epoch, s.Epoch), cmp.Compare(inc, s.Incarnation), cmp.Compare(state, s.State)) > 0
}

func (c *Core) requestedRecords(names []string) (list []Record) {
	room := maxPayloadBytes
	for _, n := range names {
		if n == c.config.Name {
			list = append(list, c.self)
			room -= c.self.size()
		} else if m := c.members[n]; m != nil && m.State <= Suspect {
			if room -= m.size(); room > 0 {
				list = append(list, m.Record)
			}
		}
	}
	return list
}

func (c *Core) probeByNonce(nonce uint64) *probe {
	if i := slices.IndexFunc(c.probes, func(p *probe) bool { return p.nonce == nonce }); i >= 0 {
		return c.probes[i]
	}
	return nil
}

// acked takes in that a member has answered: the one that was asked, under a number that nobody else was told.
func (c *Core) handleAck(e Received) {
	p := c.probeByNonce(e.Message.Nonce)
	if p == nil {
		return
	}
	if p.target != "" && e.From != p.target && !p.indirect {
		return
	}
	c.probes = slices.DeleteFunc(c.probes, func(o *probe) bool { return o == p })
	if p.requester != "" {
		if m := c.members[p.requester]; m != nil {
			c.transmit(m.Name, m.Addr.AddrPort, &Message{Kind: Ack, Nonce: p.requesterNonce})
		}
		return
	}
	c.healthScore = max(c.healthScore-1, 0)
	if len(e.Message.Want) > 0 {
		c.transmit(e.From, e.Addr, &Message{Kind: Gossip, Records: c.requestedRecords(e.Message.Want)})
	}
}

// ask pings another member for one that had no answer from it.
func (c *Core) handleIndirectPing(e Received) {
	m := c.members[e.Message.Target]
	if m == nil || len(c.probes) >= maxWaiting {
		c.transmit(e.From, e.Addr, &Message{Kind: Nack, Nonce: e.Message.Nonce})
		return
	}
	p := c.sendPing(m.Name, m.Addr.AddrPort, nil)
	if p != nil {
		p.requester, p.requesterNonce = e.From, e.Message.Nonce
	}
}

// record takes in what a member says of itself. One without a signature only says where to ask, unless nobody
// signs here.
func (c *Core) mergeRecord(r Record) {
	if r.Name == c.config.Name {
		if r.Epoch > c.self.Epoch && r.Sig != nil {
			c.stopForNameConflict(r.Epoch)
		}
		return
	}
	m := c.members[r.Name]
	if c.config.Sign != nil && r.Sig == nil {
		known := m != nil && m.Epoch >= r.Epoch && m.State <= Suspect
		if !known && !r.Gone && len(c.candidates) < maxWaiting {
			c.candidates[r.Name] = r
		}
		return
	}
	state := Alive
	if r.Gone {
		state = Left
	}
	if m == nil {
		if state == Left || len(c.members) >= c.config.MaxMembers && !c.evictOldestGone() {
			return
		}
		m = &member{Member: Member{Record: r, State: Dead}}
		c.members[r.Name] = m
		c.probeOrder = slices.Insert(c.probeOrder, c.rng.IntN(len(c.probeOrder)+1), r.Name)
	} else if !(r.Epoch > m.Epoch || r.Epoch == m.Epoch && (r.Incarnation > m.Incarnation || r.Incarnation == m.Incarnation && state == Left && m.State != Left)) {
		return
	}
	delete(c.candidates, r.Name)
	m.Record = r
	c.setState(m, state)
	c.enqueueBroadcast("r"+r.Name, &broadcast{record: &m.Record})
}

// makeRoom forgets the member that has been gone longest.
func (c *Core) evictOldestGone() bool {
	var oldest *member
	for _, name := range c.probeOrder {
		if m := c.members[name]; m.State >= Dead && (oldest == nil || m.StateSince < oldest.StateSince) {
			oldest = m
		}
	}
	if oldest != nil {
		c.forgetMember(oldest.Name)
	}
	return oldest != nil
}

func (c *Core) forgetMember(name string) {
	if m := c.members[name]; m != nil {
		if m.State != Left {
			c.setState(m, Left)
		}
		delete(c.members, name)
		c.probeOrder = slices.DeleteFunc(c.probeOrder, func(n string) bool { return n == name })
	}
	c.actions = append(c.actions, MemberForgotten{name})
	delete(c.broadcasts, "r"+name)
	delete(c.broadcasts, "c"+name)
	delete(c.broadcasts, "s"+name)
	delete(c.statements, name)
	delete(c.candidates, name)
}

func (c *Core) setState(m *member, s State) {
	if m.State != s {
		m.State, m.StateSince = s, c.now
		c.actions = append(c.actions, MemberChanged{m.Member})
	}
}

// claim takes in what one member holds of another. It makes it suspect at the most: that is contradicted by a
// member that is there, and counts as true once it was not.
func (c *Core) handleClaim(from *member, cl Claim) {
	if cl.State != Suspect && cl.State != Dead || from == nil || !from.claimBudget.Take(c.now, 1, claimRate, claimBurst) {
		return
	}
	if cl.Name == c.config.Name {
		if cl.Epoch == c.self.Epoch && cl.Incarnation == c.self.Incarnation {
			c.self.Incarnation++
			c.signSelf()
			c.healthScore = min(c.healthScore+1, maxHealthScore)
			c.enqueueBroadcast("r"+c.config.Name, &broadcast{record: &c.self})
			c.nextGossip = c.now
		}
		// News may miss one member in a fleet. Whoever still holds this one suspect is answered itself.
		if cl.Epoch == c.self.Epoch && c.mayAnswer(from) {
			c.transmit(from.Name, from.Addr.AddrPort, &Message{Kind: Gossip, Records: []Record{c.self}})
		}
		return
	}
	if m := c.members[cl.Name]; m != nil && m.Epoch == cl.Epoch && m.Incarnation == cl.Incarnation && m.State == Alive {
		c.suspectMember(m)
	}
}

func (c *Core) suspectMember(m *member) {
	c.notAlive++
	m.suspicionNotices = 0
	c.setState(m, Suspect)
	c.enqueueBroadcast("c"+m.Name, &broadcast{claim: ptr(m.currentClaim())})
}

func ptr[T any](v T) *T { return &v }

func (c *Core) handleStatement(s Statement) {
	old, ok := c.statements[s.Name]
	if ok && (s.Epoch < old.Epoch || s.Epoch == old.Epoch && s.Seq <= old.Seq) || s.Name == c.config.Name {
		return
	}
	if !ok && len(c.statements) >= c.config.MaxMembers {
		return
	}
	c.statements[s.Name] = s
	c.actions = append(c.actions, StatementReceived{s})
	c.enqueueBroadcast("s"+s.Name, &broadcast{statement: &s})
}

func (c *Core) stopForNameConflict(epoch int64) {
	c.stopped = true
	c.actions = append(c.actions, NameConflict{epoch})
}

// ---- what is due ----

// expire ends what was waited for long enough.
func (c *Core) expireTimeouts() {
	for _, p := range slices.Clone(c.probes) {
		if c.now-p.sentAt < c.probeTimeout(p) {
			continue
		}
		m := c.members[p.target]
		switch {
		case p.requester != "":
			if p.nackSent {
				c.endProbe(p)
			} else if r := c.members[p.requester]; r != nil {
				c.transmit(r.Name, r.Addr.AddrPort, &Message{Kind: Nack, Nonce: p.requesterNonce})
			}
			p.nackSent = true
		case m == nil:
			c.endProbe(p)
		case !p.indirect:
			p.indirect = true
			for _, h := range c.randomMembers(indirectProbes, func(o *member) bool { return o.State == Alive && o != m }) {
				if c.transmit(h.Name, h.Addr.AddrPort, &Message{Kind: IndirectPing, Nonce: p.nonce, Target: m.Name}) {
					p.relays++
				}
			}
		default:
			c.handleProbeFailure(p, m)
		}
	}
	if c.now < c.nextSweep {
		return
	}
	c.nextSweep = c.now + sweepInterval
	// With more members news of a suspicion takes longer to reach the one suspected, and its word to come back.
	wait := time.Duration(float64(c.config.SuspectFor) * max(1, math.Log10(float64(len(c.members)+1))))
	c.notAlive = 0
	for _, name := range slices.Clone(c.probeOrder) {
		m := c.members[name]
		if m.State != Alive {
			c.notAlive++
		}
		switch {
		case m.State == Suspect && c.now-m.StateSince >= wait:
			c.setState(m, Dead)
			c.enqueueBroadcast("c"+name, &broadcast{claim: ptr(m.currentClaim())})
		// Its word may have gone round without coming here, and the claim without reaching it.
		case m.State == Suspect && c.now-m.StateSince >= wait*time.Duration(m.suspicionNotices+1)/(maxSuspicionNotices+1) && c.mayNotifySuspect():
			m.suspicionNotices++
			c.transmit(m.Name, m.Addr.AddrPort, &Message{Kind: Gossip, Claims: []Claim{m.currentClaim()}})
		case m.State >= Dead && c.now-m.StateSince >= deadRetention:
			c.forgetMember(name)
		}
	}
}

func (c *Core) mayNotifySuspect() bool {
	most := float64(c.config.Messages) * noticeShare
	return c.noticeBudget.Take(c.now, 1, most, most)
}

func (c *Core) endProbe(p *probe) {
	c.probes = slices.DeleteFunc(c.probes, func(o *probe) bool { return o == p })
}

// failed takes in that nobody had an answer of a member. Where the helpers were not heard either, this member is
// as likely to be the one that is cut off.
func (c *Core) handleProbeFailure(p *probe, m *member) {
	c.endProbe(p)
	c.healthScore = min(c.healthScore+1+max(0, p.relays-p.nacks)/2, maxHealthScore)
	if m.State == Alive && m.lastContact < p.sentAt {
		c.suspectMember(m)
	}
}

// due does what its time has come for.
func (c *Core) runPeriodicTasks() {
	if c.now >= c.nextProbe {
		c.nextProbe = c.now + c.scaleByHealth(c.config.ProbeEvery)
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

// probe asks the next member in a shuffled order whether it is there.
func (c *Core) probeNext() {
	c.probeRound++
	for range len(c.probeOrder) {
		if c.probeIndex >= len(c.probeOrder) {
			c.probeIndex = 0
			c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
		}
		m := c.members[c.probeOrder[c.probeIndex]]
		c.probeIndex++
		if m.State <= Suspect {
			var known []Claim
			if c.probeRound%probesPerSync == 0 {
				known = c.summaries()
			}
			c.sendPing(m.Name, m.Addr.AddrPort, known)
			break
		}
	}
}

// meet asks one that is said to be there.
func (c *Core) pingCandidate() {
	most := float64(c.config.Messages)
	if len(c.candidates) == 0 || !c.gossipBudget.Take(c.now, 1, 0.2*most, 0.3*most) {
		return
	}
	// At random, or one that tells of members which do not exist could have them always come first.
	names := slices.Sorted(maps.Keys(c.candidates))
	name := names[c.rng.IntN(len(names))]
	r := c.candidates[name]
	delete(c.candidates, name)
	c.sendPing(name, r.Addr.AddrPort, c.summaries())
}

// retry asks somebody who is not there: a seed of whom nothing is known, else one that is dead. Whoever was cut off
// is found again by it.
func (c *Core) reconnect() {
	var asked []netip.AddrPort
	for _, s := range c.config.Seeds {
		taken := s == c.config.Addr
		for _, m := range c.members {
			taken = taken || m.Addr.AddrPort == s && m.State <= Suspect
		}
		if !taken {
			asked = append(asked, s)
		}
	}
	if len(asked) > 0 {
		c.sendPing("", asked[c.rng.IntN(len(asked))], c.summaries())
	}
	for _, m := range c.randomMembers(1, func(m *member) bool { return m.State == Dead }) {
		c.sendPing(m.Name, m.Addr.AddrPort, c.summaries(), m.currentClaim())
	}
	if len(c.members) == 0 {
		c.nextReconnect = c.now + c.config.ProbeEvery
	}
}

// summaries is what is known of some members, others each time.
func (c *Core) summaries() []Claim {
	list := []Claim{{Name: c.config.Name, Epoch: c.self.Epoch, Incarnation: c.self.Incarnation}}
	names := slices.Sorted(maps.Keys(c.members))
	for range min(len(names), maxItems/2-1) {
		c.summaryCursor = (c.summaryCursor + 1) % len(names)
		m := c.members[names[c.summaryCursor]]
		list = append(list, m.currentClaim())
	}
	return list
}

// sample is some members at random.
func (c *Core) randomMembers(n int, ok func(*member) bool) (list []*member) {
	for _, i := range c.rng.Perm(len(c.probeOrder)) {
		if m := c.members[c.probeOrder[i]]; len(list) < n && ok(m) {
			list = append(list, m)
		}
		if len(list) == n {
			break
		}
	}
	return list
}

// ---- what is sent ----

func (c *Core) sendPing(name string, addr netip.AddrPort, known []Claim, claims ...Claim) *probe {
	c.nonce = c.rng.Uint64()
	m := &Message{Kind: Ping, Nonce: c.nonce, Summaries: known, Claims: claims}
	// Whoever asks for the first time says who it is.
	if held := c.members[name]; held == nil || held.lastContact == 0 || len(known) > 0 {
		m.Records = []Record{c.self}
	}
	if !c.transmit(name, addr, m) {
		return nil
	}
	p := &probe{target: name, nonce: c.nonce, sentAt: c.now}
	if len(c.probes) < 2*maxWaiting {
		c.probes = append(c.probes, p)
	}
	return p
}

// spread has news told on, in place of older news of the same kind on the same member.
func (c *Core) enqueueBroadcast(key string, n *broadcast) {
	switch key[0] {
	case 'r': // what a member says of itself ends what was claimed of it
		delete(c.broadcasts, "c"+key[1:])
	case 'c':
		delete(c.broadcasts, "r"+key[1:])
	}
	c.broadcasts[key] = n
}

// tell sends news to some members by messages of their own.
func (c *Core) sendGossip(to int) {
	for _, m := range c.randomMembers(to, func(m *member) bool { return m.State <= Suspect }) {
		msg := &Message{Kind: Gossip}
		// News takes a part of the budget, so that pings and their answers always find some.
		most := float64(c.config.Messages)
		if len(c.broadcasts) == 0 || !c.gossipBudget.Take(c.now, 1, 0.2*most, 0.3*most) || !c.transmit(m.Name, m.Addr.AddrPort, msg) {
			return
		}
	}
	if len(c.probeOrder) == 0 {
		clear(c.broadcasts) // nobody is there to hear it; whoever comes asks
	}
}

// send sends a message if the budget allows, with as much news as there is room for: what was told least first.
func (c *Core) transmit(name string, addr netip.AddrPort, m *Message) bool {
	// A rate and a burst that together are the most of any second.
	most := float64(c.config.Messages)
	if !c.sendBudget.Take(c.now, 1, 0.6*most, 0.4*most) {
		return false
	}
	c.Sent++
	room := maxPayloadBytes - maxCertBytes
	for _, r := range m.Records {
		room -= r.size()
	}
	for _, s := range m.Summaries {
		room -= s.size()
	}
	for _, n := range m.Want {
		room -= len(n) + 2
	}
	limit := retransmitMultiplier * int(math.Ceil(math.Log2(float64(len(c.members)+2))))
	keys := slices.SortedFunc(maps.Keys(c.broadcasts), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.broadcasts[a].transmits, c.broadcasts[b].transmits), cmp.Compare(a, b))
	})
	for _, k := range keys {
		n := c.broadcasts[k]
		switch {
		case n.record != nil && room >= n.record.size() && len(m.Records) < maxItems:
			m.Records = append(m.Records, *n.record)
			room -= n.record.size()
		case n.claim != nil && room >= n.claim.size() && len(m.Claims) < maxItems:
			m.Claims = append(m.Claims, *n.claim)
			room -= n.claim.size()
		// Where the receiver knows this member no certificate goes along, and a statement may have its room.
		case n.statement != nil && room+maxCertBytes >= n.statement.size() && len(m.Statements) < maxItems && name != "" && c.hasContacted(name):
			m.Statements = append(m.Statements, *n.statement)
			room -= n.statement.size()
		default:
			continue
		}
		if n.transmits++; n.transmits >= limit {
			delete(c.broadcasts, k)
		}
	}
	c.actions = append(c.actions, Transmit{To: name, Addr: addr, Inc: c.self.Incarnation, Message: m})
	return true
}

// acquainted reports whether a member has said something itself, so that both know each other's key.
func (c *Core) hasContacted(name string) bool {
	m := c.members[name]
	return m != nil && m.lastContact > 0
}

// AddKnownMembers makes members known that were met before, without a word of theirs. It is for a start with a list.
func (c *Core) AddKnownMembers(now time.Duration, records []Record) {
	for _, r := range records {
		m := &member{Member: Member{Record: r, State: Alive, StateSince: now}, lastContact: max(now, 1)}
		if c.members[r.Name] == nil && len(c.members) < c.config.MaxMembers && r.Name != c.config.Name {
			c.members[r.Name] = m
			c.probeOrder = append(c.probeOrder, r.Name)
		}
	}
	c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
}
