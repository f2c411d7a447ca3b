package pollplan

import "time"

// Event is what happened: a Started, Connected, Answered, Failed, AddressChanged or Stalled.
type Event any

// Started is the start of the scheduler.
type Started struct {
	HasEndpoints bool // an endpoint list is known already
	Restored     bool // that list is an earlier process's
}

// Connected reports a connection that came up.
type Connected struct{ Conn int }

// Answered reports a complete response to a poll.
type Answered struct {
	Conn              int
	HasUpdates        bool // it had events that were not known before
	Incomplete        bool // the list lacks events that the service has
	ConnectionClosing bool // the service closes the connection after it
}

// Failed reports a connection that did not come up or is lost, or a response that is an error.
type Failed struct {
	Conn       int
	RetryAfter time.Duration // how long the service asked not to be polled; 0 if it did not
}

// AddressChanged reports that the service is at another address.
type AddressChanged struct{}

// Stalled reports that the process did not run for a while: it was stopped, or had no processor.
type Stalled struct{}

// Action is what the caller has to do: a Dial, Poll, Close, PollOverdue, MarkStale or Confirm.
type Action any

// Dial opens a connection under a number of its own. Connected or Failed follows.
type Dial struct{ Conn int }

// Poll sends a poll over a connection. Answered or Failed follows, or neither.
type Poll struct {
	Conn    int
	Timeout time.Duration // how long the service may wait for an update
}

// Close closes a connection. No event of it is expected any more.
type Close struct{ Conn int }

// PollOverdue says that a poll is overdue and that a new one is made beside it.
type PollOverdue struct{}

// MarkStale says that the list may be outdated for this long from now on, or until a MarkStale of 0: this scheduler did not
// poll, and the protocol counts changes published meanwhile as delivered.
type MarkStale struct{ Duration time.Duration }

// Confirm says that the list is known to have been complete at a time; 0 stands for a list of unknown age.
type Confirm struct{ AsOf time.Duration }
