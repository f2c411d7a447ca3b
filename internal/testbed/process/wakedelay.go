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
	measured := make(chan time.Duration, 1)
	go func() {
		worst := time.Duration(0)
		for at := time.Now(); wait.Sleep(ctx, interval); at = time.Now() {
			worst = max(worst, time.Since(at)-interval)
			f.wakeDelay.Store(int64(worst))
		}
		measured <- worst
	}()
	return measured
}
