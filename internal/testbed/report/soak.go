package report

import (
	"fmt"
	"time"

	"calicohill/internal/testbed/workload"
)

// SoakResult is the result of one seed of a soak.
type SoakResult struct {
	Seed        uint64   `json:"seed"`
	Offered     int      `json:"offered"`
	Served      int      `json:"served"`
	Rejected    int      `json:"rejected"`
	Failed      int      `json:"failed"`
	Interrupted int      `json:"interrupted"`  // no response, because the process was killed or stopped
	NotAccepted int      `json:"not_accepted"` // no connection was established
	Late        float64  `json:"late_ms"`      // longest wake-up delay of a goroutine on this machine
	RulesBroken []string `json:"rules_broken"`
	Script      string   `json:"script"`
}

// Count sets the outcome of the load and the longest wake-up delay.
func (r *SoakResult) Count(load workload.Result, worstDelay time.Duration) {
	r.Offered = load.Offered
	r.Served = load.Served
	r.Rejected = load.Rejected
	r.Failed = load.Failed
	r.Interrupted = load.Interrupted
	r.NotAccepted = load.NotAccepted
	r.Late = float64(worstDelay.Milliseconds())
}

// Summary returns a one-line summary of the result.
func (r *SoakResult) Summary() string {
	return fmt.Sprintf("seed %d: %d offered, %d served, %d rejected, %d failed, %d interrupted, %d not accepted, %d rules broken",
		r.Seed, r.Offered, r.Served, r.Rejected, r.Failed, r.Interrupted, r.NotAccepted, len(r.RulesBroken))
}
