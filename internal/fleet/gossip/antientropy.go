package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

const (
	// maxRequested is how many records an Ack requests.
	maxRequested = maxItems / 2
	// maxSummaries is how many members besides this one a ping has summaries of.
	maxSummaries = maxItems/2 - 1
	// maxUnlisted is how many records an Ack holds of members that the ping has no summary of.
	maxUnlisted = 3
)

// antiEntropy repairs what gossip has missed, as memberlist's push/pull: a ping carries summaries of some members in
// turn, and its Ack sends the records that are newer and requests those of unknown members. Seeds that are not members
// are pinged so that the sides of a partition find each other again. A message summarizes at most maxSummaries members
// and requests at most maxRequested.
type antiEntropy struct {
	addr   netip.AddrPort // this member's own
	seeds  []netip.AddrPort
	cursor int // of the last summary sent, in the members sorted by name
}

func newAntiEntropy(addr netip.AddrPort, seeds []netip.AddrPort) *antiEntropy {
	return &antiEntropy{addr: addr, seeds: seeds}
}

// setSeeds replaces the seeds.
func (a *antiEntropy) setSeeds(seeds []netip.AddrPort) { a.seeds = seeds }

// unreachedSeeds returns the seeds at whose address there is no member.
func (a *antiEntropy) unreachedSeeds(table *memberTable) []netip.AddrPort {
	reached := table.reachedAddrs()
	reached[a.addr] = true
	var unreached []netip.AddrPort
	for _, seed := range a.seeds {
		if !reached[seed] {
			unreached = append(unreached, seed)
		}
	}
	return unreached
}

// summaries returns claims about this member and some others, in turn.
func (a *antiEntropy) summaries(self *Record, table *memberTable) []Claim {
	list := []Claim{{Name: self.Name, Epoch: self.Epoch, Incarnation: self.Incarnation}}
	names := table.names()
	for range min(len(names), maxSummaries) {
		a.cursor = (a.cursor + 1) % len(names)
		list = append(list, table.get(names[a.cursor]).currentClaim())
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

// newAck returns the answer to a ping. By the summaries in it the Ack sends the records that the sender lacks, and
// requests those that this member lacks. The sender is nil if it is not a member.
func newAck(rng *rand.Rand, self *Record, table *memberTable, received Received, sender *member) *Message {
	ping := received.Message
	ack := &Message{Kind: Ack, Nonce: ping.Nonce}
	packer := recordPacker{free: maxPayloadBytes - maxCertBytes}
	if sender == nil || len(ping.Cert) > 0 {
		packer.records = append(packer.records, *self)
	}
	if sender == nil {
		ack.Want = append(ack.Want, received.From)
	}
	if sender != nil && sender.State > Alive {
		ack.Claims = append(ack.Claims, sender.currentClaim()) // for it to refute
	}
	compareSummaries(self.Name, table, ping.Summaries, ack, &packer)
	if len(ping.Summaries) > 0 || sender == nil {
		packUnlisted(rng, table, received, &packer)
	}
	ack.Records = packer.records
	return ack
}

// compareSummaries adds records that are newer than the summaries of a ping, and requests those of unknown members.
func compareSummaries(self string, table *memberTable, summaries []Claim, ack *Message, packer *recordPacker) {
	for _, summary := range summaries {
		m := table.get(summary.Name)
		switch {
		case summary.Name == self:
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
func packUnlisted(rng *rand.Rand, table *memberTable, received Received, packer *recordPacker) {
	listed := func(name string) bool {
		return slices.ContainsFunc(received.Message.Summaries, func(s Claim) bool { return s.Name == name })
	}
	unlisted := table.random(rng, maxUnlisted, func(m *member) bool {
		return m.State == Alive && m.Name != received.From && !listed(m.Name)
	})
	for _, m := range unlisted {
		packer.add(&m.Record)
	}
}

// newRequestedRecords returns a message with the records that another requests, as far as they are known and fit.
func newRequestedRecords(self *Record, table *memberTable, want []string) *Message {
	packer := recordPacker{free: maxPayloadBytes}
	for _, name := range want {
		if name == self.Name {
			packer.records = append(packer.records, *self)
			packer.free -= self.size()
			continue
		}
		if m := table.get(name); m != nil && m.State.InFleet() {
			packer.add(&m.Record)
		}
	}
	return &Message{Kind: Gossip, Records: packer.records}
}
