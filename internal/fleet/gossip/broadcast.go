package gossip

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
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

// dissemination is the infection-style dissemination of SWIM: broadcasts are piggybacked on messages, the least
// transmitted first, each a number of times that grows with the logarithm of the fleet (as memberlist's
// TransmitLimitedQueue). It holds one record or claim of each member, and the latest statements of at most maxAuthors.
type dissemination struct {
	self       string // this member's name
	maxAuthors int
	queue      map[broadcastKey]*broadcast
	statements map[string]Statement // the latest of each author
}

func newDissemination(self string, maxAuthors int) *dissemination {
	return &dissemination{
		self:       self,
		maxAuthors: maxAuthors,
		queue:      map[broadcastKey]*broadcast{},
		statements: map[string]Statement{},
	}
}

// pending returns the number of queued broadcasts.
func (d *dissemination) pending() int { return len(d.queue) }

// clear drops all queued broadcasts.
func (d *dissemination) clear() { clear(d.queue) }

// queueRecord queues the record of a member. It supersedes what was claimed about that member.
func (d *dissemination) queueRecord(record Record) {
	delete(d.queue, broadcastKey{claimBroadcast, record.Name})
	d.queue[broadcastKey{recordBroadcast, record.Name}] = &broadcast{record: &record}
}

// queueClaim queues what this member claims about another.
func (d *dissemination) queueClaim(claim Claim) {
	delete(d.queue, broadcastKey{recordBroadcast, claim.Name})
	d.queue[broadcastKey{claimBroadcast, claim.Name}] = &broadcast{claim: &claim}
}

// publish queues a statement of this member.
func (d *dissemination) publish(statement Statement) { d.queueStatement(d.self, statement) }

// forward queues a statement of another member that is newer than the latest of its author, and reports whether it is.
func (d *dissemination) forward(statement Statement) bool {
	if statement.Name == d.self {
		return false
	}
	latest, known := d.statements[statement.Name]
	if known && !statement.supersedes(&latest) {
		return false
	}
	if !known && len(d.statements) >= d.maxAuthors {
		return false
	}
	d.queueStatement(statement.Name, statement)
	return true
}

func (d *dissemination) queueStatement(author string, statement Statement) {
	d.statements[author] = statement
	d.queue[broadcastKey{statementBroadcast, author}] = &broadcast{statement: &statement}
}

// forget drops the broadcasts about a member and its statement.
func (d *dissemination) forget(name string) {
	delete(d.queue, broadcastKey{recordBroadcast, name})
	delete(d.queue, broadcastKey{claimBroadcast, name})
	delete(d.queue, broadcastKey{statementBroadcast, name})
	delete(d.statements, name)
}

// piggyback attaches as many broadcasts as a message has space for, the least transmitted first. The limit is how often
// a broadcast is sent before it is dropped; contacted is whether the receiver has sent a message itself.
func (d *dissemination) piggyback(message *Message, contacted bool, limit int) {
	free := freeBytes(message)
	for _, key := range d.order() {
		queued := d.queue[key]
		size, attached := queued.attach(message, free, contacted)
		if !attached {
			continue
		}
		free -= size
		queued.transmits++
		if queued.transmits >= limit {
			delete(d.queue, key)
		}
	}
}

// order returns the keys of the queued broadcasts, the least transmitted first.
func (d *dissemination) order() []broadcastKey {
	return slices.SortedFunc(maps.Keys(d.queue), func(a, b broadcastKey) int {
		return cmp.Or(
			cmp.Compare(d.queue[a].transmits, d.queue[b].transmits),
			cmp.Compare(a.kind, b.kind),
			cmp.Compare(a.member, b.member),
		)
	})
}

// retransmitLimit is how often a broadcast is sent before it is dropped.
func retransmitLimit(members int) int {
	fleetSize := float64(members + 1) // this member included
	return retransmitMultiplier * int(math.Ceil(math.Log2(fleetSize+1)))
}

// freeBytes is what a message that carries no broadcast yet has space for.
func freeBytes(message *Message) int {
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
	return free
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
