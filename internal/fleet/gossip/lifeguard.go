package gossip

import (
	"math"
	"time"
)

// This file implements extensions of SWIM from Lifeguard (Dadgar, Phillips and Currey, 2018): local health, a suspicion
// timeout that grows with the fleet, and notices to suspects.

const (
	// maxHealthScore is the worst local health score. It scales probe intervals and timeouts by 1+maxHealthScore.
	maxHealthScore = 8
	// pausePenalty is added to the health score after a pause of the process.
	pausePenalty = 2
	// missingNacksPerPenalty is the number of relays without a Nack that adds 1 to the health score.
	missingNacksPerPenalty = 2
	// maxSuspicionNotices is the number of notices sent to a suspect before it is declared dead.
	maxSuspicionNotices = 3
)

// awareness tracks the local health of this member (Lifeguard's local health multiplier, memberlist's awareness). The
// zero value is healthy.
type awareness struct {
	score int // from 0 (healthy) to maxHealthScore
}

// raise records evidence that this member itself is slow or partitioned.
func (a *awareness) raise(penalty int) { a.score = min(a.score+penalty, maxHealthScore) }

// lower records evidence that this member is healthy.
func (a *awareness) lower() { a.score = max(a.score-1, 0) }

// scale multiplies a duration by the local health multiplier. A member that may be slow or partitioned itself waits
// longer for others.
func (a *awareness) scale(d time.Duration) time.Duration { return d * time.Duration(1+a.score) }

// suspicion tracks the notices sent to a suspect (Lifeguard's buddy system). Notices are needed because gossip may fail
// to carry the claim to the suspect or the refutation to this member.
type suspicion struct {
	notices int // sent about the current suspicion, at most maxSuspicionNotices
}

// noticeDue reports whether the next notice is due. elapsed is the time since the suspicion began.
func (s *suspicion) noticeDue(elapsed, timeout time.Duration) bool {
	return elapsed >= timeout*time.Duration(s.notices+1)/(maxSuspicionNotices+1)
}

// markNotified counts a notice as sent.
func (s *suspicion) markNotified() { s.notices++ }

// suspicionTimeout returns how long a suspect may take to refute. It grows with the fleet because gossip takes longer
// to carry the suspicion to the suspect and the refutation back.
func suspicionTimeout(base time.Duration, members int) time.Duration {
	scale := max(1, math.Log10(float64(members+1)))
	return time.Duration(float64(base) * scale)
}
