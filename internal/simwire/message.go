// Package simwire implements the line protocol between the simulator and the routers. It decodes the simulator's lines
// into events of package routing and encodes actions as lines. It makes no decisions.
//
// The simulator sends batches. A batch consists of a "round" line with the time and a batch number, lines with events,
// "target_instance" lines that select the router for the events after them, and a "flush" line. The values of a line
// are separated by tabs, and a dash denotes an absent value. A reply contains the actions of each router in the same
// format and ends with an "ok" line.
package simwire

import (
	"fmt"
	"time"

	"calicohill/routing"
)

// InstanceStart contains the parameters for creating a router.
type InstanceStart struct {
	Seed     uint64
	Settings routing.Settings
}

// Item is one message of a batch, for one instance. Exactly one of Start, Stop and Event is set.
type Item struct {
	Instance int            // number of the instance, which runs one router
	Start    *InstanceStart // creates a new router, replacing any previous one
	Stop     bool           // shuts the router down
	Event    routing.Event
}

// Batch contains all messages with the same simulated time.
type Batch struct {
	Now    time.Duration // since the start of the simulation
	Number string        // decimal batch number, repeated in the reply
	Items  []Item
}

// SyntaxError describes a malformed input line.
type SyntaxError struct {
	Line    int    // line number, from 1
	Message string // first value of the line
	Err     error
}

// Error returns the line number, the message name and the cause.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d: message %q: %v", e.Line, e.Message, e.Err)
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }
