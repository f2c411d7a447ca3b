package dispatch

import (
	"maps"
	"slices"
	"time"

	"calicohill/internal/rules/pools"
	"calicohill/routing"
)

// HasEndpoints reports whether an endpoint list has been applied.
func (d *Dispatcher) HasEndpoints() bool { return d.endpointsKnown }

// WorkerIDs returns the IDs of the listed workers in ascending order, without those that are gone.
func (d *Dispatcher) WorkerIDs() []string { return slices.Sorted(maps.Keys(d.workerStates)) }

// UpdateEndpoints applies an endpoint list to the routes, the Router and the transport, in this order.
func (d *Dispatcher) UpdateEndpoints(list EndpointList) {
	d.endpointsKnown = true
	event := routing.WorkerList{Kind: routing.ListChanges}
	if list.Full {
		event.Kind = routing.ListFull
		clear(d.workerStates)
		clear(d.workerAttributes)
	}
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		event.Workers = append(event.Workers, endpoint.Worker)
		d.recordEndpoint(endpoint)
	}
	d.notifyRoutes(d.endpointsChanged())
	// The Router's event goes before those of the attempts that the transport ends because of the list.
	d.enqueue(event)
	d.workers.UpdateEndpoints(list)
}

func (d *Dispatcher) recordEndpoint(endpoint *Endpoint) {
	if endpoint.State == routing.Gone {
		delete(d.workerStates, endpoint.ID)
		delete(d.workerAttributes, endpoint.ID)
		return
	}
	d.workerStates[endpoint.ID] = endpoint.State
	d.workerAttributes[endpoint.ID] = pools.Attributes{
		ID:    endpoint.ID,
		Model: endpoint.Model,
		Zone:  endpoint.ZoneName,
		Group: endpoint.Cell,
		State: pools.StateName(endpoint.State),
	}
}

// MarkStale says that the endpoint list may be out of date for a duration from now; 0 that it is current.
func (d *Dispatcher) MarkStale(duration time.Duration) {
	d.enqueue(routing.EndpointsStale{Duration: duration})
}

// ApplyPeerReports passes on what other schedulers report of workers.
func (d *Dispatcher) ApplyPeerReports(reports routing.PeerReports) { d.enqueue(reports) }

// SetRoutes sets the routes for requests that are submitted from now on; nil means none. Requests that are open keep
// the pools of their routes as they were last.
func (d *Dispatcher) SetRoutes(routes *pools.Core) {
	d.routes = routes
	d.notifyRoutes(d.endpointsChanged())
}

// notifyRoutes passes an event to the routes, and notifies the Router if it changed the workers of a pool.
func (d *Dispatcher) notifyRoutes(event pools.Event) {
	if d.routes != nil && d.routes.Step(d.loop.Now(), []pools.Event{event}) {
		d.enqueue(routing.PoolsChanged{})
	}
}

// endpointsChanged is the list of workers as the conditions of pools see it, in ascending order of the IDs.
func (d *Dispatcher) endpointsChanged() pools.EndpointsChanged {
	var event pools.EndpointsChanged
	for _, id := range d.WorkerIDs() {
		event.Workers = append(event.Workers, d.workerAttributes[id])
	}
	return event
}
