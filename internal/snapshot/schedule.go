package snapshot

import "time"

const (
	// settleTime is how long after a change of the endpoint list a snapshot is written: changes come in bursts.
	settleTime = 100 * time.Millisecond
	// minInterval is the shortest time between the starts of two writes.
	minInterval = time.Second
	// refreshInterval is how long after a successful write the next one follows even if the list stays the same. The
	// router learns all the time, and a loaded instance in the learned state is only trusted for some ten seconds.
	refreshInterval = 5 * time.Second
	// minBackoff is the pause after the first failed write; it doubles with each further one, up to maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = time.Minute
)

// Event is an input of Scheduler.Step: Changed or Written.
type Event any

// Changed reports that the endpoint list has changed.
type Changed struct{}

// Written reports that the write which the last Write asked for has ended.
type Written struct {
	Err error // nil if the snapshot was written
}

// Action is an output of Scheduler.Step: Write or ReportStatus.
type Action any

// Write asks the caller to capture a record now and to write it. The caller reports the end of it by Written.
type Write struct{}

// ReportStatus asks the caller to report that writes have begun to fail, or that they succeed again.
type ReportStatus struct {
	Err error // nil if writes succeed again
}

// Scheduler decides when snapshots are written: soon after each change of the endpoint list, and periodically to save
// what was learned. There is at most one write at a time, and writes start at least minInterval apart. The zero value
// is ready to use and writes nothing before the first Changed.
type Scheduler struct {
	nextWrite time.Duration // when the next write is due; 0 if none is
	notBefore time.Duration // earliest time of the next write
	writing   bool          // whether a write is in progress
	backoff   time.Duration // pause after the last failure; 0 if the last write succeeded
}

// Step handles events and returns what the caller has to do. now must not decrease between calls.
func (s *Scheduler) Step(now time.Duration, events ...Event) []Action {
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

// listChanged makes a write due once the burst of changes has settled, unless an earlier one is due already.
func (s *Scheduler) listChanged(now time.Duration) {
	settled := max(now+settleTime, s.notBefore)
	if s.nextWrite == 0 || s.nextWrite > settled {
		s.nextWrite = settled
	}
}

// writeEnded schedules the write that follows another: the retry of a failed one, or the next refresh.
func (s *Scheduler) writeEnded(actions []Action, now time.Duration, err error) []Action {
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

// Next returns the time at which Step has to be called at the latest; false if only an event can make a write due.
func (s *Scheduler) Next() (time.Duration, bool) {
	return s.nextWrite, s.nextWrite > 0 && !s.writing
}
