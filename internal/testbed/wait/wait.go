// Package wait provides a sleep that ends with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits until the duration has elapsed or the context is done. It reports false if the context is done.
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
