// Package simwire is the line protocol by which the simulator drives routers. It translates the simulator's lines to
// events of package routing, and actions to lines, and decides nothing.
//
// The simulator sends batches: a line "round" with the time and a number, lines with events, "target_instance" lines
// that say which router the events after them are for, and "flush". The values of a line are separated by tabs, and a
// dash stands for one that is absent. A reply has the actions of each router in the same form, and ends with "ok".
package simwire

import (
	"fmt"
	"time"

	"calicohill/routing"
)

// InstanceStart has what a router is created with.
type InstanceStart struct {
	Seed     uint64
	Settings routing.Settings
}

// Item is one message of a batch, for one instance. Exactly one of Start, Stop and Event is set.
type Item struct {
	Instance int            // number of the router
	Start    *InstanceStart // the router is created anew
	Stop     bool           // the router is shut down
	Event    routing.Event
}

// Batch is everything that happens at one time.
type Batch struct {
	Now    time.Duration // since the start of the simulation
	Number string        // a decimal number that the reply repeats
	Items  []Item
}

// SyntaxError reports a malformed line of the input.
type SyntaxError struct {
	Line    int    // from 1
	Message string // first value of the line
	Err     error
}

// Error names the line, its message and what is wrong with it.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d: message %q: %v", e.Line, e.Message, e.Err)
}

// Unwrap returns what is wrong with the line.
func (e *SyntaxError) Unwrap() error { return e.Err }
