package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// deadRetention is how long a dead or departed member is kept, so that stale records do not revive it.
	deadRetention = 60 * time.Second
	// maxCandidates is the maximum number of stored candidates.
	maxCandidates = 64
)

// State is the state of a member.
type State uint8

// Member states. Of two claims about the same incarnation, the one with the higher state takes precedence.
const (
	Alive State = iota
	Suspect
	Dead
	Left // announced its departure
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// InFleet reports whether a member in this state counts as part of the fleet.
func (s State) InFleet() bool { return s <= Suspect }

// Member is the state of another member as seen by a Core.
type Member struct {
	Record
	State      State
	StateSince time.Duration // time of the last state change
}

// member is a Member with the internal state of a Core about it.
type member struct {
	Member
	budgets     memberBudgets
	suspicion   suspicion     // valid while State is Suspect
	lastContact time.Duration // arrival of the last message sent by it; 0 if there was none
}

// currentClaim returns a claim with the known state of the member.
func (m *member) currentClaim() Claim {
	return Claim{Name: m.Name, Epoch: m.Epoch, Incarnation: m.Incarnation, State: m.State}
}

// newerThan reports whether the known state of the member is newer than a summary of it.
func (m *member) newerThan(summary Claim) bool {
	return cmp.Or(
		cmp.Compare(m.Epoch, summary.Epoch),
		cmp.Compare(m.Incarnation, summary.Incarnation),
		cmp.Compare(m.State, summary.State),
	) > 0
}

// memberTable is SWIM's membership list. It stores at most maxMembers other members and at most maxCandidates
// candidates.
type memberTable struct {
	maxMembers int
	members    map[string]*member
	order      []string          // names of all members in shuffled probe order
	notAlive   int               // members not alive at the last countNotAlive, plus those suspected since
	candidates map[string]Record // members reported by others that have not sent a message yet
}

func newMemberTable(maxMembers int) *memberTable {
	return &memberTable{maxMembers: maxMembers, members: map[string]*member{}, candidates: map[string]Record{}}
}

// get returns a member, or nil if it is unknown.
func (t *memberTable) get(name string) *member { return t.members[name] }

// len returns the number of members in any state.
func (t *memberTable) len() int { return len(t.members) }

// full reports whether the table has no space for another member.
func (t *memberTable) full() bool { return len(t.members) >= t.maxMembers }

// at returns the member at an index of the probe order.
func (t *memberTable) at(i int) *member { return t.members[t.order[i]] }

// inOrder returns all members in probe order.
func (t *memberTable) inOrder() []*member {
	list := make([]*member, 0, len(t.order))
	for _, name := range t.order {
		list = append(list, t.members[name])
	}
	return list
}

// names returns the names of all members, sorted.
func (t *memberTable) names() []string { return slices.Sorted(maps.Keys(t.members)) }

// list returns all members, sorted by name.
func (t *memberTable) list() []Member {
	list := make([]Member, 0, len(t.members))
	for _, name := range t.names() {
		list = append(list, t.members[name].Member)
	}
	return list
}

// inFleet returns the number of members that are alive or suspect.
func (t *memberTable) inFleet() int {
	count := 0
	for _, m := range t.members {
		if m.State.InFleet() {
			count++
		}
	}
	return count
}

// hasNotAlive reports whether some members may not be alive.
func (t *memberTable) hasNotAlive() bool { return t.notAlive > 0 }

// reachedAddrs returns the addresses of members that are alive or suspect.
func (t *memberTable) reachedAddrs() map[netip.AddrPort]bool {
	reached := map[netip.AddrPort]bool{}
	for _, m := range t.members {
		if m.State.InFleet() {
			reached[m.Addr.AddrPort] = true
		}
	}
	return reached
}

// addKnown adds a member as alive and already contacted, unless the member exists or the table is full.
func (t *memberTable) addKnown(now time.Duration, record Record) {
	if t.members[record.Name] != nil || t.full() {
		return
	}
	t.members[record.Name] = &member{
		Member:      Member{Record: record, State: Alive, StateSince: now},
		lastContact: max(now, 1),
	}
	t.order = append(t.order, record.Name)
}

// insert adds a member at a random position of the probe order. Its initial state is Dead, so that applying its record
// counts as a state change.
func (t *memberTable) insert(rng *rand.Rand, record Record) *member {
	inserted := &member{Member: Member{Record: record, State: Dead}}
	t.members[record.Name] = inserted
	t.order = slices.Insert(t.order, rng.IntN(len(t.order)+1), record.Name)
	return inserted
}

// remove drops a member.
func (t *memberTable) remove(name string) {
	delete(t.members, name)
	t.order = slices.DeleteFunc(t.order, func(other string) bool { return other == name })
}

// longestOutOfFleet returns the member that has been dead or departed longest, or nil if all members are in the fleet.
func (t *memberTable) longestOutOfFleet() *member {
	var oldest *member
	for i := range t.order {
		m := t.at(i)
		if !m.State.InFleet() && (oldest == nil || m.StateSince < oldest.StateSince) {
			oldest = m
		}
	}
	return oldest
}

// setRecord replaces the record of a member and removes the member from the candidates.
func (t *memberTable) setRecord(m *member, record Record) {
	delete(t.candidates, record.Name)
	m.Record = record
}

// setState sets the state of a member and reports whether it changed.
func (t *memberTable) setState(now time.Duration, m *member, state State) (changed bool) {
	if m.State == state {
		return false
	}
	if state == Suspect {
		t.notAlive++
		m.suspicion = suspicion{}
	}
	m.State = state
	m.StateSince = now
	return true
}

// countNotAlive recounts the members that are not alive.
func (t *memberTable) countNotAlive() {
	t.notAlive = 0
	for _, m := range t.members {
		if m.State != Alive {
			t.notAlive++
		}
	}
}

// extendSuspicions postpones the timeouts of current suspicions by a pause, in which no refutation could be received.
func (t *memberTable) extendSuspicions(pause time.Duration) {
	for _, m := range t.members {
		if m.State == Suspect {
			m.StateSince += pause
		}
	}
}

// markContacted records that a message from a member arrived.
func (t *memberTable) markContacted(now time.Duration, m *member) { m.lastContact = now }

// hasContacted reports whether a message from a member has arrived, which means that both sides know each other's key.
func (t *memberTable) hasContacted(name string) bool {
	m := t.members[name]
	return m != nil && m.lastContact > 0
}

// shuffle shuffles the probe order.
func (t *memberTable) shuffle(rng *rand.Rand) {
	rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// random returns up to count random members for which match returns true.
func (t *memberTable) random(rng *rand.Rand, count int, match func(*member) bool) []*member {
	var chosen []*member
	for _, i := range rng.Perm(len(t.order)) {
		if len(chosen) == count {
			break
		}
		if m := t.at(i); match(m) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// addCandidate stores an unsigned record, whose address a ping can verify, unless its subject is already a member in
// the fleet.
func (t *memberTable) addCandidate(record Record) {
	known := t.members[record.Name]
	if known != nil && known.Epoch >= record.Epoch && known.State.InFleet() {
		return
	}
	if !record.Gone && len(t.candidates) < maxCandidates {
		t.candidates[record.Name] = record
	}
}

// hasCandidates reports whether there are candidates.
func (t *memberTable) hasCandidates() bool { return len(t.candidates) > 0 }

// takeCandidate removes a random candidate and returns it. There must be at least one. The choice is random so that a
// member that reports nonexistent candidates cannot make these always come first.
func (t *memberTable) takeCandidate(rng *rand.Rand) Record {
	names := slices.Sorted(maps.Keys(t.candidates))
	name := names[rng.IntN(len(names))]
	candidate := t.candidates[name]
	delete(t.candidates, name)
	return candidate
}

func (t *memberTable) dropCandidate(name string) { delete(t.candidates, name) }
