package gossip

import "time"

const (
	// maxHealthScore is the worst local health score. Probe intervals and timeouts grow to 1+maxHealthScore times theirs.
	maxHealthScore = 8
	// pauseThreshold is by how much Step may come late before this member takes itself to have been paused.
	pauseThreshold = 1500 * time.Millisecond
	// pausePenalty is what a pause adds to the health score.
	pausePenalty = 2
)

// raiseHealthScore records evidence that this member itself is slow or cut off (Lifeguard's local health multiplier).
func (c *Core) raiseHealthScore(penalty int) {
	c.healthScore = min(c.healthScore+penalty, maxHealthScore)
}

// lowerHealthScore records evidence that this member is healthy.
func (c *Core) lowerHealthScore() {
	c.healthScore = max(c.healthScore-1, 0)
}

// scaleByHealth scales a duration by the local health: a member that may be slow or cut off itself waits longer for others.
func (c *Core) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+c.healthScore)
}

// recoverFromPause abandons the probes that were in flight while this member did not run, and extends suspicions by
// the pause: that nothing was received in that time proves nothing.
func (c *Core) recoverFromPause(pause time.Duration) {
	c.probes = nil
	c.raiseHealthScore(pausePenalty)
	for _, m := range c.members {
		if m.State == Suspect {
			m.StateSince += pause
		}
	}
	c.nextProbe = c.now + c.config.ProbeInterval
}
