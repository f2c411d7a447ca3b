package faultreport

import (
	"time"

	"calicohill/routing"
)

// Config holds the settings of a Core.
type Config struct {
	Liars       int           // byzantine members to tolerate; negative: the most that are less than a third of the fleet
	LeaveOut    float64       // largest fraction of the listed workers that may be Confirmed
	ForgetAfter time.Duration // how long a report counts after the newest request that shows the fault
}

// Event is an input of Core.Step. The concrete types are FaultObserved, EndpointsChanged, Members, Heard, Lied and
// Configure.
type Event interface{ event() }

// FaultObserved brings this scheduler's own finding on a worker; the fault Healthy stands for a response. At is when
// the request that shows it was sent.
type FaultObserved struct {
	Worker string
	Fault  routing.Fault
	At     time.Duration
}

// EndpointsChanged brings the workers of the current endpoint list, in place of those before.
type EndpointsChanged struct{ Workers []string }

// Members brings the names of the live members, without this one, in place of those before.
type Members struct{ Names []string }

// Heard brings a statement of a member, which was verified to be its own. Body is what Encode returned there.
type Heard struct {
	From string
	Body []byte
}

// Lied reports that a member was caught at equivocation: it signed two different statements under one number.
type Lied struct{ From string }

// Configure replaces the settings.
type Configure struct{ Config }

func (FaultObserved) event()    {}
func (EndpointsChanged) event() {}
func (Members) event()          {}
func (Heard) event()            {}
func (Lied) event()             {}
func (Configure) event()        {}

// Action is an output of Core.Step. The concrete types are Say, Hold and Discredited.
type Action interface{ action() }

// Say asks for a statement with these reports to be broadcast to all members, in place of the one before.
type Say struct{ Accusations []Accusation }

// Hold hands the Router the verdicts of peers on workers, in place of all before; a worker that is not named is
// NotReported. It is emitted when a verdict changes, and periodically as long as there is one, since the Router weighs
// verdicts against its own observations, which age.
type Hold struct{ routing.PeerReports }

// Discredited announces that the reports of a member are ignored for now, and why. It is emitted once until the
// member is trusted again.
type Discredited struct {
	From string
	Why  string
}

func (Say) action()         {}
func (Hold) action()        {}
func (Discredited) action() {}
