package faultreport

import (
	"time"

	"calicohill/routing"
)

// Config holds the settings of a Core.
type Config struct {
	MaxByzantine       int           // tolerated byzantine members; negative for the maximum under a third of the fleet
	MaxEjectedFraction float64       // maximum fraction of the listed workers that are Confirmed
	ReportTTL          time.Duration // lifetime of a report, from the newest request that showed the fault
}

// Event is an input of Core.Step. The concrete types are FaultObserved, EndpointsChanged, MembersChanged,
// StatementReceived, EquivocationDetected and Configure.
type Event interface{ event() }

// FaultObserved carries this scheduler's own observation of a worker. The fault Healthy stands for a response. At is
// the send time of the observed request.
type FaultObserved struct {
	Worker string
	Fault  routing.Fault
	At     time.Duration
}

// EndpointsChanged carries all workers of the current endpoint list.
type EndpointsChanged struct{ Workers []string }

// MembersChanged carries the names of all live members except this one.
type MembersChanged struct{ Names []string }

// StatementReceived carries a statement of another member. Its signature has been verified. Body is encoded by Encode.
type StatementReceived struct {
	From string
	Body []byte
}

// EquivocationDetected reports that a member signed two different statements with one sequence number.
type EquivocationDetected struct{ From string }

// Configure replaces the configuration.
type Configure struct{ Config }

func (FaultObserved) event()        {}
func (EndpointsChanged) event()     {}
func (MembersChanged) event()       {}
func (StatementReceived) event()    {}
func (EquivocationDetected) event() {}
func (Configure) event()            {}

// Action is an output of Core.Step. The concrete types are Broadcast, PublishVerdicts and Discredited.
type Action interface{ action() }

// Broadcast asks the caller to send a statement with these reports to all members. It replaces the previous statement.
type Broadcast struct{ Reports []Report }

// PublishVerdicts passes the peers' verdicts to the Router and replaces all previous verdicts. A worker without a
// verdict is NotReported. It is emitted when a verdict changes, and periodically while there is a verdict, because the
// Router compares verdicts with its own observations, which expire.
type PublishVerdicts struct{ routing.PeerReports }

// Discredited announces that the reports of a member are being ignored. It is emitted at most once until the member is
// trusted again.
type Discredited struct {
	From   string
	Reason string
}

func (Broadcast) action()       {}
func (PublishVerdicts) action() {}
func (Discredited) action()     {}
