package gossip

import "net/netip"

// Event is an input of Core.Step. The concrete types are Received, Broadcast, Leave, RemoveMember and UpdateSeeds.
type Event interface{ event() }

// Received is a message that a Guard has opened.
type Received struct {
	From    string
	Addr    netip.AddrPort
	Epoch   int64 // when the sender started, Unix milliseconds
	Message *Message
	Trusted bool // known not to be a replay, so the sender's claims may be applied
}

// Broadcast disseminates a statement of this member to the fleet.
type Broadcast struct{ Statement Statement }

// Leave announces that this member leaves the fleet. Nothing is sent after that.
type Leave struct{}

// RemoveMember removes a member whose key is no longer valid.
type RemoveMember struct{ Name string }

// UpdateSeeds replaces the seeds.
type UpdateSeeds struct{ Seeds []netip.AddrPort }

func (Received) event()     {}
func (Broadcast) event()    {}
func (Leave) event()        {}
func (RemoveMember) event() {}
func (UpdateSeeds) event()  {}

// Action is an output of Core.Step. The concrete types are Transmit, MemberChanged, MemberForgotten,
// StatementReceived and NameConflict.
type Action interface{ action() }

// Transmit asks for a message to be sealed and sent.
type Transmit struct {
	To          string // empty where only the address is known
	Addr        netip.AddrPort
	Incarnation uint32 // the sender's incarnation
	Message     *Message
}

// MemberChanged reports a new member, or a member that changed state.
type MemberChanged struct{ Member Member }

// MemberForgotten reports that all knowledge of a member was dropped.
type MemberForgotten struct{ Name string }

// StatementReceived delivers a statement of another member, once.
type StatementReceived struct{ Statement Statement }

// NameConflict reports that another member with this member's name started later. Nothing is sent from then on.
type NameConflict struct{ Epoch int64 }

func (Transmit) action()          {}
func (MemberChanged) action()     {}
func (StatementReceived) action() {}
func (MemberForgotten) action()   {}
func (NameConflict) action()      {}
