package routing

import "time"

// Action is something that a Router asks for, to be done in the order given. The concrete types are Send,
// Cancel, Reject, Fail, SetTimer, Probe, Load, Unload, Subscribe, FetchList and, where Settings.Observed, ReportFault.
type Action interface{ action() }

// Send starts an attempt. The attempts of a request are numbered from 0 in the order of their Sends.
type Send struct {
	ID      string
	Worker  string
	Timeout time.Duration // 0 means until the client gives up
	// StartWithin is how long from now it may begin: a repeat that has waited longer for its connection would come when
	// workers have forgotten the first. 0 means any time.
	StartWithin time.Duration
}

// Cancel stops the wait for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Reject is a final answer: not served, and trying again is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // advice on when to try again; 0 means none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID string }

// SetTimer asks for a TimerFired.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Probe asks a worker for its load report.
type Probe struct{ Worker string }

// Load orders a worker to hold at least that many copies of a function; 0 only asks.
type Load struct {
	Worker, Function string
	Instances        int
}

// Unload has the idle copies of a function at a worker unloaded.
type Unload struct{ Worker, Function string }

// Subscribe asks discovery for changes of the worker list from now on, or stops asking.
type Subscribe struct{ On bool }

// FetchList asks discovery for the whole list, once.
type FetchList struct{}

// ReportFault says what this scheduler itself finds of a worker, first when that changes and again with newer proof.
type ReportFault struct {
	Worker     string
	Fault      Fault         // Well: an answer
	ObservedAt time.Duration // when the request was sent that shows it, or the answer came
}

func (ReportFault) action() {}
func (Send) action()        {}
func (Cancel) action()      {}
func (Reject) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (Probe) action()       {}
func (Load) action()        {}
func (Unload) action()      {}
func (Subscribe) action()   {}
func (FetchList) action()   {}
