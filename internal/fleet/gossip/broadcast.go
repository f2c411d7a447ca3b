package gossip

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// gossipFanout is how many random members a round of gossip goes to.
	gossipFanout = 3
	// leaveFanout is how many members this one notifies directly when it leaves.
	leaveFanout = 2 * gossipFanout
	// gossipInterval is the pause between rounds of gossip.
	gossipInterval = 200 * time.Millisecond
	// retransmitMultiplier times the logarithm of the number of members is how often a broadcast is sent.
	retransmitMultiplier = 2
	// maxPayloadBytes is what a datagram has for the content of a message.
	maxPayloadBytes = MaxDatagram - fixedHeaderBytes - 2*(maxNameBytes+1) - signatureBytes - 64
)

// broadcastKind is what a broadcast carries.
type broadcastKind uint8

// The kinds of broadcast, in the order in which they are sent if they were transmitted equally often.
const (
	claimBroadcast broadcastKind = iota
	recordBroadcast
	statementBroadcast
)

// broadcastKey identifies a broadcast. A new broadcast replaces an older one of the same key.
type broadcastKey struct {
	kind   broadcastKind
	member string // whom it is about
}

// broadcast is queued to be piggybacked on messages. Exactly one of its first three fields is set.
type broadcast struct {
	record    *Record
	claim     *Claim
	statement *Statement
	transmits int // how often it was sent
}

// broadcastRecord queues the record of a member. It supersedes what was claimed about that member.
func (c *Core) broadcastRecord(record *Record) {
	delete(c.broadcasts, broadcastKey{claimBroadcast, record.Name})
	c.broadcasts[broadcastKey{recordBroadcast, record.Name}] = &broadcast{record: record}
}

// broadcastClaim queues what this member claims about another.
func (c *Core) broadcastClaim(m *member) {
	claim := m.currentClaim()
	delete(c.broadcasts, broadcastKey{recordBroadcast, m.Name})
	c.broadcasts[broadcastKey{claimBroadcast, m.Name}] = &broadcast{claim: &claim}
}

// broadcastStatement queues a statement.
func (c *Core) broadcastStatement(author string, statement *Statement) {
	c.broadcasts[broadcastKey{statementBroadcast, author}] = &broadcast{statement: statement}
}

// cancelBroadcasts drops the broadcasts about a member.
func (c *Core) cancelBroadcasts(name string) {
	delete(c.broadcasts, broadcastKey{recordBroadcast, name})
	delete(c.broadcasts, broadcastKey{claimBroadcast, name})
	delete(c.broadcasts, broadcastKey{statementBroadcast, name})
}

// handleStatement delivers and forwards a statement that is newer than the latest of its author.
func (c *Core) handleStatement(statement Statement) {
	if statement.Name == c.config.Name {
		return
	}
	latest, known := c.statements[statement.Name]
	if known && !statement.supersedes(&latest) {
		return
	}
	if !known && len(c.statements) >= c.config.MaxMembers {
		return
	}
	c.statements[statement.Name] = statement
	c.actions = append(c.actions, StatementReceived{statement})
	c.broadcastStatement(statement.Name, &statement)
}

// sendGossip sends queued broadcasts to random members in messages of their own.
func (c *Core) sendGossip(fanout int) {
	for _, m := range c.randomMembers(fanout, func(m *member) bool { return m.State.InFleet() }) {
		if len(c.broadcasts) == 0 || !c.mayGossip() {
			return
		}
		if !c.transmit(m.Name, m.Addr.AddrPort, &Message{Kind: Gossip}) {
			return
		}
	}
	if len(c.probeOrder) == 0 {
		clear(c.broadcasts) // there is no member to receive them; one that joins requests what it lacks
	}
}

// transmit sends a message, with broadcasts piggybacked, and reports whether the budget allowed it. The name is empty
// where only the address is known.
func (c *Core) transmit(name string, addr netip.AddrPort, message *Message) bool {
	if !c.takeFraction(&c.budgets.send, sendRateFraction, sendBurstFraction) {
		return false
	}
	c.piggyback(name, message)
	c.actions = append(c.actions, Transmit{To: name, Addr: addr, Incarnation: c.self.Incarnation, Message: message})
	return true
}

// piggyback attaches as many broadcasts as a message has space for, the least transmitted first.
func (c *Core) piggyback(receiver string, message *Message) {
	free := maxPayloadBytes - maxCertBytes
	for _, record := range message.Records {
		free -= record.size()
	}
	for _, summary := range message.Summaries {
		free -= summary.size()
	}
	for _, name := range message.Want {
		free -= wantSize(name)
	}
	contacted := c.hasContacted(receiver)
	limit := c.retransmitLimit()
	for _, key := range c.broadcastOrder() {
		queued := c.broadcasts[key]
		size, attached := queued.attach(message, free, contacted)
		if !attached {
			continue
		}
		free -= size
		queued.transmits++
		if queued.transmits >= limit {
			delete(c.broadcasts, key)
		}
	}
}

// retransmitLimit is how often a broadcast is sent before it is dropped.
func (c *Core) retransmitLimit() int {
	return retransmitMultiplier * int(math.Ceil(math.Log2(float64(len(c.members)+2))))
}

// broadcastOrder returns the keys of the queued broadcasts, the least transmitted first.
func (c *Core) broadcastOrder() []broadcastKey {
	return slices.SortedFunc(maps.Keys(c.broadcasts), func(a, b broadcastKey) int {
		return cmp.Or(
			cmp.Compare(c.broadcasts[a].transmits, c.broadcasts[b].transmits),
			cmp.Compare(a.kind, b.kind),
			cmp.Compare(a.member, b.member),
		)
	})
}

// attach adds the broadcast to a message with free bytes left, and returns its size. Only a receiver that this member
// has contacted is sent statements: it needs no certificate, whose space they may take.
func (b *broadcast) attach(message *Message, free int, contacted bool) (size int, attached bool) {
	switch {
	case b.record != nil:
		size = b.record.size()
		attached = free >= size && len(message.Records) < maxItems
		if attached {
			message.Records = append(message.Records, *b.record)
		}
	case b.claim != nil:
		size = b.claim.size()
		attached = free >= size && len(message.Claims) < maxItems
		if attached {
			message.Claims = append(message.Claims, *b.claim)
		}
	case b.statement != nil:
		size = b.statement.size()
		attached = contacted && free+maxCertBytes >= size && len(message.Statements) < maxItems
		if attached {
			message.Statements = append(message.Statements, *b.statement)
		}
	}
	return size, attached
}
