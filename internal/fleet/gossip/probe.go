package gossip

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// indirectProbes is how many members are asked to ping one that did not answer.
	indirectProbes = 3
	// maxRelayedProbes is the number of probes in flight from which indirect pings are answered with a Nack at once.
	maxRelayedProbes = 64
	// maxProbes is the number of probes in flight of which the answers are awaited; the answers to more are ignored.
	maxProbes = 2 * maxRelayedProbes
	// probesPerSync is how often a probe also carries summaries: every which one.
	probesPerSync = 5
)

// probe is a ping in flight.
type probe struct {
	target   string // empty for a seed, whose name is not known
	nonce    uint64
	sentAt   time.Duration
	indirect bool // other members were asked to ping the target
	relays   int  // how many of them
	nacks    int  // answers of them that the target was silent
	// Of a probe on behalf of another member:
	requester      string // the member that asked for it; empty for a probe of this member's own
	requesterNonce uint64
	nackSent       bool
}

// probeNext pings the next member in the probe order, which is shuffled after each round.
func (c *Core) probeNext() {
	c.probeCount++
	for range len(c.probeOrder) {
		if c.probeIndex >= len(c.probeOrder) {
			c.probeIndex = 0
			c.shuffleProbeOrder()
		}
		m := c.members[c.probeOrder[c.probeIndex]]
		c.probeIndex++
		if !m.State.InFleet() {
			continue
		}
		var summaries []Claim
		if c.probeCount%probesPerSync == 0 {
			summaries = c.summaries()
		}
		c.sendPing(m.Name, m.Addr.AddrPort, summaries)
		return
	}
}

func (c *Core) shuffleProbeOrder() {
	c.rng.Shuffle(len(c.probeOrder), func(i, j int) {
		c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i]
	})
}

// sendPing pings a member, or whoever is at an address if the name is empty. It returns nil if the budget does not
// allow it.
func (c *Core) sendPing(name string, addr netip.AddrPort, summaries []Claim, claims ...Claim) *probe {
	nonce := c.rng.Uint64()
	ping := &Message{Kind: Ping, Nonce: nonce, Summaries: summaries, Claims: claims}
	// A member that may not know this one is sent its record.
	if !c.hasContacted(name) || len(summaries) > 0 {
		ping.Records = []Record{c.self}
	}
	if !c.transmit(name, addr, ping) {
		return nil
	}
	p := &probe{target: name, nonce: nonce, sentAt: c.now}
	if len(c.probes) < maxProbes {
		c.probes = append(c.probes, p)
	}
	return p
}

// probeByNonce returns the probe in flight with a nonce, or nil.
func (c *Core) probeByNonce(nonce uint64) *probe {
	i := slices.IndexFunc(c.probes, func(p *probe) bool { return p.nonce == nonce })
	if i < 0 {
		return nil
	}
	return c.probes[i]
}

func (c *Core) endProbe(p *probe) {
	c.probes = slices.DeleteFunc(c.probes, func(other *probe) bool { return other == p })
}

// handleAck ends the probe that an Ack answers. Until other members were asked to ping the target, nobody but the
// target was sent the nonce, so only its own Ack counts.
func (c *Core) handleAck(received Received) {
	p := c.probeByNonce(received.Message.Nonce)
	if p == nil {
		return
	}
	if p.target != "" && received.From != p.target && !p.indirect {
		return
	}
	c.endProbe(p)
	if p.requester != "" {
		c.answerRequester(p, Ack)
		return
	}
	c.lowerHealthScore()
	if len(received.Message.Want) > 0 {
		c.sendRequestedRecords(received)
	}
}

// handleNack counts a member that could not reach the target of an indirect probe but is itself reachable.
func (c *Core) handleNack(received Received) {
	if p := c.probeByNonce(received.Message.Nonce); p != nil {
		p.nacks++
	}
}

// handleIndirectPing pings a member on behalf of another that had no answer from it.
func (c *Core) handleIndirectPing(received Received) {
	target := c.members[received.Message.Target]
	if target == nil || len(c.probes) >= maxRelayedProbes {
		c.transmit(received.From, received.Addr, &Message{Kind: Nack, Nonce: received.Message.Nonce})
		return
	}
	p := c.sendPing(target.Name, target.Addr.AddrPort, nil)
	if p == nil {
		return
	}
	p.requester = received.From
	p.requesterNonce = received.Message.Nonce
}

// answerRequester sends an Ack or a Nack to the member that asked for a probe.
func (c *Core) answerRequester(p *probe, kind Kind) {
	if requester := c.members[p.requester]; requester != nil {
		c.transmit(requester.Name, requester.Addr.AddrPort, &Message{Kind: kind, Nonce: p.requesterNonce})
	}
}

// probeTimeout is how long after its ping a probe enters its next stage.
func (c *Core) probeTimeout(p *probe) time.Duration {
	switch {
	case p.requester != "" && !p.nackSent:
		// The Nack should arrive before the requester's own timeout.
		return c.config.ProbeTimeout * 4 / 5
	case p.requester == "" && !p.indirect:
		return min(c.scaleByHealth(c.config.ProbeTimeout), c.scaleByHealth(c.config.ProbeInterval)/2)
	default:
		return c.scaleByHealth(c.config.ProbeInterval)
	}
}

// expireProbes takes the probes whose timeout has passed to their next stage: from direct to indirect to failed, or,
// on behalf of another member, from pending to Nack sent to ended.
func (c *Core) expireProbes() {
	for _, pending := range slices.Clone(c.probes) {
		if c.now-pending.sentAt < c.probeTimeout(pending) {
			continue
		}
		target := c.members[pending.target]
		switch {
		case pending.requester != "" && pending.nackSent:
			c.endProbe(pending)
		case pending.requester != "":
			c.answerRequester(pending, Nack)
			pending.nackSent = true
		case target == nil:
			c.endProbe(pending)
		case !pending.indirect:
			c.probeIndirectly(pending, target)
		default:
			c.handleProbeFailure(pending, target)
		}
	}
}

// probeIndirectly asks random members to ping a target that did not answer.
func (c *Core) probeIndirectly(p *probe, target *member) {
	p.indirect = true
	relays := c.randomMembers(indirectProbes, func(m *member) bool { return m.State == Alive && m != target })
	for _, relay := range relays {
		request := &Message{Kind: IndirectPing, Nonce: p.nonce, Target: target.Name}
		if c.transmit(relay.Name, relay.Addr.AddrPort, request) {
			p.relays++
		}
	}
}

// handleProbeFailure suspects a target that nobody had an answer from. Where the relays did not send a Nack either,
// this member is as likely to be the one that is cut off, and its health score grows by half their number.
func (c *Core) handleProbeFailure(p *probe, target *member) {
	c.endProbe(p)
	missingNacks := max(0, p.relays-p.nacks)
	c.raiseHealthScore(1 + missingNacks/2)
	if target.State == Alive && target.lastContact < p.sentAt {
		c.suspectMember(target)
	}
}
