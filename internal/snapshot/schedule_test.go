package snapshot_test

import (
	"errors"
	"testing"
	"time"

	"calicohill/internal/snapshot"

	"pgregory.net/rapid"
)

// schedulerModel tracks the expected state of a WriteScheduler: the write in progress, the saved list and the reports.
type schedulerModel struct {
	scheduler       snapshot.WriteScheduler
	now             time.Duration
	lastStart       time.Duration
	writing         bool
	reportedFailing bool
	listVersion     int
	writingVersion  int // list version in the write in progress
	savedVersion    int // list version in the last successful write
}

// step passes events to the WriteScheduler and checks its actions.
func (m *schedulerModel) step(rt *rapid.T, events ...snapshot.Event) {
	for _, action := range m.scheduler.Step(m.now, events...) {
		switch action := action.(type) {
		case snapshot.Write:
			if m.writing || m.now-m.lastStart < snapshot.MinInterval {
				rt.Fatalf("write started %v after the previous one, write in progress: %v", m.now-m.lastStart, m.writing)
			}
			m.writing = true
			m.lastStart = m.now
			m.writingVersion = m.listVersion
		case snapshot.ReportStatus:
			if m.reportedFailing == (action.Err != nil) {
				rt.Fatalf("reported twice: %v", action.Err)
			}
			m.reportedFailing = action.Err != nil
		}
	}
}

// endWrite reports the end of the write in progress to the WriteScheduler.
func (m *schedulerModel) endWrite(rt *rapid.T, err error) {
	m.writing = false
	if err == nil {
		m.savedVersion = m.writingVersion
	}
	m.step(rt, snapshot.Written{err})
}

// For any order of changes, slow writes and failures: at most one write is in progress, writes start at least
// MinInterval apart, the last change is eventually written, and a series of failures is reported once.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		model := schedulerModel{now: time.Hour}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			model.now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			switch choice := rapid.IntRange(0, 3).Draw(rt, "do"); {
			case choice == 0:
				model.listVersion++
				model.step(rt, snapshot.Changed{})
			case choice == 1 && model.writing:
				model.endWrite(rt, nil)
			case choice == 2 && model.writing:
				model.endWrite(rt, errors.New("no space"))
			default:
				model.step(rt)
			}
		}
		for range 10 {
			if model.writing {
				model.endWrite(rt, nil)
			}
			model.now += snapshot.MaxBackoff
			model.step(rt)
		}
		if model.savedVersion != model.listVersion {
			rt.Fatalf("list version %d is saved, want %d", model.savedVersion, model.listVersion)
		}
	})
}
