package quota

import "slices"

// maxStatementEntries bounds the lease requests in a statement, and the leases.
const maxStatementEntries = 8

// Statement is what a member broadcasts. A later one replaces an earlier one of the same member.
type Statement struct {
	FleetSize int            `cbor:"1,keyasint"` // as the member is configured
	Requests  []LeaseRequest `cbor:"2,keyasint,omitempty"`
	Leases    []Lease        `cbor:"3,keyasint,omitempty"` // all that it has granted and counts as lent
}

// LeaseRequest asks all members for units of a budget.
type LeaseRequest struct {
	Budget string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"` // of the request; later ones of a member are greater
	Units  int64  `cbor:"3,keyasint"`
}

// Lease lends units of a budget to a member, in answer to a request of it.
type Lease struct {
	Budget        string `cbor:"1,keyasint"`
	Borrower      string `cbor:"2,keyasint"`
	BorrowerEpoch int64  `cbor:"3,keyasint"` // the start of the borrower that made the request
	Request       uint32 `cbor:"4,keyasint"` // number of the request
	Units         int64  `cbor:"5,keyasint"`
}

func equalStatements(a, b Statement) bool {
	return a.FleetSize == b.FleetSize && slices.Equal(a.Requests, b.Requests) && slices.Equal(a.Leases, b.Leases)
}

// currentStatement is the statement for the present accounts.
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
// MemberForgotten.
type Event interface{ event() }

// DemandChanged says how many units of a budget this member has a use for, those in use included.
type DemandChanged struct {
	Budget string
	Units  int64
}

// StatementReceived carries a statement of another member, whose signature was verified.
type StatementReceived struct {
	From  string
	Epoch int64 // of the start of the member that made the statement
	Statement
}

// FleetResized carries a new configured size of the fleet.
type FleetResized struct{ FleetSize int }

// MemberForgotten says that a member is no longer known. What it has lent stays borrowed until it expires.
type MemberForgotten struct{ Name string }

func (MemberForgotten) event()   {}
func (DemandChanged) event()     {}
func (StatementReceived) event() {}
func (FleetResized) event()      {}

// Action is an output of Core.Step. The concrete types are Broadcast, LimitChanged and OverlendingDetected.
type Action interface{ action() }

// Broadcast asks for a statement to be sent to all members, in place of the one before.
type Broadcast struct{ Statement }

// LimitChanged says how many units of a budget this member may have in use from now on.
type LimitChanged struct {
	Budget string
	Units  int64
}

// OverlendingDetected reports that a member lends more than it owns. Nothing more is borrowed from it.
type OverlendingDetected struct{ From string }

func (Broadcast) action()           {}
func (LimitChanged) action()        {}
func (OverlendingDetected) action() {}
