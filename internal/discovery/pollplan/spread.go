package pollplan

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReconnectWindow is the longest reconnect window: a change has to be known 2 s after a connection broke.
	maxReconnectWindow = 1900 * time.Millisecond
	// reconnectWindowPerPeer is what each other scheduler adds to the window.
	reconnectWindowPerPeer = 20 * time.Millisecond
	// maxUpdateWindow is the longest time over which polls are spread where nothing shows that the service is faulty: at a
	// start, and when it has just answered the whole fleet. Its next change may be a drain, which counts as delivered
	// whether anybody polls or not.
	maxUpdateWindow = 700 * time.Millisecond
	// updateWindowPerPeer is what each other scheduler adds to the update window.
	updateWindowPerPeer = 3 * time.Millisecond
	// updateWindowGraceFraction bounds the update window by a fraction of the grace within which a drain has to be obeyed.
	updateWindowGraceFraction = 0.7
	// firstPollJitter is how far the timeout of the first poll after an event may be off PollTimeout: an event answers the
	// polls of the whole fleet at once, and if all polls lasted equally long they would stay synchronized.
	firstPollJitter = time.Second
)

// pollStream is the second word of the random generator's seed, so that these draws are independent of the scheduler's
// other draws from the same seed.
const pollStream = 0x706f6c6c // "poll"

// fleetSpread spreads the polls of a fleet over time: it has the windows that grow with the fleet, this scheduler's slot in
// the reconnect window, and the random generator. It belongs to a Planner. Its windows are bounded by maxReconnectWindow and
// maxUpdateWindow.
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

// interpolate is between low, for a scheduler alone, and high, for a fleet with the longest reconnect window.
func (s *fleetSpread) interpolate(low, high time.Duration) time.Duration {
	return low + (high-low)*s.reconnectWindow/maxReconnectWindow
}

// nextSlot returns the time of the scheduler's first slot at or after a time.
func (s *fleetSpread) nextSlot(from time.Duration) time.Duration {
	if s.reconnectWindow == 0 {
		return from
	}
	return from + (s.slot-from%s.reconnectWindow+s.reconnectWindow)%s.reconnectWindow
}

// afterUpdate draws a time within the update window.
func (s *fleetSpread) afterUpdate() time.Duration { return s.draw(s.updateWindow) }

// jittered draws the timeout of a poll that the fleet makes after the same response: around timeout, and at most
// maxPollTimeout.
func (s *fleetSpread) jittered(timeout time.Duration) time.Duration {
	jitter := min(firstPollJitter, s.reconnectWindow)
	return min(timeout, maxPollTimeout-jitter) + s.draw(2*jitter) - jitter
}

// draw returns a random time from 0 to longest, both included.
func (s *fleetSpread) draw(longest time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(longest) + 1))
}

// scaled is a fraction of a duration.
func scaled(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(duration))
}
