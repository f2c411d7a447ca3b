package pollplan

import "time"

// Event is an input of the Planner: Started, Connected, Answered, Failed, AddressChanged or Stalled.
type Event any

// Started reports that the scheduler has started.
type Started struct {
	HasEndpoints bool // an endpoint list was configured or restored
	Restored     bool // the list was restored from the snapshot of an earlier process
}

// Connected reports that a connection was established.
type Connected struct{ Conn int }

// Answered reports a complete response to a poll.
type Answered struct {
	Conn              int
	HasUpdates        bool // the response contained new events
	Incomplete        bool // the service has events that the list does not include yet
	ConnectionClosing bool // the service closes the connection after the response
}

// Failed reports that a connection could not be established or was lost, or that a response was an error.
type Failed struct {
	Conn       int
	RetryAfter time.Duration // value of the Retry-After header; 0 if absent
}

// AddressChanged reports that the address of the service has changed.
type AddressChanged struct{}

// Stalled reports that the process was stopped or did not get processor time for a while.
type Stalled struct{}

// Action is an output of the Planner for the caller to perform: Dial, Poll, Close, PollOverdue, MarkStale or Confirm.
type Action any

// Dial opens a connection with a new number. Connected or Failed follows.
type Dial struct{ Conn int }

// Poll sends a poll on a connection. Answered or Failed follows, or neither if the service does not
// respond or the connection is closed.
type Poll struct {
	Conn    int
	Timeout time.Duration // maximum time that the service waits for an update
}

// Close closes a connection. The caller reports no further events of it.
type Close struct{ Conn int }

// PollOverdue reports that a poll is overdue and that another one is sent in parallel.
type PollOverdue struct{}

// MarkStale reports that the list may be outdated for a duration from now, or until a MarkStale of 0. The scheduler did
// not poll for a while, and the protocol counts changes published during that time as delivered.
type MarkStale struct{ Duration time.Duration }

// Confirm reports that the list was complete at a time. 0 means that the age of the list is unknown.
type Confirm struct{ AsOf time.Duration }
