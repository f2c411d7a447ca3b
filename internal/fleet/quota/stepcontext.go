package quota

import (
	"math"
	"time"
)

// stepContext holds what all accounts need to know in a step: the settings, the time now and that of the start.
type stepContext struct {
	config    Config
	now       time.Duration
	startedAt time.Duration // time of the first Step
}

// previousUseReservation is how long after a start units may still be in use that the start before took.
func (s *stepContext) previousUseReservation(holdTime time.Duration) time.Duration {
	return s.reservationTime(holdTime)
}

// leaseReservation is how long after a lease was granted units of it may still be in use at the borrower.
func (s *stepContext) leaseReservation(holdTime time.Duration) time.Duration {
	return s.reservationTime(s.config.LeaseDuration + holdTime)
}

// reservationTime converts a duration by another member's clock into the time by this member's clock after which it
// has surely passed there: this clock may be the fastest while the other is the slowest.
func (s *stepContext) reservationTime(theirs time.Duration) time.Duration {
	drift := s.config.MaxClockDrift
	if seeded == ignoresClockDrift {
		drift = 0
	}
	return time.Duration(math.Ceil(float64(theirs) * (1 + drift) / (1 - drift)))
}
