package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

const (
	// maxRequested is the maximum number of records that an Ack requests.
	maxRequested = maxItems / 2
	// maxSummaries is the maximum number of summaries of other members in a ping.
	maxSummaries = maxItems/2 - 1
	// maxUnsummarized is the maximum number of records in an Ack for members without a summary in the ping.
	maxUnsummarized = 3
)

// antiEntropy repairs updates that gossip missed, like memberlist's push/pull. A ping carries summaries of some
// members, chosen round-robin. The receiver compares them with its own table: its Ack sends newer records and requests
// the records of unknown members. Seeds that are not members are pinged too, so that the sides of a partition find each
// other again.
type antiEntropy struct {
	addr   netip.AddrPort // own address
	seeds  []netip.AddrPort
	cursor int // index of the last summarized member among the members sorted by name
}

func newAntiEntropy(addr netip.AddrPort, seeds []netip.AddrPort) *antiEntropy {
	return &antiEntropy{addr: addr, seeds: seeds}
}

func (a *antiEntropy) setSeeds(seeds []netip.AddrPort) { a.seeds = seeds }

// unreachedSeeds returns the seeds whose address belongs to no member in the fleet.
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

// summaries returns claims about this member and the next maxSummaries other members in round-robin order.
func (a *antiEntropy) summaries(self *Record, table *memberTable) []Claim {
	list := []Claim{{Name: self.Name, Epoch: self.Epoch, Incarnation: self.Incarnation}}
	names := table.names()
	for range min(len(names), maxSummaries) {
		a.cursor = (a.cursor + 1) % len(names)
		list = append(list, table.get(names[a.cursor]).currentClaim())
	}
	return list
}

// recordPacker collects records up to a size limit.
type recordPacker struct {
	records []Record
	free    int // bytes left; once a record does not fit it is negative and no more records are added
}

func (p *recordPacker) add(record *Record) {
	p.free -= record.size()
	if p.free > 0 {
		p.records = append(p.records, *record)
	}
}

// newAck returns the Ack to a ping. Based on the summaries in the ping, it sends records that the sender lacks and
// requests records that this member lacks. sender is nil if it is not a member.
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
		ack.Claims = append(ack.Claims, sender.currentClaim()) // lets the sender refute it
	}
	compareSummaries(self.Name, table, ping.Summaries, ack, &packer)
	if len(ping.Summaries) > 0 || sender == nil {
		packUnsummarized(rng, table, received, &packer)
	}
	ack.Records = packer.records
	return ack
}

// compareSummaries adds records that are newer than their summaries, and requests the records of unknown members.
func compareSummaries(self string, table *memberTable, summaries []Claim, ack *Message, packer *recordPacker) {
	for _, summary := range summaries {
		m := table.get(summary.Name)
		switch {
		case summary.Name == self:
		case m == nil:
			// Dead and departed members are not requested: applying the record would mark the member alive.
			if summary.State.InFleet() && len(ack.Want) < maxRequested {
				ack.Want = append(ack.Want, summary.Name)
				packer.free -= wantSize(summary.Name)
			}
		case m.newerThan(summary) && (m.State.InFleet() || m.Gone):
			packer.add(&m.Record)
		}
	}
}

// packUnsummarized adds the records of some random members that have no summary in the ping. Without it, a sender that
// knows few members would learn of the others only slowly.
func packUnsummarized(rng *rand.Rand, table *memberTable, received Received, packer *recordPacker) {
	summarized := func(name string) bool {
		return slices.ContainsFunc(received.Message.Summaries, func(s Claim) bool { return s.Name == name })
	}
	unsummarized := table.random(rng, maxUnsummarized, func(m *member) bool {
		return m.State == Alive && m.Name != received.From && !summarized(m.Name)
	})
	for _, m := range unsummarized {
		packer.add(&m.Record)
	}
}

// newRequestedRecords returns a message with those of the requested records that are known and fit.
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
