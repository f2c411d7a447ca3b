package process

import (
	"context"
	"time"

	"calicohill/internal/testbed/wait"
)

// MeasureWakeDelay measures the maximum wake-up delay of sleeping goroutines on this machine until the context ends.
// Schedulers experience similar delays.
func (f *Fleet) MeasureWakeDelay(ctx context.Context) <-chan time.Duration {
	const interval = 5 * time.Millisecond
	result := make(chan time.Duration, 1)
	go func() {
		maxDelay := time.Duration(0)
		for sleepStart := time.Now(); wait.Sleep(ctx, interval); sleepStart = time.Now() {
			maxDelay = max(maxDelay, time.Since(sleepStart)-interval)
			f.wakeDelay.Store(int64(maxDelay))
		}
		result <- maxDelay
	}()
	return result
}
