package dispatch

import (
	"slices"

	"calicohill/routing"
)

// eventQueue collects the events of one step of the Router. It belongs to a Dispatcher and is used on the event loop
// only.
//
// The events of one pass of the loop are not bounded by the limits on open requests: a client may begin and cancel many
// requests on each connection within one pass. A canceled request therefore withdraws its event if it can.
type eventQueue struct {
	events []routing.Event // nil at the positions of withdrawn events
	step   uint64          // number of the step that the events are for
}

// eventPosition identifies an event of an eventQueue. The zero eventPosition is invalid.
type eventPosition struct {
	step  uint64
	index int
}

func newEventQueue() eventQueue { return eventQueue{step: 1} }

// add appends an event and returns its position.
func (q *eventQueue) add(event routing.Event) eventPosition {
	q.events = append(q.events, event)
	return eventPosition{q.step, len(q.events) - 1}
}

// withdraw removes an event and reports whether it did: the event may be part of an earlier step.
func (q *eventQueue) withdraw(position eventPosition) bool {
	if position.step != q.step {
		return false
	}
	q.events[position.index] = nil
	for n := len(q.events); n > 0 && q.events[n-1] == nil; n-- {
		q.events = q.events[:n-1]
	}
	return true
}

// take empties the queue and returns its events, for the next step.
func (q *eventQueue) take() []routing.Event {
	events := slices.DeleteFunc(q.events, func(event routing.Event) bool { return event == nil })
	q.events = nil
	q.step++
	return events
}
