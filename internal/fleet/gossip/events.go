package gossip

import (
	"net/netip"
	"time"
)

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

// outbox collects the actions of a Step. It holds messages to the rate limit, and piggybacks broadcasts on them.
type outbox struct {
	self          *localMember
	table         *memberTable
	dissemination *dissemination
	limits        *rateLimits

	now     time.Duration // of the Step in progress
	actions []Action      // of the Step in progress
}

func newOutbox(self *localMember, table *memberTable, queue *dissemination, limits *rateLimits) *outbox {
	return &outbox{self: self, table: table, dissemination: queue, limits: limits}
}

// begin empties the outbox for a Step.
func (o *outbox) begin(now time.Duration) {
	o.now = now
	o.actions = nil
}

// emit adds an action.
func (o *outbox) emit(action Action) { o.actions = append(o.actions, action) }

// transmit sends a message, with broadcasts piggybacked, and reports whether the budget allowed it. The name is empty
// where only the address is known.
func (o *outbox) transmit(name string, addr netip.AddrPort, message *Message) bool {
	if !o.limits.allowSend(o.now) {
		return false
	}
	o.dissemination.piggyback(message, o.table.hasContacted(name), retransmitLimit(o.table.len()))
	o.emit(Transmit{To: name, Addr: addr, Incarnation: o.self.record.Incarnation, Message: message})
	return true
}

// transmitTo sends a message to a member, as transmit does.
func (o *outbox) transmitTo(m *member, message *Message) bool {
	return o.transmit(m.Name, m.Addr.AddrPort, message)
}

// reply sends a message to whoever sent another, if the budget allows it.
func (o *outbox) reply(received Received, message *Message) {
	o.transmit(received.From, received.Addr, message)
}
