package quota

import (
	"math"
	"time"
)

// stepContext holds the parameters of a step that all accounts share.
type stepContext struct {
	config    Config
	now       time.Duration
	startedAt time.Duration // time of the first Step
}

// previousUseTime returns the time after a restart for which units taken by the previous incarnation may still be
// in use.
func (s *stepContext) previousUseTime(holdTime time.Duration) time.Duration {
	return s.maxLocalTime(holdTime)
}

// leaseUseTime returns the time after the grant of a lease for which the borrower may still use its units.
func (s *stepContext) leaseUseTime(holdTime time.Duration) time.Duration {
	return s.maxLocalTime(s.config.LeaseDuration + holdTime)
}

// maxLocalTime returns the longest time on this member's clock that can pass while the given time passes on another
// member's clock. The worst case is that this clock is the fastest and the other one the slowest.
func (s *stepContext) maxLocalTime(remote time.Duration) time.Duration {
	drift := s.config.MaxClockDrift
	if seeded == ignoresClockDrift {
		drift = 0
	}
	return time.Duration(math.Ceil(float64(remote) * (1 + drift) / (1 - drift)))
}
