package fault

import (
	"math/rand/v2"
	"time"
)

// LinkCondition describes the faults that a link applies to its traffic. The zero value forwards traffic unchanged.
type LinkCondition struct {
	Delay          time.Duration // in each direction
	Jitter         time.Duration // maximum random addition to Delay, in each direction; may reorder datagrams
	BytesPerSecond float64       // in each direction; 0 means unlimited
	Loss           float64       // fraction of datagrams that are lost
	Duplicate      float64       // fraction of datagrams that are duplicated
	CutForward     bool          // silently drops traffic to the target
	CutBackward    bool          // silently drops traffic from the target
	Hang           bool          // accepts new connections and forwards no data
}

// blocksForward reports whether traffic to the target is stopped.
func (c LinkCondition) blocksForward() bool { return c.CutForward || c.Hang }

// blocksBackward reports whether traffic from the target is stopped.
func (c LinkCondition) blocksBackward() bool { return c.CutBackward || c.Hang }

// delay returns the transit time of the given number of bytes.
func (c LinkCondition) delay(bytes int) time.Duration {
	delay := c.Delay
	if c.Jitter > 0 {
		delay += rand.N(c.Jitter)
	}
	if c.BytesPerSecond > 0 {
		delay += time.Duration(float64(bytes) / c.BytesPerSecond * float64(time.Second))
	}
	return delay
}
