package snapshot

import "time"

const (
	// settleTime is the delay from a change of the endpoint list to the write. Changes come in bursts.
	settleTime = 100 * time.Millisecond
	// minInterval is the minimum time between the starts of two writes.
	minInterval = time.Second
	// refreshInterval is the time from a successful write to the next one if the list does not change. The learned
	// state changes continuously, and a loaded instance in it is trusted only for about ten seconds.
	refreshInterval = 5 * time.Second
	// minBackoff is the delay after the first failed write. It doubles with each further failure, up to maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = time.Minute
)

// Event is an input of WriteScheduler.Step: Changed or Written.
type Event any

// Changed reports that the endpoint list has changed.
type Changed struct{}

// Written reports that the write requested by the last Write has ended.
type Written struct {
	Err error // nil if the snapshot was written
}

// Action is an output of WriteScheduler.Step: Write or ReportStatus.
type Action any

// Write asks the caller to capture a record now and to write it. The caller reports the end of the write with Written.
type Write struct{}

// ReportStatus asks the caller to report that writes have started to fail or succeed again.
type ReportStatus struct {
	Err error // nil if writes succeed again
}

// WriteScheduler decides when to write snapshots: shortly after each change of the endpoint list, and periodically to
// save the learned state. It runs at most one write at a time and starts writes at least minInterval apart. The zero
// value is ready to use; it starts no write before the first Changed.
type WriteScheduler struct {
	nextWrite time.Duration // time of the next write; 0 if none is due
	notBefore time.Duration // earliest time of the next write
	writing   bool          // whether a write is in progress
	backoff   time.Duration // delay after the last failure; 0 if the last write succeeded
}

// Step applies events and returns the actions to carry out. now must not decrease between calls.
func (s *WriteScheduler) Step(now time.Duration, events ...Event) []Action {
	var actions []Action
	for _, event := range events {
		switch event := event.(type) {
		case Changed:
			s.listChanged(now)
		case Written:
			actions = s.writeEnded(actions, now, event.Err)
		}
	}
	if s.nextWrite > 0 && s.nextWrite <= now && !s.writing {
		s.nextWrite = 0
		s.notBefore = now + minInterval
		s.writing = true
		actions = append(actions, Write{})
	}
	return actions
}

// listChanged schedules a write after settleTime, but not before notBefore. An earlier scheduled write is kept.
func (s *WriteScheduler) listChanged(now time.Duration) {
	settled := max(now+settleTime, s.notBefore)
	if s.nextWrite == 0 || s.nextWrite > settled {
		s.nextWrite = settled
	}
}

// writeEnded schedules the retry of a failed write, or the next refresh after a successful one.
func (s *WriteScheduler) writeEnded(actions []Action, now time.Duration, err error) []Action {
	s.writing = false
	if err != nil {
		if s.backoff == 0 {
			actions = append(actions, ReportStatus{Err: err})
		}
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.notBefore = now + s.backoff
		s.nextWrite = s.notBefore
		return actions
	}
	if s.backoff > 0 {
		s.backoff = 0
		actions = append(actions, ReportStatus{})
	}
	if s.nextWrite == 0 {
		s.nextWrite = now + refreshInterval
	}
	return actions
}

// Next returns the time by which Step must be called again. It returns false if Step need not be called before the next
// event.
func (s *WriteScheduler) Next() (time.Duration, bool) {
	return s.nextWrite, s.nextWrite > 0 && !s.writing
}
