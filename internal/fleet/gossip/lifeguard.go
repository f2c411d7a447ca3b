package gossip

import (
	"math"
	"time"
)

// The extensions that Lifeguard (Dadgar, Phillips and Currey, 2018) makes to SWIM: local health, a suspicion timeout
// that grows with the fleet, and notices to suspects.

const (
	// maxHealthScore is the worst local health score. Probe intervals and timeouts grow to 1+maxHealthScore times theirs.
	maxHealthScore = 8
	// pausePenalty is what a pause adds to the health score.
	pausePenalty = 2
	// missingNacksPerPenalty is how many relays that sent no Nack add one to the health score.
	missingNacksPerPenalty = 2
	// maxSuspicionNotices is how often this member itself notifies a suspect before it declares it dead.
	maxSuspicionNotices = 3
)

// awareness is the local health of this member (Lifeguard's local health multiplier, memberlist's awareness). The zero
// awareness is that of a healthy member.
type awareness struct {
	score int // 0 is healthy, maxHealthScore at most
}

// raise records evidence that this member itself is slow or cut off.
func (a *awareness) raise(penalty int) { a.score = min(a.score+penalty, maxHealthScore) }

// lower records evidence that this member is healthy.
func (a *awareness) lower() { a.score = max(a.score-1, 0) }

// scale scales a duration by the local health: a member that may be slow or cut off itself waits longer for others.
func (a *awareness) scale(d time.Duration) time.Duration { return d * time.Duration(1+a.score) }

// suspicion is what a member under suspicion was notified of (Lifeguard's buddy system). Its refutation may have been
// gossiped past this member, and the claim may not have reached it.
type suspicion struct {
	notices int // sent to it about the present suspicion, maxSuspicionNotices at most
}

// noticeDue reports whether the next notice is due so long after the suspicion began.
func (s *suspicion) noticeDue(elapsed, timeout time.Duration) bool {
	return elapsed >= timeout*time.Duration(s.notices+1)/(maxSuspicionNotices+1)
}

// markNotified counts a notice.
func (s *suspicion) markNotified() { s.notices++ }

// suspicionTimeout is how long a suspect has to refute. It grows with the fleet: with more members, the suspicion takes
// longer to reach the suspect, and its refutation to come back.
func suspicionTimeout(base time.Duration, members int) time.Duration {
	scale := max(1, math.Log10(float64(members+1)))
	return time.Duration(float64(base) * scale)
}
