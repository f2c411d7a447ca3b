package dispatch

import (
	"maps"
	"slices"

	"calicohill/internal/rules/pools"
	"calicohill/routing"
)

// endpointTable holds the states and attributes of the listed workers. It belongs to a Dispatcher and is used on the
// event loop only. Its size is that of the endpoint list, because workers that are gone are removed.
type endpointTable struct {
	states     map[string]routing.WorkerState
	attributes map[string]pools.Attributes
	received   bool // an endpoint list has been applied
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		states:     map[string]routing.WorkerState{},
		attributes: map[string]pools.Attributes{},
	}
}

// apply applies an endpoint list and returns the corresponding event for the Router.
func (t *endpointTable) apply(list EndpointList) routing.WorkerList {
	t.received = true
	event := routing.WorkerList{Kind: routing.ListChanges}
	if list.Full {
		event.Kind = routing.ListFull
		clear(t.states)
		clear(t.attributes)
	}
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		event.Workers = append(event.Workers, endpoint.Worker)
		t.record(endpoint)
	}
	return event
}

// record stores or removes the worker of an endpoint.
func (t *endpointTable) record(endpoint *Endpoint) {
	if endpoint.State == routing.Gone {
		delete(t.states, endpoint.ID)
		delete(t.attributes, endpoint.ID)
		return
	}
	t.states[endpoint.ID] = endpoint.State
	t.attributes[endpoint.ID] = pools.Attributes{
		ID:    endpoint.ID,
		Model: endpoint.Model,
		Zone:  endpoint.ZoneName,
		Group: endpoint.Cell,
		State: pools.StateName(endpoint.State),
	}
}

// hasList reports whether an endpoint list has been applied.
func (t *endpointTable) hasList() bool { return t.received }

// isReady reports whether a worker is listed and accepts requests.
func (t *endpointTable) isReady(worker string) bool { return t.states[worker] == routing.Ready }

// ids returns the IDs of the listed workers in ascending order.
func (t *endpointTable) ids() []string { return slices.Sorted(maps.Keys(t.states)) }

// changeEvent returns the event that updates the pools with the attributes of all listed workers, in ascending order of
// their IDs.
func (t *endpointTable) changeEvent() pools.EndpointsChanged {
	var event pools.EndpointsChanged
	for _, id := range t.ids() {
		event.Workers = append(event.Workers, t.attributes[id])
	}
	return event
}
