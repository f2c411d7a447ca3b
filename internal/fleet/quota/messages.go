package quota

import "slices"

// maxStatementEntries limits the lease requests and the leases in a statement.
const maxStatementEntries = 8

// Statement is the message that a member broadcasts. It replaces the member's previous statement.
type Statement struct {
	FleetSize int            `cbor:"1,keyasint"` // fleet size configured at the sender
	Requests  []LeaseRequest `cbor:"2,keyasint,omitempty"`
	Leases    []Lease        `cbor:"3,keyasint,omitempty"` // all unexpired leases granted by the sender
}

// LeaseRequest asks all members to lend units of a budget.
type LeaseRequest struct {
	Budget string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"` // sequence number of the request
	Units  int64  `cbor:"3,keyasint"`
}

// Lease lends units of a budget to a member in response to its request.
type Lease struct {
	Budget        string `cbor:"1,keyasint"`
	Borrower      string `cbor:"2,keyasint"`
	BorrowerEpoch int64  `cbor:"3,keyasint"` // epoch in which the borrower made the request
	Request       uint32 `cbor:"4,keyasint"` // number of the request
	Units         int64  `cbor:"5,keyasint"`
}

func equalStatements(a, b Statement) bool {
	return a.FleetSize == b.FleetSize && slices.Equal(a.Requests, b.Requests) && slices.Equal(a.Leases, b.Leases)
}

// currentStatement returns the statement for the current state of the accounts.
func (c *Core) currentStatement() Statement {
	statement := Statement{FleetSize: c.config.FleetSize}
	for _, account := range c.accounts {
		if account.requestedUnits > 0 && len(statement.Requests) < maxStatementEntries {
			request := LeaseRequest{Budget: account.Name, Number: account.requestNumber, Units: account.requestedUnits}
			statement.Requests = append(statement.Requests, request)
		}
		for _, granted := range account.granted {
			statement.Leases = append(statement.Leases, granted.Lease)
		}
	}
	return statement
}

// Event is an input of Core.Step. The concrete types are DemandChanged, StatementReceived, FleetResized and
// MemberRemoved.
type Event interface{ event() }

// DemandChanged carries the number of units of a budget that this member needs, including units in use.
type DemandChanged struct {
	Budget string
	Units  int64
}

// StatementReceived carries a statement of another member. Its signature has been verified.
type StatementReceived struct {
	From  string
	Epoch int64 // epoch of the sender when it made the statement
	Statement
}

// FleetResized carries the new configured fleet size.
type FleetResized struct{ FleetSize int }

// MemberRemoved reports that a member was removed from the member list. Leases borrowed from it stay until they expire.
type MemberRemoved struct{ Name string }

func (MemberRemoved) event()     {}
func (DemandChanged) event()     {}
func (StatementReceived) event() {}
func (FleetResized) event()      {}

// Action is an output of Core.Step. The concrete types are Broadcast, LimitChanged and OverlendingDetected.
type Action interface{ action() }

// Broadcast asks the caller to send a statement to all members. It replaces the previous statement.
type Broadcast struct{ Statement }

// LimitChanged announces the number of units of a budget that this member may have in use from now on.
type LimitChanged struct {
	Budget string
	Units  int64
}

// OverlendingDetected reports that a member lends more than it owns. No further leases are accepted from it.
type OverlendingDetected struct{ From string }

func (Broadcast) action()           {}
func (LimitChanged) action()        {}
func (OverlendingDetected) action() {}
