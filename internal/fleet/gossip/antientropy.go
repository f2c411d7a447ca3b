package gossip

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// reconnectInterval is how often a seed that is not a member, and a dead member, are pinged.
	reconnectInterval = 5 * time.Second
	// maxCandidates is how many candidates are held.
	maxCandidates = 64
	// maxRequested is how many records an Ack requests.
	maxRequested = maxItems / 2
	// maxSummaries is how many members besides this one a ping has summaries of.
	maxSummaries = maxItems/2 - 1
)

// addCandidate notes where a member may be found whose record is not signed, unless it is a member already.
func (c *Core) addCandidate(known *member, record Record) {
	if known != nil && known.Epoch >= record.Epoch && known.State.InFleet() {
		return
	}
	if !record.Gone && len(c.candidates) < maxCandidates {
		c.candidates[record.Name] = record
	}
}

// pingCandidate pings one of the candidates. It is chosen at random, or a member that reports ones which do not exist
// could make these always come first.
func (c *Core) pingCandidate() {
	if len(c.candidates) == 0 || !c.mayGossip() {
		return
	}
	names := slices.Sorted(maps.Keys(c.candidates))
	name := names[c.rng.IntN(len(names))]
	candidate := c.candidates[name]
	delete(c.candidates, name)
	c.sendPing(name, candidate.Addr.AddrPort, c.summaries())
}

// reconnect pings a random seed that is not a member, and a random dead member, so that the sides of a partition find
// each other again. Alone in the fleet, it is repeated sooner.
func (c *Core) reconnect() {
	if seeds := c.unreachedSeeds(); len(seeds) > 0 {
		c.sendPing("", seeds[c.rng.IntN(len(seeds))], c.summaries())
	}
	for _, m := range c.randomMembers(1, func(m *member) bool { return m.State == Dead }) {
		c.sendPing(m.Name, m.Addr.AddrPort, c.summaries(), m.currentClaim())
	}
	if len(c.members) == 0 {
		c.nextReconnect = c.now + c.config.ProbeInterval
	}
}

// unreachedSeeds returns the seeds at whose address there is no member.
func (c *Core) unreachedSeeds() []netip.AddrPort {
	reached := map[netip.AddrPort]bool{c.config.Addr: true}
	for _, m := range c.members {
		if m.State.InFleet() {
			reached[m.Addr.AddrPort] = true
		}
	}
	var unreached []netip.AddrPort
	for _, seed := range c.config.Seeds {
		if !reached[seed] {
			unreached = append(unreached, seed)
		}
	}
	return unreached
}

// summaries returns claims about this member and some others, in turn.
func (c *Core) summaries() []Claim {
	list := []Claim{{Name: c.config.Name, Epoch: c.self.Epoch, Incarnation: c.self.Incarnation}}
	names := slices.Sorted(maps.Keys(c.members))
	for range min(len(names), maxSummaries) {
		c.summaryCursor = (c.summaryCursor + 1) % len(names)
		list = append(list, c.members[names[c.summaryCursor]].currentClaim())
	}
	return list
}

// recordPacker collects records up to a size.
type recordPacker struct {
	records []Record
	free    int // bytes; negative once a record did not fit, and then none is added
}

func (p *recordPacker) add(record *Record) {
	p.free -= record.size()
	if p.free > 0 {
		p.records = append(p.records, *record)
	}
}

// sendAck answers a ping. By the summaries in it the Ack sends the records that the sender lacks, and requests those
// that this member lacks. The sender is nil if it is not a member.
func (c *Core) sendAck(received Received, from *member) {
	ping := received.Message
	ack := &Message{Kind: Ack, Nonce: ping.Nonce}
	packer := recordPacker{free: maxPayloadBytes - maxCertBytes}
	if from == nil || len(ping.Cert) > 0 {
		packer.records = append(packer.records, c.self)
	}
	if from == nil {
		ack.Want = append(ack.Want, received.From)
	}
	if from != nil && from.State > Alive {
		ack.Claims = append(ack.Claims, from.currentClaim()) // for it to refute
	}
	c.compareSummaries(ping.Summaries, ack, &packer)
	if len(ping.Summaries) > 0 || from == nil {
		c.packUnlisted(received, &packer)
	}
	ack.Records = packer.records
	c.transmit(received.From, received.Addr, ack)
}

// compareSummaries adds records that are newer than the summaries of a ping, and requests those of unknown members.
func (c *Core) compareSummaries(summaries []Claim, ack *Message, packer *recordPacker) {
	for _, summary := range summaries {
		m := c.members[summary.Name]
		switch {
		case summary.Name == c.config.Name:
		case m == nil:
			// The record of a member that is gone would make it look alive.
			if summary.State.InFleet() && len(ack.Want) < maxRequested {
				ack.Want = append(ack.Want, summary.Name)
				packer.free -= wantSize(summary.Name)
			}
		case m.newerThan(summary) && (m.State.InFleet() || m.Gone):
			packer.add(&m.Record)
		}
	}
}

// packUnlisted adds the records of some members that a ping has no summary of: a sender that knows few members sends
// few summaries.
func (c *Core) packUnlisted(received Received, packer *recordPacker) {
	listed := func(name string) bool {
		return slices.ContainsFunc(received.Message.Summaries, func(s Claim) bool { return s.Name == name })
	}
	unlisted := c.randomMembers(gossipFanout, func(m *member) bool {
		return m.State == Alive && m.Name != received.From && !listed(m.Name)
	})
	for _, m := range unlisted {
		packer.add(&m.Record)
	}
}

// sendRequestedRecords sends the records that a message requests, as far as they are known and fit.
func (c *Core) sendRequestedRecords(received Received) {
	packer := recordPacker{free: maxPayloadBytes}
	for _, name := range received.Message.Want {
		if name == c.config.Name {
			packer.records = append(packer.records, c.self)
			packer.free -= c.self.size()
			continue
		}
		if m := c.members[name]; m != nil && m.State.InFleet() {
			packer.add(&m.Record)
		}
	}
	c.transmit(received.From, received.Addr, &Message{Kind: Gossip, Records: packer.records})
}
