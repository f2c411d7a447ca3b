package dispatch

import (
	"maps"
	"slices"

	"calicohill/internal/rules/pools"
	"calicohill/routing"
)

// endpointTable holds the state and the attributes of the listed workers. It belongs to a Dispatcher and is used on the
// event loop only. It is as large as the endpoint list: a worker that is gone is forgotten.
type endpointTable struct {
	states     map[string]routing.WorkerState
	attributes map[string]pools.Attributes
	known      bool // an endpoint list was applied
}

func newEndpointTable() *endpointTable {
	return &endpointTable{
		states:     map[string]routing.WorkerState{},
		attributes: map[string]pools.Attributes{},
	}
}

// apply applies an endpoint list and returns it as the Router's event.
func (t *endpointTable) apply(list EndpointList) routing.WorkerList {
	t.known = true
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

// isKnown reports whether an endpoint list was applied.
func (t *endpointTable) isKnown() bool { return t.known }

// isReady reports whether a worker is listed and accepts requests.
func (t *endpointTable) isReady(worker string) bool { return t.states[worker] == routing.Ready }

// ids returns the IDs of the listed workers in ascending order.
func (t *endpointTable) ids() []string { return slices.Sorted(maps.Keys(t.states)) }

// changed is the list of workers as the conditions of pools see it, in ascending order of the IDs.
func (t *endpointTable) changed() pools.EndpointsChanged {
	var event pools.EndpointsChanged
	for _, id := range t.ids() {
		event.Workers = append(event.Workers, t.attributes[id])
	}
	return event
}
