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
	helpers      = 3                      // members asked to ask one that did not answer
	fanout       = 3                      // members that news goes to at a time
	newsEvery    = 200 * time.Millisecond // how often
	maxHealth    = 8                      // the worst local health; times grow with it
	syncEvery    = 5                      // every which probe compares what both know
	retryEvery   = 5 * time.Second        // how often one that is dead, or a seed, is asked
	forgetDead   = 60 * time.Second       // how long one that is gone is remembered, so that old news does not bring it back
	claimsRate   = 1.0                    // claims a second that are believed of one member, and
	claimsBurst  = 4.0                    // how many at once
	acksRate     = 1.0                    // pings a second of one member that are answered, and
	acksBurst    = 4.0                    // how many at once
	maxWaiting   = 64                     // candidates, and pings of others that are waited for
	repeatFactor = 2                      // how often news is told: this often times the logarithm of the members
	sweepEvery   = 100 * time.Millisecond // how often those suspected or gone are looked at
	lastAsks     = 3                      // how often a suspect is told so by this member itself before it counts as dead
	asksPart     = 0.1                    // of the messages, for that
	pausedFor    = 1500 * time.Millisecond
	packetRoom   = MaxDatagram - fixedBytes - 2*(maxName+1) - signatureLen - 64 // left for what a message carries
)

// Event is something that a Core is told. The concrete types are Received, Say, Leave, Drop and Retry.
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

// Drop says that a member no longer counts: its key does not.
type Drop struct{ Name string }

// Retry changes the seeds.
type Retry struct{ Seeds []netip.AddrPort }

func (Received) event() {}
func (Say) event()      {}
func (Leave) event()    {}
func (Drop) event()     {}
func (Retry) event()    {}

// Action is something that a Core asks for. The concrete types are Transmit, Changed, Forgotten, Heard and Usurped.
type Action interface{ action() }

// Transmit sends a message.
type Transmit struct {
	To      string // "" where only the address is known
	Addr    netip.AddrPort
	Inc     uint32 // the sender's
	Message *Message
}

// Changed says that a member is new, or another state holds for it.
type Changed struct{ Member Member }

// Forgotten says that nothing is held of a member any more.
type Forgotten struct{ Name string }

// Heard brings a statement that is new.
type Heard struct{ Statement Statement }

// Usurped says that another member of this one's name started later. Nothing is sent from then on.
type Usurped struct{ Epoch int64 }

func (Transmit) action()  {}
func (Changed) action()   {}
func (Heard) action()     {}
func (Forgotten) action() {}
func (Usurped) action()   {}

// Member is what a Core holds of another member.
type Member struct {
	Record
	State State
	Since time.Duration // when the state began
}

type member struct {
	Member
	acks, claims ratelimit.TokenBucket
	heard        time.Duration // when it last said something itself
	asked        int           // how often it was told that it is suspect
}

func (m *member) claim() Claim {
	return Claim{Name: m.Name, Epoch: m.Epoch, Inc: m.Inc, State: m.State}
}

// probe is a ping that is out.
type probe struct {
	name    string // "" of a seed
	nonce   uint64
	sent    time.Duration
	asked   bool // others were asked to ask
	nacks   int
	helpers int
	relay   string // who asked this member to ask
	its     uint64 // nonce
	nacked  bool
}

// news is something to be told on.
type news struct {
	record    *Record
	claim     *Claim
	statement *Statement
	told      int
}

// Core is one member's view of the fleet. It is not safe for concurrent use.
type Core struct {
	cfg                Config
	rng                *rand.Rand
	now                time.Duration
	acts               []Action
	started            bool
	silent             bool // it left or was usurped
	own                Record
	health             int // 0 is well
	members            map[string]*member
	order              []string // that members are probed in, shuffled
	next               int      // in it
	probes             []*probe
	queue              map[string]*news
	found              map[string]Record // who is said to be there, and has not answered yet
	budget             ratelimit.TokenBucket
	newsBudget         ratelimit.TokenBucket
	asksBudget         ratelimit.TokenBucket
	answers, strangers ratelimit.TokenBucket
	nonce              uint64
	nextProbe          time.Duration
	nextNews           time.Duration
	nextRetry          time.Duration
	nextSweep          time.Duration
	round              int
	cursor             int // among members, for summaries
	doubted            int // members that are not alive
	latest             map[string]Statement
	Sent               uint64 // messages so far
}

// New returns a Core that knows nobody.
func New(c Config) *Core {
	k := &Core{
		cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), members: map[string]*member{}, queue: map[string]*news{},
		found: map[string]Record{}, latest: map[string]Statement{},
	}
	k.own = Record{Name: c.Name, Addr: Addr{c.Addr}, Epoch: c.Epoch, Inc: 1}
	k.sign()
	return k
}

func (c *Core) sign() {
	if c.cfg.Sign != nil {
		c.cfg.Sign(&c.own)
	}
}

// Step tells the Core what happened at one moment, in order, and returns what is to be done.
func (c *Core) Step(now time.Duration, events []Event) []Action {
	gap := now - c.Next() // by how much the wish to be stepped was missed
	c.acts = nil
	if !c.started {
		c.started, gap = true, 0
		c.nextProbe, c.nextNews, c.nextRetry = now, now, now
	}
	c.now = max(now, c.now)
	if gap > pausedFor {
		c.paused(gap)
	}
	for _, e := range events {
		if c.silent {
			break
		}
		switch e := e.(type) {
		case Received:
			c.received(e)
		case Say:
			c.latest[c.cfg.Name] = e.Statement
			c.spread("s"+c.cfg.Name, &news{statement: &e.Statement})
			c.nextNews = c.now
		case Leave:
			c.own.Gone = true
			c.sign()
			c.spread("r"+c.cfg.Name, &news{record: &c.own})
			c.tell(2 * fanout)
			c.silent = true // whoever is not told finds out
		case Drop:
			c.forget(e.Name)
		case Retry:
			c.cfg.Seeds = e.Seeds
		}
	}
	if !c.silent {
		c.expire()
		c.due()
	}
	return c.acts
}

// Next is when Step must be called at the latest.
func (c *Core) Next() time.Duration {
	if c.silent {
		return math.MaxInt64
	}
	next := min(c.nextProbe, c.nextRetry)
	if c.doubted > 0 {
		next = min(next, c.nextSweep)
	}
	if len(c.queue)+len(c.found) > 0 {
		next = min(next, c.nextNews)
	}
	for _, p := range c.probes {
		next = min(next, p.sent+c.timeout(p))
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

// Count is how many members are taken to be there, this one included.
func (c *Core) Count() int {
	n := 1
	for _, m := range c.members {
		if m.State <= Suspect {
			n++
		}
	}
	return n
}

// Health is the local health: 0 is well, 8 the worst.
func (c *Core) Health() int { return c.health }

// paused forgets what was waited for while this member did not run: that nothing was heard proves nothing.
func (c *Core) paused(gap time.Duration) {
	c.probes = nil
	c.health = min(c.health+2, maxHealth)
	for _, m := range c.members {
		if m.State == Suspect {
			m.Since += gap
		}
	}
	c.nextProbe = c.now + c.cfg.ProbeEvery
}

// slow is a time that grows with the local health: a member that has trouble itself waits longer for others.
func (c *Core) slow(d time.Duration) time.Duration { return d * time.Duration(1+c.health) }

func (c *Core) timeout(p *probe) time.Duration {
	if p.relay != "" && !p.nacked {
		return c.cfg.ProbeTimeout * 4 / 5
	}
	if p.relay == "" && !p.asked {
		return min(c.slow(c.cfg.ProbeTimeout), c.slow(c.cfg.ProbeEvery)/2)
	}
	return c.slow(c.cfg.ProbeEvery)
}

// ---- what comes ----

func (c *Core) received(e Received) {
	m := e.Message
	if e.From == c.cfg.Name {
		if e.Epoch > c.own.Epoch {
			c.usurp(e.Epoch)
		}
		return
	}
	for _, r := range m.Records {
		c.record(r)
	}
	from := c.members[e.From]
	if from != nil {
		from.heard = c.now
	}
	if c.silent {
		return
	}
	if e.Trusted {
		for _, cl := range m.Claims {
			c.claim(from, cl)
		}
	}
	for _, s := range m.Statements {
		c.statement(s)
	}
	switch m.Kind {
	case Ping:
		if c.owes(from) {
			c.answer(e, from)
		}
	case Ack:
		c.acked(e)
	case Nack:
		if p := c.probing(m.Nonce); p != nil {
			p.nacks++
		}
	case Ask:
		if from != nil && c.owes(from) {
			c.ask(e)
		}
	case Gossip:
		if len(m.Want) > 0 && e.Trusted && c.owes(from) {
			c.send(e.From, e.Addr, &Message{Kind: Gossip, Records: c.wanted(m.Want)})
		}
	}
}

// owes reports whether a member is still owed an answer: each so many a second, all that are not members yet as many
// as three, and all together a part of what is sent. Otherwise one that asks all the time would leave nothing for this
// member's own pings and for the answers to others.
func (c *Core) owes(from *member) bool {
	own, parts := &c.strangers, 3.0
	if from != nil {
		own, parts = &from.acks, 1
	}
	most := float64(c.cfg.Messages)
	return own.Take(c.now, 1, parts*acksRate, parts*acksBurst) && c.answers.Take(c.now, 1, 0.3*most, 0.3*most)
}

// answer acknowledges a ping, with what its sender lacks.
func (c *Core) answer(e Received, from *member) {
	a := &Message{Kind: Ack, Nonce: e.Message.Nonce}
	if from == nil || len(e.Message.Cert) > 0 {
		a.Records = append(a.Records, c.own)
	}
	if from == nil {
		a.Want = append(a.Want, e.From)
	}
	if from != nil && from.State > Alive { // it is told what to contradict
		a.Claims = append(a.Claims, from.claim())
	}
	room := packetRoom - maxCert
	for _, s := range e.Message.Summaries {
		m := c.members[s.Name]
		switch {
		case s.Name == c.cfg.Name:
		case m == nil:
			// One that is gone is not asked for: it would be taken for alive.
			if s.State <= Suspect && len(a.Want) < maxItems/2 {
				a.Want = append(a.Want, s.Name)
				room -= len(s.Name) + 2
			}
		case newer(m.Epoch, m.Inc, m.State, s) && (m.State <= Suspect || m.Gone):
			if room -= m.size(); room > 0 {
				a.Records = append(a.Records, m.Record)
			}
		}
	}
	if len(e.Message.Summaries) > 0 || from == nil {
		// Whoever knows nobody asks with a list that is short: it gets some that are not in it.
		for _, m := range c.sample(fanout, func(m *member) bool {
			return m.State == Alive && m.Name != e.From && !slices.ContainsFunc(e.Message.Summaries,
				func(s Claim) bool { return s.Name == m.Name })
		}) {
			if room -= m.size(); room > 0 {
				a.Records = append(a.Records, m.Record)
			}
		}
	}
	c.send(e.From, e.Addr, a)
}

// newer reports whether what is held is later than a summary.
func newer(epoch int64, inc uint32, state State, s Claim) bool {
	return cmp.Or(cmp.Compare(epoch, s.Epoch), cmp.Compare(inc, s.Inc), cmp.Compare(state, s.State)) > 0
}

func (c *Core) wanted(names []string) (list []Record) {
	room := packetRoom
	for _, n := range names {
		if n == c.cfg.Name {
			list = append(list, c.own)
			room -= c.own.size()
		} else if m := c.members[n]; m != nil && m.State <= Suspect {
			if room -= m.size(); room > 0 {
				list = append(list, m.Record)
			}
		}
	}
	return list
}

func (c *Core) probing(nonce uint64) *probe {
	if i := slices.IndexFunc(c.probes, func(p *probe) bool { return p.nonce == nonce }); i >= 0 {
		return c.probes[i]
	}
	return nil
}

// acked takes in that a member has answered: the one that was asked, under a number that nobody else was told.
func (c *Core) acked(e Received) {
	p := c.probing(e.Message.Nonce)
	if p == nil {
		return
	}
	if p.name != "" && e.From != p.name && !p.asked {
		return
	}
	c.probes = slices.DeleteFunc(c.probes, func(o *probe) bool { return o == p })
	if p.relay != "" {
		if m := c.members[p.relay]; m != nil {
			c.send(m.Name, m.Addr.AddrPort, &Message{Kind: Ack, Nonce: p.its})
		}
		return
	}
	c.health = max(c.health-1, 0)
	if len(e.Message.Want) > 0 {
		c.send(e.From, e.Addr, &Message{Kind: Gossip, Records: c.wanted(e.Message.Want)})
	}
}

// ask pings another member for one that had no answer from it.
func (c *Core) ask(e Received) {
	m := c.members[e.Message.Target]
	if m == nil || len(c.probes) >= maxWaiting {
		c.send(e.From, e.Addr, &Message{Kind: Nack, Nonce: e.Message.Nonce})
		return
	}
	p := c.ping(m.Name, m.Addr.AddrPort, nil)
	if p != nil {
		p.relay, p.its = e.From, e.Message.Nonce
	}
}

// record takes in what a member says of itself. One without a signature only says where to ask, unless nobody
// signs here.
func (c *Core) record(r Record) {
	if r.Name == c.cfg.Name {
		if r.Epoch > c.own.Epoch && r.Sig != nil {
			c.usurp(r.Epoch)
		}
		return
	}
	m := c.members[r.Name]
	if c.cfg.Sign != nil && r.Sig == nil {
		known := m != nil && m.Epoch >= r.Epoch && m.State <= Suspect
		if !known && !r.Gone && len(c.found) < maxWaiting {
			c.found[r.Name] = r
		}
		return
	}
	state := Alive
	if r.Gone {
		state = Left
	}
	if m == nil {
		if state == Left || len(c.members) >= c.cfg.MaxMembers && !c.makeRoom() {
			return
		}
		m = &member{Member: Member{Record: r, State: Dead}}
		c.members[r.Name] = m
		c.order = slices.Insert(c.order, c.rng.IntN(len(c.order)+1), r.Name)
	} else if !(r.Epoch > m.Epoch || r.Epoch == m.Epoch && (r.Inc > m.Inc || r.Inc == m.Inc && state == Left && m.State != Left)) {
		return
	}
	delete(c.found, r.Name)
	m.Record = r
	c.turn(m, state)
	c.spread("r"+r.Name, &news{record: &m.Record})
}

// makeRoom forgets the member that has been gone longest.
func (c *Core) makeRoom() bool {
	var oldest *member
	for _, name := range c.order {
		if m := c.members[name]; m.State >= Dead && (oldest == nil || m.Since < oldest.Since) {
			oldest = m
		}
	}
	if oldest != nil {
		c.forget(oldest.Name)
	}
	return oldest != nil
}

func (c *Core) forget(name string) {
	if m := c.members[name]; m != nil {
		if m.State != Left {
			c.turn(m, Left)
		}
		delete(c.members, name)
		c.order = slices.DeleteFunc(c.order, func(n string) bool { return n == name })
	}
	c.acts = append(c.acts, Forgotten{name})
	delete(c.queue, "r"+name)
	delete(c.queue, "c"+name)
	delete(c.queue, "s"+name)
	delete(c.latest, name)
	delete(c.found, name)
}

func (c *Core) turn(m *member, s State) {
	if m.State != s {
		m.State, m.Since = s, c.now
		c.acts = append(c.acts, Changed{m.Member})
	}
}

// claim takes in what one member holds of another. It makes it suspect at the most: that is contradicted by a
// member that is there, and counts as true once it was not.
func (c *Core) claim(from *member, cl Claim) {
	if cl.State != Suspect && cl.State != Dead || from == nil || !from.claims.Take(c.now, 1, claimsRate, claimsBurst) {
		return
	}
	if cl.Name == c.cfg.Name {
		if cl.Epoch == c.own.Epoch && cl.Inc == c.own.Inc {
			c.own.Inc++
			c.sign()
			c.health = min(c.health+1, maxHealth)
			c.spread("r"+c.cfg.Name, &news{record: &c.own})
			c.nextNews = c.now
		}
		// News may miss one member in a fleet. Whoever still holds this one suspect is answered itself.
		if cl.Epoch == c.own.Epoch && c.owes(from) {
			c.send(from.Name, from.Addr.AddrPort, &Message{Kind: Gossip, Records: []Record{c.own}})
		}
		return
	}
	if m := c.members[cl.Name]; m != nil && m.Epoch == cl.Epoch && m.Inc == cl.Inc && m.State == Alive {
		c.suspect(m)
	}
}

func (c *Core) suspect(m *member) {
	c.doubted++
	m.asked = 0
	c.turn(m, Suspect)
	c.spread("c"+m.Name, &news{claim: ptr(m.claim())})
}

func ptr[T any](v T) *T { return &v }

func (c *Core) statement(s Statement) {
	old, ok := c.latest[s.Name]
	if ok && (s.Epoch < old.Epoch || s.Epoch == old.Epoch && s.Seq <= old.Seq) || s.Name == c.cfg.Name {
		return
	}
	if !ok && len(c.latest) >= c.cfg.MaxMembers {
		return
	}
	c.latest[s.Name] = s
	c.acts = append(c.acts, Heard{s})
	c.spread("s"+s.Name, &news{statement: &s})
}

func (c *Core) usurp(epoch int64) {
	c.silent = true
	c.acts = append(c.acts, Usurped{epoch})
}

// ---- what is due ----

// expire ends what was waited for long enough.
func (c *Core) expire() {
	for _, p := range slices.Clone(c.probes) {
		if c.now-p.sent < c.timeout(p) {
			continue
		}
		m := c.members[p.name]
		switch {
		case p.relay != "":
			if p.nacked {
				c.end(p)
			} else if r := c.members[p.relay]; r != nil {
				c.send(r.Name, r.Addr.AddrPort, &Message{Kind: Nack, Nonce: p.its})
			}
			p.nacked = true
		case m == nil:
			c.end(p)
		case !p.asked:
			p.asked = true
			for _, h := range c.sample(helpers, func(o *member) bool { return o.State == Alive && o != m }) {
				if c.send(h.Name, h.Addr.AddrPort, &Message{Kind: Ask, Nonce: p.nonce, Target: m.Name}) {
					p.helpers++
				}
			}
		default:
			c.failed(p, m)
		}
	}
	if c.now < c.nextSweep {
		return
	}
	c.nextSweep = c.now + sweepEvery
	// With more members news of a suspicion takes longer to reach the one suspected, and its word to come back.
	wait := time.Duration(float64(c.cfg.SuspectFor) * max(1, math.Log10(float64(len(c.members)+1))))
	c.doubted = 0
	for _, name := range slices.Clone(c.order) {
		m := c.members[name]
		if m.State != Alive {
			c.doubted++
		}
		switch {
		case m.State == Suspect && c.now-m.Since >= wait:
			c.turn(m, Dead)
			c.spread("c"+name, &news{claim: ptr(m.claim())})
		// Its word may have gone round without coming here, and the claim without reaching it.
		case m.State == Suspect && c.now-m.Since >= wait*time.Duration(m.asked+1)/(lastAsks+1) && c.mayAsk():
			m.asked++
			c.send(m.Name, m.Addr.AddrPort, &Message{Kind: Gossip, Claims: []Claim{m.claim()}})
		case m.State >= Dead && c.now-m.Since >= forgetDead:
			c.forget(name)
		}
	}
}

func (c *Core) mayAsk() bool {
	most := float64(c.cfg.Messages) * asksPart
	return c.asksBudget.Take(c.now, 1, most, most)
}

func (c *Core) end(p *probe) {
	c.probes = slices.DeleteFunc(c.probes, func(o *probe) bool { return o == p })
}

// failed takes in that nobody had an answer of a member. Where the helpers were not heard either, this member is
// as likely to be the one that is cut off.
func (c *Core) failed(p *probe, m *member) {
	c.end(p)
	c.health = min(c.health+1+max(0, p.helpers-p.nacks)/2, maxHealth)
	if m.State == Alive && m.heard < p.sent {
		c.suspect(m)
	}
}

// due does what its time has come for.
func (c *Core) due() {
	if c.now >= c.nextProbe {
		c.nextProbe = c.now + c.slow(c.cfg.ProbeEvery)
		c.probe()
	}
	if c.now >= c.nextRetry {
		c.nextRetry = c.now + retryEvery
		c.retry()
	}
	if c.now >= c.nextNews && len(c.queue)+len(c.found) > 0 {
		c.nextNews = c.now + newsEvery
		c.meet()
		c.tell(fanout)
	}
}

// probe asks the next member in a shuffled order whether it is there.
func (c *Core) probe() {
	c.round++
	for range len(c.order) {
		if c.next >= len(c.order) {
			c.next = 0
			c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
		}
		m := c.members[c.order[c.next]]
		c.next++
		if m.State <= Suspect {
			var known []Claim
			if c.round%syncEvery == 0 {
				known = c.summaries()
			}
			c.ping(m.Name, m.Addr.AddrPort, known)
			break
		}
	}
}

// meet asks one that is said to be there.
func (c *Core) meet() {
	most := float64(c.cfg.Messages)
	if len(c.found) == 0 || !c.newsBudget.Take(c.now, 1, 0.2*most, 0.3*most) {
		return
	}
	// At random, or one that tells of members which do not exist could have them always come first.
	names := slices.Sorted(maps.Keys(c.found))
	name := names[c.rng.IntN(len(names))]
	r := c.found[name]
	delete(c.found, name)
	c.ping(name, r.Addr.AddrPort, c.summaries())
}

// retry asks somebody who is not there: a seed of whom nothing is known, else one that is dead. Whoever was cut off
// is found again by it.
func (c *Core) retry() {
	var asked []netip.AddrPort
	for _, s := range c.cfg.Seeds {
		taken := s == c.cfg.Addr
		for _, m := range c.members {
			taken = taken || m.Addr.AddrPort == s && m.State <= Suspect
		}
		if !taken {
			asked = append(asked, s)
		}
	}
	if len(asked) > 0 {
		c.ping("", asked[c.rng.IntN(len(asked))], c.summaries())
	}
	for _, m := range c.sample(1, func(m *member) bool { return m.State == Dead }) {
		c.ping(m.Name, m.Addr.AddrPort, c.summaries(), m.claim())
	}
	if len(c.members) == 0 {
		c.nextRetry = c.now + c.cfg.ProbeEvery
	}
}

// summaries is what is known of some members, others each time.
func (c *Core) summaries() []Claim {
	list := []Claim{{Name: c.cfg.Name, Epoch: c.own.Epoch, Inc: c.own.Inc}}
	names := slices.Sorted(maps.Keys(c.members))
	for range min(len(names), maxItems/2-1) {
		c.cursor = (c.cursor + 1) % len(names)
		m := c.members[names[c.cursor]]
		list = append(list, m.claim())
	}
	return list
}

// sample is some members at random.
func (c *Core) sample(n int, ok func(*member) bool) (list []*member) {
	for _, i := range c.rng.Perm(len(c.order)) {
		if m := c.members[c.order[i]]; len(list) < n && ok(m) {
			list = append(list, m)
		}
		if len(list) == n {
			break
		}
	}
	return list
}

// ---- what is sent ----

func (c *Core) ping(name string, addr netip.AddrPort, known []Claim, claims ...Claim) *probe {
	c.nonce = c.rng.Uint64()
	m := &Message{Kind: Ping, Nonce: c.nonce, Summaries: known, Claims: claims}
	// Whoever asks for the first time says who it is.
	if held := c.members[name]; held == nil || held.heard == 0 || len(known) > 0 {
		m.Records = []Record{c.own}
	}
	if !c.send(name, addr, m) {
		return nil
	}
	p := &probe{name: name, nonce: c.nonce, sent: c.now}
	if len(c.probes) < 2*maxWaiting {
		c.probes = append(c.probes, p)
	}
	return p
}

// spread has news told on, in place of older news of the same kind on the same member.
func (c *Core) spread(key string, n *news) {
	switch key[0] {
	case 'r': // what a member says of itself ends what was claimed of it
		delete(c.queue, "c"+key[1:])
	case 'c':
		delete(c.queue, "r"+key[1:])
	}
	c.queue[key] = n
}

// tell sends news to some members by messages of their own.
func (c *Core) tell(to int) {
	for _, m := range c.sample(to, func(m *member) bool { return m.State <= Suspect }) {
		msg := &Message{Kind: Gossip}
		// News takes a part of the budget, so that pings and their answers always find some.
		most := float64(c.cfg.Messages)
		if len(c.queue) == 0 || !c.newsBudget.Take(c.now, 1, 0.2*most, 0.3*most) || !c.send(m.Name, m.Addr.AddrPort, msg) {
			return
		}
	}
	if len(c.order) == 0 {
		clear(c.queue) // nobody is there to hear it; whoever comes asks
	}
}

// send sends a message if the budget allows, with as much news as there is room for: what was told least first.
func (c *Core) send(name string, addr netip.AddrPort, m *Message) bool {
	// A rate and a burst that together are the most of any second.
	most := float64(c.cfg.Messages)
	if !c.budget.Take(c.now, 1, 0.6*most, 0.4*most) {
		return false
	}
	c.Sent++
	room := packetRoom - maxCert
	for _, r := range m.Records {
		room -= r.size()
	}
	for _, s := range m.Summaries {
		room -= s.size()
	}
	for _, n := range m.Want {
		room -= len(n) + 2
	}
	limit := repeatFactor * int(math.Ceil(math.Log2(float64(len(c.members)+2))))
	keys := slices.SortedFunc(maps.Keys(c.queue), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.queue[a].told, c.queue[b].told), cmp.Compare(a, b))
	})
	for _, k := range keys {
		n := c.queue[k]
		switch {
		case n.record != nil && room >= n.record.size() && len(m.Records) < maxItems:
			m.Records = append(m.Records, *n.record)
			room -= n.record.size()
		case n.claim != nil && room >= n.claim.size() && len(m.Claims) < maxItems:
			m.Claims = append(m.Claims, *n.claim)
			room -= n.claim.size()
		// Where the receiver knows this member no certificate goes along, and a statement may have its room.
		case n.statement != nil && room+maxCert >= n.statement.size() && len(m.Statements) < maxItems && name != "" && c.acquainted(name):
			m.Statements = append(m.Statements, *n.statement)
			room -= n.statement.size()
		default:
			continue
		}
		if n.told++; n.told >= limit {
			delete(c.queue, k)
		}
	}
	c.acts = append(c.acts, Transmit{To: name, Addr: addr, Inc: c.own.Inc, Message: m})
	return true
}

// acquainted reports whether a member has said something itself, so that both know each other's key.
func (c *Core) acquainted(name string) bool {
	m := c.members[name]
	return m != nil && m.heard > 0
}

// Introduce makes members known that were met before, without a word of theirs. It is for a start with a list.
func (c *Core) Introduce(now time.Duration, records []Record) {
	for _, r := range records {
		m := &member{Member: Member{Record: r, State: Alive, Since: now}, heard: max(now, 1)}
		if c.members[r.Name] == nil && len(c.members) < c.cfg.MaxMembers && r.Name != c.cfg.Name {
			c.members[r.Name] = m
			c.order = append(c.order, r.Name)
		}
	}
	c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}
