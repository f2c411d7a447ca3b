package gossip

import (
	"net/netip"
	"time"
)

// Event is an input of Core.Step. The concrete types are Received, Broadcast, Leave, RemoveMember and UpdateSeeds.
type Event interface{ event() }

// Received is the arrival of a message that a Guard has authenticated.
type Received struct {
	From    string
	Addr    netip.AddrPort
	Epoch   int64 // start time of the sender, Unix milliseconds
	Message *Message
	Trusted bool // a valid cookie rules out a replay; claims are applied only if set
}

// Broadcast disseminates a statement of this member to the fleet.
type Broadcast struct{ Statement Statement }

// Leave makes this member announce its departure and stop sending.
type Leave struct{}

// RemoveMember removes a member whose key is no longer valid.
type RemoveMember struct{ Name string }

// UpdateSeeds replaces the list of seeds.
type UpdateSeeds struct{ Seeds []netip.AddrPort }

func (Received) event()     {}
func (Broadcast) event()    {}
func (Leave) event()        {}
func (RemoveMember) event() {}
func (UpdateSeeds) event()  {}

// Action is an output of Core.Step. The concrete types are Transmit, MemberChanged, MemberForgotten,
// StatementReceived and NameConflict.
type Action interface{ action() }

// Transmit requests that a message be sealed and sent.
type Transmit struct {
	To          string // empty if only the address is known
	Addr        netip.AddrPort
	Incarnation uint32 // of the sender
	Message     *Message
}

// MemberChanged reports a new member or a state change of a known one.
type MemberChanged struct{ Member Member }

// MemberForgotten reports that all state about a member was dropped.
type MemberForgotten struct{ Name string }

// StatementReceived delivers a statement of another member. Each statement is delivered once.
type StatementReceived struct{ Statement Statement }

// NameConflict reports that another member with the same name started later. This member stops sending.
type NameConflict struct{ Epoch int64 }

func (Transmit) action()          {}
func (MemberChanged) action()     {}
func (StatementReceived) action() {}
func (MemberForgotten) action()   {}
func (NameConflict) action()      {}

// outbox collects the actions of a Step. It enforces the rate limit on messages and piggybacks broadcasts on them.
type outbox struct {
	self          *localMember
	table         *memberTable
	dissemination *dissemination
	limits        *rateLimits

	now     time.Duration // time of the current Step
	actions []Action      // actions of the current Step
}

func newOutbox(self *localMember, table *memberTable, queue *dissemination, limits *rateLimits) *outbox {
	return &outbox{self: self, table: table, dissemination: queue, limits: limits}
}

// begin resets the outbox for a new Step.
func (o *outbox) begin(now time.Duration) {
	o.now = now
	o.actions = nil
}

func (o *outbox) emit(action Action) { o.actions = append(o.actions, action) }

// transmit sends a message with piggybacked broadcasts and reports whether the rate limit allowed it. The name is empty
// if only the address is known.
func (o *outbox) transmit(name string, addr netip.AddrPort, message *Message) bool {
	if !o.limits.allowSend(o.now) {
		return false
	}
	o.dissemination.piggyback(message, o.table.hasContacted(name), retransmitLimit(o.table.len()))
	o.emit(Transmit{To: name, Addr: addr, Incarnation: o.self.record.Incarnation, Message: message})
	return true
}

// transmitTo is transmit with the name and address of a member.
func (o *outbox) transmitTo(m *member, message *Message) bool {
	return o.transmit(m.Name, m.Addr.AddrPort, message)
}

// reply sends a message to the sender of a received one if the rate limit allows it.
func (o *outbox) reply(received Received, message *Message) {
	o.transmit(received.From, received.Addr, message)
}
