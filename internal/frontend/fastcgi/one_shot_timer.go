package fastcgi

import (
	"time"

	"calicohill/internal/runtime/deadline"
)

// oneShotTimer calls a function once for any number of calls of start before that. It is used on the event loop only.
type oneShotTimer struct {
	timer     deadline.Timer
	scheduled bool
}

// init sets the function.
func (t *oneShotTimer) init(fire func()) {
	t.timer.Fire = func() {
		t.scheduled = false
		fire()
	}
}

// start schedules the call, unless it is scheduled already.
func (t *oneShotTimer) start(loop Loop, after time.Duration) {
	if !t.scheduled {
		t.scheduled = true
		loop.SetDeadline(&t.timer, loop.Now()+after)
	}
}
