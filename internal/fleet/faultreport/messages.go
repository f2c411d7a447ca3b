package faultreport

import (
	"time"

	"calicohill/routing"
)

// Config holds the settings of a Core.
type Config struct {
	MaxByzantine       int           // byzantine members to tolerate; negative: as many as are under a third of the fleet
	MaxEjectedFraction float64       // largest fraction of the listed workers that may be Confirmed
	ReportTTL          time.Duration // how long a report counts after the newest request that shows the fault
}

// Event is an input of Core.Step. The concrete types are FaultObserved, EndpointsChanged, MembersChanged,
// StatementReceived, EquivocationDetected and Configure.
type Event interface{ event() }

// FaultObserved carries this scheduler's own finding on a worker; the fault Healthy stands for a response. At is when
// the request that shows it was sent.
type FaultObserved struct {
	Worker string
	Fault  routing.Fault
	At     time.Duration
}

// EndpointsChanged carries the workers of the current endpoint list, in place of those before.
type EndpointsChanged struct{ Workers []string }

// MembersChanged carries the names of the live members, without this one, in place of those before.
type MembersChanged struct{ Names []string }

// StatementReceived carries a statement of another member, whose signature was verified. Body is what Encode returned there.
type StatementReceived struct {
	From string
	Body []byte
}

// EquivocationDetected reports that a member equivocated: it signed two different statements with one sequence number.
type EquivocationDetected struct{ From string }

// Configure replaces the settings.
type Configure struct{ Config }

func (FaultObserved) event()        {}
func (EndpointsChanged) event()     {}
func (MembersChanged) event()       {}
func (StatementReceived) event()    {}
func (EquivocationDetected) event() {}
func (Configure) event()            {}

// Action is an output of Core.Step. The concrete types are Broadcast, PublishVerdicts and Discredited.
type Action interface{ action() }

// Broadcast asks for a statement with these reports to be broadcast to all members, in place of the one before.
type Broadcast struct{ Reports []Report }

// PublishVerdicts hands the Router the verdicts of peers on workers, in place of all before; a worker that is not
// named is NotReported. It is emitted when a verdict changes, and periodically as long as there is one, since the
// Router weighs verdicts against its own observations, which age.
type PublishVerdicts struct{ routing.PeerReports }

// Discredited announces that the reports of a member are ignored for now, and why. It is emitted once until the
// member is trusted again.
type Discredited struct {
	From string
	Why  string
}

func (Broadcast) action()       {}
func (PublishVerdicts) action() {}
func (Discredited) action()     {}
