package nodeagent

import (
	"math"
	"time"
)

const (
	// wearLeast is the first bound between lengths of rest; each further one is twice the last.
	minIdleBound = 12500 * time.Microsecond
	idleBuckets  = 12
	// wearHalf is the time in which what was seen loses half its weight.
	resetHalfLife = 15 * time.Second
	// wearBreaks breaks, and this share of uses, show that connections do not outlast a rest, if shorter rests
	// have less than a part of that share. Once that was seen it holds until breaks have faded to wearFaded:
	// connections are not put to the test meanwhile.
	minResets, minResetFraction, maxShorterResetRatio = 3, 0.1, 0.25
	minResetsToHold                                   = 1
)

// wear learns how long connections may rest between requests until something on the way forgets them, long before
// the time that the settings give: a request that meets such an end may have run, and nobody can tell.
type idleResetDetector struct {
	reuses, resets [idleBuckets]float64 // by length of rest
	lastDecayAt    time.Duration
}

// note takes in what became of a connection that was used after a rest.
func (w *idleResetDetector) record(now, rest time.Duration, broke bool) {
	if now-w.lastDecayAt > time.Second {
		fade := math.Exp2(-(now - w.lastDecayAt).Seconds() / resetHalfLife.Seconds())
		for i := range idleBuckets {
			w.reuses[i] *= fade
			w.resets[i] *= fade
		}
		w.lastDecayAt = now
	}
	i := 0
	for bound := minIdleBound; rest >= bound && i < idleBuckets-1; bound *= 2 {
		i++
	}
	w.reuses[i]++
	if broke {
		w.resets[i]++
	}
}

// limit is the rest that connections outlast, given what it was last; 0 if they outlast any. Breaks that come
// whatever the rest are none of its business.
func (w *idleResetDetector) maxIdle(last time.Duration) time.Duration {
	uses, breaks := w.reuses[0], w.resets[0] // of shorter rests
	for i := 1; i < idleBuckets; i++ {
		enough := float64(minResets)
		if last == minIdleBound<<(i-1) {
			enough = minResetsToHold
		}
		share := w.resets[i] / max(w.reuses[i], 1)
		if w.resets[i] >= enough && share >= minResetFraction && breaks <= maxShorterResetRatio*share*uses {
			return minIdleBound << (i - 1)
		}
		uses, breaks = uses+w.reuses[i], breaks+w.resets[i]
	}
	return 0
}
