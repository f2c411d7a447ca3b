package snapshot

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any order of changes, slow writes and failures: there is one write at a time, none within minInterval of the last,
// and the last change is written in the end. A series of failures is reported once.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var scheduler Scheduler
		now := time.Hour
		lastStart := time.Duration(0)
		writing := false
		reportedFailing := false
		listVersion := 0
		writingVersion := 0 // in the write in progress
		savedVersion := 0   // in the last write that succeeded
		step := func(events ...Event) {
			for _, action := range scheduler.Step(now, events...) {
				switch action := action.(type) {
				case Write:
					if writing || now-lastStart < minInterval {
						rt.Fatalf("a write %v after the last, another in progress: %v", now-lastStart, writing)
					}
					writing = true
					lastStart = now
					writingVersion = listVersion
				case ReportStatus:
					if reportedFailing == (action.Err != nil) {
						rt.Fatalf("reported twice: %v", action.Err)
					}
					reportedFailing = action.Err != nil
				}
			}
		}
		end := func(err error) {
			writing = false
			if err == nil {
				savedVersion = writingVersion
			}
			step(Written{err})
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			switch choice := rapid.IntRange(0, 3).Draw(rt, "do"); {
			case choice == 0:
				listVersion++
				step(Changed{})
			case choice == 1 && writing:
				end(nil)
			case choice == 2 && writing:
				end(errors.New("no space"))
			default:
				step()
			}
		}
		for range 10 {
			if writing {
				end(nil)
			}
			now += maxBackoff
			step()
		}
		if savedVersion != listVersion {
			rt.Fatalf("list %d is saved, the last is %d", savedVersion, listVersion)
		}
	})
}
