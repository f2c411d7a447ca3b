package gossip

import (
	"net/netip"
	"time"
)

const (
	// gossipFanout is the number of random members that a gossip round is sent to.
	gossipFanout = 3
	// gossipInterval is the time between gossip rounds.
	gossipInterval = 200 * time.Millisecond
	// reconnectInterval is the time between pings to seeds that are not members and to dead members.
	reconnectInterval = 5 * time.Second
	// sweepInterval is the time between timeout checks of members that are not alive.
	sweepInterval = 100 * time.Millisecond
)

// expireProbes advances the probes whose timeout has expired.
func (c *Core) expireProbes() {
	for _, pending := range c.detector.inFlight() {
		target := c.table.get(pending.target)
		switch c.detector.advance(c.now, pending, target != nil) {
		case awaitAnswer, endSilently:
		case sendNack:
			pending.answerRequester(c.outbox, c.table, Nack)
		case probeIndirectly:
			pending.requestIndirectPings(c.rng, c.outbox, c.table, target)
		case declareFailed:
			if target.State == Alive && target.lastContact < pending.sentAt {
				c.declare(target, Suspect)
			}
		}
	}
}

// sweepMembers declares suspects dead whose timeout has expired, sends due notices to the other suspects, and forgets
// members that have been dead or departed for deadRetention.
func (c *Core) sweepMembers() {
	if c.now < c.nextSweep {
		return
	}
	c.nextSweep = c.now + sweepInterval
	timeout := suspicionTimeout(c.config.SuspicionTimeout, c.table.len())
	c.table.countNotAlive()
	for _, m := range c.table.inOrder() {
		elapsed := c.now - m.StateSince
		switch {
		case m.State == Suspect && elapsed >= timeout:
			c.declare(m, Dead)
		case m.State == Suspect:
			if m.suspicion.noticeDue(elapsed, timeout) && c.limits.allowNotice(c.now) {
				m.suspicion.markNotified()
				c.outbox.transmitTo(m, &Message{Kind: Gossip, Claims: []Claim{m.currentClaim()}})
			}
		case !m.State.InFleet() && elapsed >= deadRetention:
			c.forgetMember(m.Name)
		}
	}
}

// runPeriodicTasks runs the probe, reconnect and gossip tasks that are due.
func (c *Core) runPeriodicTasks() {
	if c.now >= c.nextProbe {
		c.nextProbe = c.now + c.detector.interval()
		c.probeNext()
	}
	if c.now >= c.nextReconnect {
		c.nextReconnect = c.now + reconnectInterval
		c.reconnect()
	}
	if c.now >= c.nextGossip && c.hasGossip() {
		c.nextGossip = c.now + gossipInterval
		c.pingCandidate()
		c.sendGossip(gossipFanout)
	}
}

// probeNext pings the next member in the probe order.
func (c *Core) probeNext() {
	target := c.detector.nextTarget(c.rng, c.table)
	if target == nil {
		return
	}
	var summaries []Claim
	if c.detector.carriesSummaries() {
		summaries = c.antiEntropy.summaries(&c.self.record, c.table)
	}
	c.sendPing(&probe{target: target.Name}, target.Addr.AddrPort, summaries)
}

// reconnect pings a random seed that is not a member and a random dead member, so that the sides of a partition find
// each other again. A member without other members repeats this at the probe interval.
func (c *Core) reconnect() {
	if seeds := c.antiEntropy.unreachedSeeds(c.table); len(seeds) > 0 {
		c.sendPing(&probe{}, seeds[c.rng.IntN(len(seeds))], c.antiEntropy.summaries(&c.self.record, c.table))
	}
	for _, m := range c.table.random(c.rng, 1, func(m *member) bool { return m.State == Dead }) {
		c.sendPing(&probe{target: m.Name}, m.Addr.AddrPort, c.antiEntropy.summaries(&c.self.record, c.table), m.currentClaim())
	}
	if c.table.len() == 0 {
		c.nextReconnect = c.now + c.config.ProbeInterval
	}
}

// pingCandidate pings a random candidate to verify its address and obtain its signed record.
func (c *Core) pingCandidate() {
	if !c.table.hasCandidates() || !c.limits.allowGossip(c.now) {
		return
	}
	candidate := c.table.takeCandidate(c.rng)
	c.sendPing(&probe{target: candidate.Name}, candidate.Addr.AddrPort, c.antiEntropy.summaries(&c.self.record, c.table))
}

// sendGossip sends queued broadcasts to random members in separate Gossip messages.
func (c *Core) sendGossip(fanout int) {
	for _, m := range c.table.random(c.rng, fanout, func(m *member) bool { return m.State.InFleet() }) {
		if c.dissemination.numQueued() == 0 || !c.limits.allowGossip(c.now) {
			return
		}
		if !c.outbox.transmitTo(m, &Message{Kind: Gossip}) {
			return
		}
	}
	if c.table.len() == 0 {
		c.dissemination.clear() // no member can receive them; a joining member requests missing records
	}
}

// sendPing starts a probe by sending a ping to an address. The probe is not started if the rate limit does not allow
// the ping.
func (c *Core) sendPing(p *probe, addr netip.AddrPort, summaries []Claim, claims ...Claim) {
	p.start(c.now, c.rng.Uint64())
	ping := &Message{Kind: Ping, Nonce: p.nonce, Summaries: summaries, Claims: claims}
	// Receivers that may not know this member also get its record.
	if !c.table.hasContacted(p.target) || len(summaries) > 0 {
		ping.Records = []Record{c.self.record}
	}
	if c.outbox.transmit(p.target, addr, ping) {
		c.detector.track(p)
	}
}
