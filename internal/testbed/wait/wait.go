// Package wait has the pauses of the testbed.
package wait

import (
	"context"
	"time"
)

// Sleep waits, and reports whether the context still lives.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
