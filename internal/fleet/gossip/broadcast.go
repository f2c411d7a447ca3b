package gossip

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// retransmitMultiplier times the logarithm of the number of members is the transmit limit of a broadcast.
	retransmitMultiplier = 2
	// maxPayloadBytes is the space for message content in a datagram.
	maxPayloadBytes = MaxDatagram - fixedHeaderBytes - 2*(maxNameBytes+1) - signatureBytes - 64
)

// broadcastKind is the type of content that a broadcast carries.
type broadcastKind uint8

// The kinds of broadcast. Among broadcasts with equal transmit counts, kinds are sent in this order.
const (
	claimBroadcast broadcastKind = iota
	recordBroadcast
	statementBroadcast
)

// broadcastKey identifies a broadcast. A new broadcast replaces an older one of the same key.
type broadcastKey struct {
	kind   broadcastKind
	member string // subject of the broadcast
}

// broadcast is a queue entry to be piggybacked on messages. Exactly one of record, claim and statement is set.
type broadcast struct {
	record    *Record
	claim     *Claim
	statement *Statement
	transmits int // number of transmissions so far
}

// dissemination implements SWIM's infection-style dissemination. It piggybacks broadcasts on messages, the least
// transmitted first. Each broadcast is sent a number of times proportional to the logarithm of the fleet size, as in
// memberlist's TransmitLimitedQueue. The queue holds one record or claim per member, and the latest statement of each
// of at most maxAuthors authors.
type dissemination struct {
	self       string // own name
	maxAuthors int
	queue      map[broadcastKey]*broadcast
	statements map[string]Statement // latest statement by author
}

func newDissemination(self string, maxAuthors int) *dissemination {
	return &dissemination{
		self:       self,
		maxAuthors: maxAuthors,
		queue:      map[broadcastKey]*broadcast{},
		statements: map[string]Statement{},
	}
}

// numQueued returns the number of queued broadcasts.
func (d *dissemination) numQueued() int { return len(d.queue) }

// clear drops all queued broadcasts.
func (d *dissemination) clear() { clear(d.queue) }

// queueRecord queues the record of a member. It replaces a queued claim about that member.
func (d *dissemination) queueRecord(record Record) {
	delete(d.queue, broadcastKey{claimBroadcast, record.Name})
	d.queue[broadcastKey{recordBroadcast, record.Name}] = &broadcast{record: &record}
}

// queueClaim queues this member's claim about another. It replaces a queued record of that member.
func (d *dissemination) queueClaim(claim Claim) {
	delete(d.queue, broadcastKey{recordBroadcast, claim.Name})
	d.queue[broadcastKey{claimBroadcast, claim.Name}] = &broadcast{claim: &claim}
}

// publish queues a statement of this member.
func (d *dissemination) publish(statement Statement) { d.queueStatement(d.self, statement) }

// forward queues a statement of another member if it is newer than the latest known one of its author. It reports
// whether the statement was queued.
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

// forget drops the broadcasts about a member and the member's statement.
func (d *dissemination) forget(name string) {
	delete(d.queue, broadcastKey{recordBroadcast, name})
	delete(d.queue, broadcastKey{claimBroadcast, name})
	delete(d.queue, broadcastKey{statementBroadcast, name})
	delete(d.statements, name)
}

// piggyback attaches as many broadcasts as fit into a message, the least transmitted first, and drops a broadcast once
// it was sent limit times. contacted is true if the receiver has sent a message to this member before.
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

// order returns the keys of the queued broadcasts in transmit order.
func (d *dissemination) order() []broadcastKey {
	return slices.SortedFunc(maps.Keys(d.queue), func(a, b broadcastKey) int {
		return cmp.Or(
			cmp.Compare(d.queue[a].transmits, d.queue[b].transmits),
			cmp.Compare(a.kind, b.kind),
			cmp.Compare(a.member, b.member),
		)
	})
}

// retransmitLimit returns the number of transmissions after which a broadcast is dropped.
func retransmitLimit(members int) int {
	fleetSize := float64(members + 1) // including this member
	return retransmitMultiplier * int(math.Ceil(math.Log2(fleetSize+1)))
}

// freeBytes returns the space for broadcasts in a message that carries none yet.
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

// attach adds the broadcast to a message with free bytes left and returns the size of the broadcast. Statements are
// sent only to contacted receivers. These already have this member's certificate, so its reserved space is available.
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
