package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"calicohill/internal/stats/ratelimit"
)

// State is the state of a member.
type State uint8

// The states. Of two claims about one incarnation the one with the later state supersedes the other.
const (
	Alive State = iota
	Suspect
	Dead
	Left // left the fleet of its own accord
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// InFleet reports whether a member of this state still counts as one of the fleet.
func (s State) InFleet() bool { return s <= Suspect }

// deadRetention is how long a dead or departed member is remembered, so that stale records do not bring it back.
const deadRetention = 60 * time.Second

// Member is what a Core knows of another member.
type Member struct {
	Record
	State      State
	StateSince time.Duration // when it entered the state
}

// member is a Member with the bookkeeping that a Core needs for it.
type member struct {
	Member
	answerBudget     ratelimit.TokenBucket // requests of it that are answered
	claimBudget      ratelimit.TokenBucket // claims of it that are applied
	lastContact      time.Duration         // when it last sent a message itself; 0 if it never did
	suspicionNotices int                   // notices sent to it about the present suspicion
}

// currentClaim is the claim that this member makes about another.
func (m *member) currentClaim() Claim {
	return Claim{Name: m.Name, Epoch: m.Epoch, Incarnation: m.Incarnation, State: m.State}
}

// newerThan reports whether what is known of the member is newer than a summary of it.
func (m *member) newerThan(summary Claim) bool {
	return cmp.Or(
		cmp.Compare(m.Epoch, summary.Epoch),
		cmp.Compare(m.Incarnation, summary.Incarnation),
		cmp.Compare(m.State, summary.State),
	) > 0
}

// Members returns the other members, sorted by name.
func (c *Core) Members() []Member {
	list := make([]Member, 0, len(c.members))
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		list = append(list, c.members[name].Member)
	}
	return list
}

// NumMembers returns the number of members that are alive or suspect, this one included.
func (c *Core) NumMembers() int {
	count := 1
	for _, m := range c.members {
		if m.State.InFleet() {
			count++
		}
	}
	return count
}

// AddKnownMembers adds members as alive and already contacted, for a start with a complete list.
func (c *Core) AddKnownMembers(now time.Duration, records []Record) {
	for _, record := range records {
		known := c.members[record.Name] != nil || record.Name == c.config.Name
		if known || len(c.members) >= c.config.MaxMembers {
			continue
		}
		c.members[record.Name] = &member{
			Member:      Member{Record: record, State: Alive, StateSince: now},
			lastContact: max(now, 1),
		}
		c.probeOrder = append(c.probeOrder, record.Name)
	}
	c.shuffleProbeOrder()
}

// mergeRecord applies the record of a member. Where records are signed, one without a signature only makes its member
// a candidate.
func (c *Core) mergeRecord(record Record) {
	if record.Name == c.config.Name {
		if record.Epoch > c.self.Epoch && record.Sig != nil {
			c.stopForNameConflict(record.Epoch)
		}
		return
	}
	known := c.members[record.Name]
	if c.config.Sign != nil && record.Sig == nil {
		c.addCandidate(known, record)
		return
	}
	if known == nil {
		if record.Gone || !c.ensureCapacity() {
			return
		}
		known = c.insertMember(record)
	} else if !record.supersedes(known.Epoch, known.Incarnation, known.State == Left) {
		return
	}
	delete(c.candidates, record.Name)
	known.Record = record
	if record.Gone {
		c.setState(known, Left)
	} else {
		c.setState(known, Alive)
	}
	c.broadcastRecord(&known.Record)
}

// insertMember adds a member at a random position of the probe order. It is dead until its record has been applied, so
// that this shows as a change of state.
func (c *Core) insertMember(record Record) *member {
	inserted := &member{Member: Member{Record: record, State: Dead}}
	c.members[record.Name] = inserted
	c.probeOrder = slices.Insert(c.probeOrder, c.rng.IntN(len(c.probeOrder)+1), record.Name)
	return inserted
}

// ensureCapacity makes sure that one more member can be held. If need be it forgets the one that has been dead or
// departed longest; it reports false if there is none.
func (c *Core) ensureCapacity() bool {
	if len(c.members) < c.config.MaxMembers {
		return true
	}
	var oldest *member
	for _, name := range c.probeOrder {
		m := c.members[name]
		if !m.State.InFleet() && (oldest == nil || m.StateSince < oldest.StateSince) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	c.forgetMember(oldest.Name)
	return true
}

// forgetMember drops all knowledge of a member.
func (c *Core) forgetMember(name string) {
	if m := c.members[name]; m != nil {
		c.setState(m, Left)
		delete(c.members, name)
		c.probeOrder = slices.DeleteFunc(c.probeOrder, func(other string) bool { return other == name })
	}
	c.actions = append(c.actions, MemberForgotten{name})
	c.cancelBroadcasts(name)
	delete(c.statements, name)
	delete(c.candidates, name)
}

// setState changes the state of a member, and reports it if it is another.
func (c *Core) setState(m *member, state State) {
	if m.State == state {
		return
	}
	m.State = state
	m.StateSince = c.now
	c.actions = append(c.actions, MemberChanged{m.Member})
}

// randomMembers returns up to count random members that match.
func (c *Core) randomMembers(count int, match func(*member) bool) []*member {
	var chosen []*member
	for _, i := range c.rng.Perm(len(c.probeOrder)) {
		if len(chosen) == count {
			break
		}
		if m := c.members[c.probeOrder[i]]; match(m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// hasContacted reports whether a member has sent a message itself, so that both sides know each other's key.
func (c *Core) hasContacted(name string) bool {
	m := c.members[name]
	return m != nil && m.lastContact > 0
}
