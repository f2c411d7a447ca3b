package nodeagent

import (
	"math"
	"time"
)

const (
	// wearLeast is the first bound between lengths of rest; each further one is twice the last.
	wearLeast = 12500 * time.Microsecond
	wearSteps = 12
	// wearHalf is the time in which what was seen loses half its weight.
	wearHalf = 15 * time.Second
	// wearBreaks breaks, and this share of uses, show that connections do not outlast a rest, if shorter rests
	// have less than a part of that share. Once that was seen it holds until breaks have faded to wearFaded:
	// connections are not put to the test meanwhile.
	wearBreaks, wearShare, wearPart = 3, 0.1, 0.25
	wearFaded                       = 1
)

// wear learns how long connections may rest between requests until something on the way forgets them, long before
// the time that the settings give: a request that meets such an end may have run, and nobody can tell.
type wear struct {
	uses, breaks [wearSteps]float64 // by length of rest
	at           time.Duration
}

// note takes in what became of a connection that was used after a rest.
func (w *wear) note(now, rest time.Duration, broke bool) {
	if now-w.at > time.Second {
		fade := math.Exp2(-(now - w.at).Seconds() / wearHalf.Seconds())
		for i := range wearSteps {
			w.uses[i] *= fade
			w.breaks[i] *= fade
		}
		w.at = now
	}
	i := 0
	for bound := wearLeast; rest >= bound && i < wearSteps-1; bound *= 2 {
		i++
	}
	w.uses[i]++
	if broke {
		w.breaks[i]++
	}
}

// limit is the rest that connections outlast, given what it was last; 0 if they outlast any. Breaks that come
// whatever the rest are none of its business.
func (w *wear) limit(last time.Duration) time.Duration {
	uses, breaks := w.uses[0], w.breaks[0] // of shorter rests
	for i := 1; i < wearSteps; i++ {
		enough := float64(wearBreaks)
		if last == wearLeast<<(i-1) {
			enough = wearFaded
		}
		share := w.breaks[i] / max(w.uses[i], 1)
		if w.breaks[i] >= enough && share >= wearShare && breaks <= wearPart*share*uses {
			return wearLeast << (i - 1)
		}
		uses, breaks = uses+w.uses[i], breaks+w.breaks[i]
	}
	return 0
}
