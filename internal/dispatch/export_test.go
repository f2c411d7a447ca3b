package dispatch

import "calicohill/routing"

// Internals that are exported for the tests of the package.

// ResponseReserve is the time reserved for the network, subtracted from each client's time.
const ResponseReserve = responseReserve

// PendingEvents returns the events that are enqueued for the Router's next step.
func PendingEvents(d *Dispatcher) []routing.Event { return d.events.events }

// TableSizes returns the numbers of requests, request IDs and attempts in a Dispatcher's tables.
func TableSizes(d *Dispatcher) (requests, ids, attempts int) {
	return d.requests.requests.Len(), len(d.requests.refs), d.attempts.attempts.Len()
}
