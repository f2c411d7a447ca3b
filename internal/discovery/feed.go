package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/routing"
)

// Feed is the list service's response to a poll: the events after the event number in the request. Configured events
// and the list in a snapshot have the same format.
//
// The structs in this file mirror the service's JSON and are named after its keys, because JSON errors include the
// names of the package and its types. Other packages receive the list as a dispatch.EndpointList.
type Feed struct {
	Number int     `json:"no"` // number of the service's last event
	Events []event `json:"items"`
}

// event is a numbered change of the endpoint list. An event without a roster only advances the event number.
type event struct {
	Number int     `json:"no"`
	Roster *roster `json:"roster"`
}

// roster is the complete endpoint list (if All is set) or the changed targets.
type roster struct {
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// target is one node agent.
type target struct {
	UID        string   `json:"uid"`
	Endpoint   string   `json:"endpoint"` // host:port
	Zone       string   `json:"az"`
	Model      string   `json:"model"` // kind of machine
	PodGroup   int      `json:"pod_group"`
	State      string   `json:"state"` // a key of workerStates
	Capacity   *float64 `json:"capacity_hint"`
	BootMillis float64  `json:"boot_ms"` // when the agent started, in Unix milliseconds
}

// workerStates maps the states in the service's JSON to those of the Router.
var workerStates = map[string]routing.WorkerState{
	"SERVING":  routing.Ready,
	"DRAINING": routing.Draining,
	"DELETED":  routing.Gone,
}

// endpointList converts the roster of an event. An invalid target is an error. If lenient is set, an invalid target is
// listed as draining instead: it receives no new requests, and the valid targets are still used.
func (e *event) endpointList(zones, kinds []string, lenient bool) (dispatch.EndpointList, error) {
	list := dispatch.EndpointList{Full: e.Roster.All}
	for i := range e.Roster.Targets {
		target := &e.Roster.Targets[i]
		state, valid := target.workerState()
		if !valid {
			if !lenient {
				return list, fmt.Errorf("target %.40q: state %.20q, endpoint %.40q", target.UID, target.State, target.Endpoint)
			}
			state = routing.Draining
		}
		list.Endpoints = append(list.Endpoints, dispatch.Endpoint{
			Worker:   target.worker(state, zones, kinds),
			Addr:     target.Endpoint,
			Model:    target.Model,
			ZoneName: target.Zone,
		})
	}
	return list, nil
}

// workerState returns the state of a target and reports whether the target is valid. A deleted target needs no
// endpoint.
func (t *target) workerState() (state routing.WorkerState, valid bool) {
	state, known := workerStates[t.State]
	if t.UID == "" || !known {
		return state, false
	}
	_, _, err := net.SplitHostPort(t.Endpoint)
	return state, err == nil || state == routing.Gone
}

// worker converts a target. A zone or kind that is not in the settings is treated as the first one.
func (t *target) worker(state routing.WorkerState, zones, kinds []string) routing.Worker {
	worker := routing.Worker{
		ID:      t.UID,
		State:   state,
		Weight:  1,
		Cell:    t.PodGroup,
		Zone:    max(slices.Index(zones, t.Zone), 0),
		Kind:    max(slices.Index(kinds, t.Model), 0),
		Started: time.Duration(t.BootMillis * float64(time.Millisecond)),
	}
	if t.Capacity != nil {
		worker.Weight = *t.Capacity
	}
	return worker
}

// ValidateKnown returns an error that identifies the first invalid configured event, or nil.
func ValidateKnown(known []byte, zones, kinds []string) error {
	_, err := parseKnown(known, zones, kinds)
	return err
}

// parseKnown parses the configured events. The Feed is empty if there are none.
func parseKnown(known []byte, zones, kinds []string) (Feed, error) {
	var feed Feed
	if len(known) == 0 {
		return feed, nil
	}
	if err := json.Unmarshal(known, &feed); err != nil {
		return feed, fmt.Errorf("known events: %w", err)
	}
	for _, event := range feed.Events {
		if event.Roster == nil {
			continue
		}
		if _, err := event.endpointList(zones, kinds, false); err != nil {
			return feed, fmt.Errorf("known event %d: %w", event.Number, err)
		}
	}
	return feed, nil
}
