package nodeagent

import (
	"math"
	"time"
)

const (
	// minIdleBound is the upper bound of the first bucket of idle times; that of each further one is twice the last.
	minIdleBound = 12500 * time.Microsecond
	// idleBuckets is the number of buckets; the last one has no upper bound.
	idleBuckets = 12
	// resetHalfLife is the time in which an observation loses half its weight.
	resetHalfLife = 15 * time.Second
	// minDecayInterval is the least time between two decays of the counts.
	minDecayInterval = time.Second
)

// Connections do not survive an idle time if at least minResets uses after it, and minResetFraction of them, met a
// reset, while after shorter idle times the fraction of resets was at most maxShorterResetRatio of that. A limit that
// was found holds until the resets have decayed below minResetsToHold, since no connection is tested meanwhile.
const (
	minResets            = 3.0
	minResetFraction     = 0.1
	maxShorterResetRatio = 0.25
	minResetsToHold      = 1.0
)

// idleResetDetector learns how long connections may be idle until something on the path (a firewall, a proxy) drops them,
// which may be long before Options.IdleCloseAfter. It matters because a command that meets such a reset may or may not have
// run.
type idleResetDetector struct {
	reuses      [idleBuckets]float64 // first uses after being idle, decayed, by idle time
	resets      [idleBuckets]float64 // how many of them met a reset
	lastDecayAt time.Duration
}

// record records whether a connection that was used after being idle was reset.
func (d *idleResetDetector) record(now, idle time.Duration, reset bool) {
	d.decay(now)
	bucket := idleBucket(idle)
	d.reuses[bucket]++
	if reset {
		d.resets[bucket]++
	}
}

// decay reduces the weight of earlier observations.
func (d *idleResetDetector) decay(now time.Duration) {
	elapsed := now - d.lastDecayAt
	if elapsed <= minDecayInterval {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / resetHalfLife.Seconds())
	for i := range idleBuckets {
		d.reuses[i] *= factor
		d.resets[i] *= factor
	}
	d.lastDecayAt = now
}

// idleBucket is the bucket of an idle time.
func idleBucket(idle time.Duration) int {
	bucket := 0
	for bound := minIdleBound; idle >= bound && bucket < idleBuckets-1; bound *= 2 {
		bucket++
	}
	return bucket
}

// maxIdle is the idle time that connections survive, given the last result; 0 if they survive any. Resets that come
// at any idle time do not count.
func (d *idleResetDetector) maxIdle(last time.Duration) time.Duration {
	shorterReuses := d.reuses[0]
	shorterResets := d.resets[0]
	for i := 1; i < idleBuckets; i++ {
		lowerBound := minIdleBound << (i - 1)
		required := minResets
		if last == lowerBound {
			required = minResetsToHold
		}
		fraction := d.resets[i] / max(d.reuses[i], 1)
		if d.resets[i] >= required && fraction >= minResetFraction &&
			shorterResets <= maxShorterResetRatio*fraction*shorterReuses {
			return lowerBound
		}
		shorterReuses += d.reuses[i]
		shorterResets += d.resets[i]
	}
	return 0
}
