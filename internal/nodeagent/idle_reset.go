package nodeagent

import (
	"math"
	"time"
)

const (
	// minIdleBound is the upper bound of the first bucket of idle times. Each further bound is twice the previous one.
	minIdleBound = 12500 * time.Microsecond
	// idleBuckets is the number of buckets. The last one has no upper bound.
	idleBuckets = 12
	// resetHalfLife is the half-life of the weight of an observation.
	resetHalfLife = 15 * time.Second
	// minDecayInterval is the minimum interval between decays of the counts.
	minDecayInterval = time.Second
)

// An idle time is considered too long if both conditions hold:
//   - at least minResets uses after it, and at least a fraction of minResetFraction of them, met a reset;
//   - after shorter idle times, the fraction of resets was at most maxShorterResetRatio times that fraction.
//
// The resulting limit holds until the decayed number of resets falls below minResetsToHold. No connection is used after
// longer idle times in the meantime, so there are no new observations.
const (
	minResets            = 3.0
	minResetFraction     = 0.1
	maxShorterResetRatio = 0.25
	minResetsToHold      = 1.0
)

// idleResetDetector learns after which idle time a middlebox, such as a firewall or a proxy, drops connections. That
// can be long before Options.IdleCloseAfter. Such connections must not be used, because a command that meets a reset
// may or may not have run.
type idleResetDetector struct {
	reuses      [idleBuckets]float64 // decayed number of first uses after an idle time, by bucket
	resets      [idleBuckets]float64 // decayed number of those uses that met a reset
	lastDecayAt time.Duration
}

// record records whether the first use of a connection after an idle time met a reset.
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

// idleBucket returns the bucket of an idle time.
func idleBucket(idle time.Duration) int {
	bucket := 0
	for bound := minIdleBound; idle >= bound && bucket < idleBuckets-1; bound *= 2 {
		bucket++
	}
	return bucket
}

// maxIdle returns the idle time from which on connections must not be used, or 0 for no limit. The argument is its last
// result, which needs fewer resets to hold. Resets that are equally frequent at all idle times cause no limit.
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
