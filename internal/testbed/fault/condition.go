package fault

import (
	"math/rand/v2"
	"time"
)

// LinkCondition is what a link does to the bytes or datagrams that it carries. The zero value passes them on unchanged.
type LinkCondition struct {
	Delay          time.Duration // each way
	Jitter         time.Duration // each way, a random addition to Delay of up to this
	BytesPerSecond float64       // each way; 0 means no bound
	Loss           float64       // fraction of the datagrams that is lost
	Duplicate      float64       // fraction of the datagrams that arrives twice; those that Jitter delays arrive out of order
	CutForward     bool          // drops what goes to the target, without any error
	CutBackward    bool          // drops what comes back, without any error
	Hang           bool          // accepts new connections and passes nothing on
}

// stopsForward reports whether nothing is passed on in the forward direction.
func (c LinkCondition) stopsForward() bool { return c.CutForward || c.Hang }

// stopsBackward reports whether nothing is passed on in the backward direction.
func (c LinkCondition) stopsBackward() bool { return c.CutBackward || c.Hang }

// delay returns how long this many bytes are in transit.
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
