package dispatch

import "calicohill/routing"

// What the package's tests see of the internals.

// ResponseReserve is subtracted from each client's time.
const ResponseReserve = responseReserve

// PendingEvents returns the events for the next step of the Router.
func PendingEvents(d *Dispatcher) []routing.Event { return d.events }

// RecordCounts returns how many requests, IDs of requests and attempts a Dispatcher holds.
func RecordCounts(d *Dispatcher) (requests, ids, attempts int) {
	return d.requests.requests.Len(), len(d.requests.refs), d.attempts.attempts.Len()
}
