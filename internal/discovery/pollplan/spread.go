package pollplan

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReconnectWindow is the longest reconnect window. A scheduler must receive a change within 2 s after its
	// connection broke.
	maxReconnectWindow = 1900 * time.Millisecond
	// reconnectWindowPerPeer is added to the reconnect window for each other scheduler.
	reconnectWindowPerPeer = 20 * time.Millisecond
	// maxUpdateWindow is the longest update window. Polls are spread over the update window while the service appears
	// healthy: at startup, and after the service has answered the whole fleet at once. The window is short because the
	// next change may be a drain, which counts as delivered whether it is polled or not.
	maxUpdateWindow = 700 * time.Millisecond
	// updateWindowPerPeer is added to the update window for each other scheduler.
	updateWindowPerPeer = 3 * time.Millisecond
	// updateWindowGraceFraction limits the update window to a fraction of the drain grace.
	updateWindowGraceFraction = 0.7
	// firstPollJitter is the maximum deviation of the first poll's timeout after an event from the regular timeout. An
	// event answers the polls of the whole fleet at once, and polls of equal length would stay synchronized.
	firstPollJitter = time.Second
)

// pollStream is the second word of the random generator's seed. It makes the polls independent of the scheduler's other
// random generators, which use the same seed.
const pollStream = 0x706f6c6c // "poll"

// fleetSpread spreads the polls of a fleet over time. It holds the windows, which grow with the size of the fleet up to
// maxReconnectWindow and maxUpdateWindow, this scheduler's slot in the reconnect window, and the random generator. It
// belongs to a Planner.
type fleetSpread struct {
	reconnectWindow time.Duration
	updateWindow    time.Duration
	rng             *rand.Rand
	slot            time.Duration // offset of the scheduler's slot within each reconnect window
}

func newFleetSpread(schedulers int, drainGrace time.Duration, seed uint64) fleetSpread {
	peers := time.Duration(max(schedulers, 1) - 1)
	spread := fleetSpread{
		reconnectWindow: min(maxReconnectWindow, peers*reconnectWindowPerPeer),
		updateWindow:    min(maxUpdateWindow, peers*updateWindowPerPeer, scaled(drainGrace, updateWindowGraceFraction)),
		rng:             rand.New(rand.NewPCG(seed, pollStream)),
	}
	spread.slot = spread.draw(spread.reconnectWindow)
	return spread
}

// interpolate returns a duration from low, for a single scheduler, to high, for a fleet with the longest reconnect
// window.
func (s *fleetSpread) interpolate(low, high time.Duration) time.Duration {
	return low + (high-low)*s.reconnectWindow/maxReconnectWindow
}

// nextSlot returns the scheduler's first slot at or after a time.
func (s *fleetSpread) nextSlot(from time.Duration) time.Duration {
	if s.reconnectWindow == 0 {
		return from
	}
	return from + (s.slot-from%s.reconnectWindow+s.reconnectWindow)%s.reconnectWindow
}

// afterUpdate returns a random delay within the update window.
func (s *fleetSpread) afterUpdate() time.Duration { return s.draw(s.updateWindow) }

// jittered returns a random poll timeout around timeout, and at most maxPollTimeout. It desynchronizes polls that
// follow a response to the whole fleet.
func (s *fleetSpread) jittered(timeout time.Duration) time.Duration {
	jitter := min(firstPollJitter, s.reconnectWindow)
	return min(timeout, maxPollTimeout-jitter) + s.draw(2*jitter) - jitter
}

// draw returns a random duration in [0, longest].
func (s *fleetSpread) draw(longest time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(longest) + 1))
}

// scaled returns a fraction of a duration.
func scaled(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(duration))
}
