package gossip

import (
	"math"
	"slices"
	"time"
)

const (
	// sweepInterval is how often members that are not alive are checked for timeouts.
	sweepInterval = 100 * time.Millisecond
	// maxSuspicionNotices is how often this member itself notifies a suspect before it declares it dead.
	maxSuspicionNotices = 3
)

// handleClaim applies what one member claims about another. A claim makes a member suspect at most: a member that is
// there refutes it, and one that does not is declared dead after the suspicion timeout.
func (c *Core) handleClaim(from *member, claim Claim) {
	if claim.State != Suspect && claim.State != Dead {
		return
	}
	if from == nil || !from.claimBudget.Take(c.now, 1, claimRate, claimBurst) {
		return
	}
	if claim.Name == c.config.Name {
		c.refute(from, claim)
		return
	}
	subject := c.members[claim.Name]
	if subject == nil || subject.State != Alive {
		return
	}
	if subject.Epoch == claim.Epoch && subject.Incarnation == claim.Incarnation {
		c.suspectMember(subject)
	}
}

// refute contradicts a claim about this member with a new incarnation.
func (c *Core) refute(from *member, claim Claim) {
	if claim.Epoch != c.self.Epoch {
		return
	}
	if claim.Incarnation == c.self.Incarnation {
		c.self.Incarnation++
		c.signSelf()
		c.raiseHealthScore(1)
		c.broadcastRecord(&c.self)
		c.nextGossip = c.now
	}
	// Gossip may miss a member. One that still holds this member suspect is answered directly.
	if c.mayAnswer(from) {
		c.transmit(from.Name, from.Addr.AddrPort, &Message{Kind: Gossip, Records: []Record{c.self}})
	}
}

// suspectMember starts the suspicion timeout of a member.
func (c *Core) suspectMember(m *member) {
	c.notAlive++
	m.suspicionNotices = 0
	c.setState(m, Suspect)
	c.broadcastClaim(m)
}

// suspicionTimeout is how long a suspect has to refute. It grows with the fleet: with more members, the suspicion takes
// longer to reach the suspect, and its refutation to come back.
func (c *Core) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(c.members)+1)))
	return time.Duration(float64(c.config.SuspicionTimeout) * scale)
}

// sweepMembers declares suspects dead whose timeout has passed, and forgets members that have been gone long enough.
func (c *Core) sweepMembers() {
	if c.now < c.nextSweep {
		return
	}
	c.nextSweep = c.now + sweepInterval
	timeout := c.suspicionTimeout()
	c.notAlive = 0
	for _, name := range slices.Clone(c.probeOrder) {
		m := c.members[name]
		if m.State != Alive {
			c.notAlive++
		}
		elapsed := c.now - m.StateSince
		switch {
		case m.State == Suspect && elapsed >= timeout:
			c.setState(m, Dead)
			c.broadcastClaim(m)
		case m.State == Suspect:
			c.notifySuspect(m, elapsed, timeout)
		case !m.State.InFleet() && elapsed >= deadRetention:
			c.forgetMember(name)
		}
	}
}

// notifySuspect sends a suspect the claim about it when the next notice is due. Its refutation may have been gossiped
// past this member, and the claim may not have reached the suspect.
func (c *Core) notifySuspect(m *member, elapsed, timeout time.Duration) {
	due := timeout * time.Duration(m.suspicionNotices+1) / (maxSuspicionNotices + 1)
	if elapsed < due || !c.takeFraction(&c.budgets.notices, noticeFraction, noticeFraction) {
		return
	}
	m.suspicionNotices++
	c.transmit(m.Name, m.Addr.AddrPort, &Message{Kind: Gossip, Claims: []Claim{m.currentClaim()}})
}
