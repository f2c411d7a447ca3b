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
	// deadRetention is how long a dead or departed member is remembered, so that stale records do not bring it back.
	deadRetention = 60 * time.Second
	// maxCandidates is how many candidates are held.
	maxCandidates = 64
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

// Member is what a Core knows of another member.
type Member struct {
	Record
	State      State
	StateSince time.Duration // when it entered the state
}

// member is a Member with the bookkeeping that a Core needs for it.
type member struct {
	Member
	budgets     memberBudgets
	suspicion   suspicion     // while it is suspect
	lastContact time.Duration // when it last sent a message itself; 0 if it never did
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

// memberTable is the membership list of SWIM: the other members, and candidates for it. It holds at most maxMembers
// members and maxCandidates candidates.
type memberTable struct {
	maxMembers int
	members    map[string]*member
	order      []string          // the names of all members, shuffled: in this order they are probed and chosen
	notAlive   int               // members that were not alive at the last count, and those suspected since
	candidates map[string]Record // members reported by others that have not answered yet
}

func newMemberTable(maxMembers int) *memberTable {
	return &memberTable{maxMembers: maxMembers, members: map[string]*member{}, candidates: map[string]Record{}}
}

// get returns a member, or nil.
func (t *memberTable) get(name string) *member { return t.members[name] }

// len returns the number of members, whatever their state.
func (t *memberTable) len() int { return len(t.members) }

// full reports whether no more members can be held.
func (t *memberTable) full() bool { return len(t.members) >= t.maxMembers }

// at returns the member at an index of the order.
func (t *memberTable) at(i int) *member { return t.members[t.order[i]] }

// inOrder returns all members in their order.
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

// hasNotAlive reports whether there may be members that are not alive.
func (t *memberTable) hasNotAlive() bool { return t.notAlive > 0 }

// reachedAddrs returns the addresses at which there is a member that is alive or suspect.
func (t *memberTable) reachedAddrs() map[netip.AddrPort]bool {
	reached := map[netip.AddrPort]bool{}
	for _, m := range t.members {
		if m.State.InFleet() {
			reached[m.Addr.AddrPort] = true
		}
	}
	return reached
}

// addKnown adds a member as alive and already contacted, unless it is known or the table is full.
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

// insert adds a member at a random position of the order. It is dead until its record has been applied, so that this
// shows as a change of state.
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

// longestGone returns the member that has been dead or departed longest, or nil if all are in the fleet.
func (t *memberTable) longestGone() *member {
	var oldest *member
	for i := range t.order {
		m := t.at(i)
		if !m.State.InFleet() && (oldest == nil || m.StateSince < oldest.StateSince) {
			oldest = m
		}
	}
	return oldest
}

// setRecord replaces the record of a member, which is no candidate any more.
func (t *memberTable) setRecord(m *member, record Record) {
	delete(t.candidates, record.Name)
	m.Record = record
}

// setState changes the state of a member, and reports whether it is another.
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

// countNotAlive counts the members that are not alive.
func (t *memberTable) countNotAlive() {
	t.notAlive = 0
	for _, m := range t.members {
		if m.State != Alive {
			t.notAlive++
		}
	}
}

// extendSuspicions has the present suspicions begin later, by the time in which nothing could be received.
func (t *memberTable) extendSuspicions(pause time.Duration) {
	for _, m := range t.members {
		if m.State == Suspect {
			m.StateSince += pause
		}
	}
}

// markContacted notes that a member has sent a message itself.
func (t *memberTable) markContacted(now time.Duration, m *member) { m.lastContact = now }

// hasContacted reports whether a member has sent a message itself, so that both sides know each other's key.
func (t *memberTable) hasContacted(name string) bool {
	m := t.members[name]
	return m != nil && m.lastContact > 0
}

// shuffle shuffles the order.
func (t *memberTable) shuffle(rng *rand.Rand) {
	rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// random returns up to count random members that match.
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

// addCandidate notes where a member may be found whose record is not signed, unless it is a member already.
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

// takeCandidate removes one of the candidates, of which there must be some, and returns it. It is chosen at random, or a
// member that reports ones which do not exist could make these always come first.
func (t *memberTable) takeCandidate(rng *rand.Rand) Record {
	names := slices.Sorted(maps.Keys(t.candidates))
	name := names[rng.IntN(len(names))]
	candidate := t.candidates[name]
	delete(t.candidates, name)
	return candidate
}

// dropCandidate drops a candidate.
func (t *memberTable) dropCandidate(name string) { delete(t.candidates, name) }
