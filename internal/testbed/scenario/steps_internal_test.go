package scenario

import (
	"errors"
	"testing"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

// Guards against an unknown worker fault that is accepted, or that changes the workers' current fault.
func TestUnknownWorkerFault(t *testing.T) {
	t.Parallel()
	fleet := &process.Fleet{Workers: []*standin.Worker{{ID: "w00"}, {ID: "w01"}}}
	if err := execute(fleet, Step{Verb: "workers", Args: []string{"mute", "1"}}, 1); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"asleep", "1"}, {"", "1"}, {"mute"}, {}} {
		if err := execute(fleet, Step{Verb: "workers", Args: args}, 1); !errors.Is(err, errInvalidStep) {
			t.Errorf("workers %q: %v, want %v", args, err, errInvalidStep)
		}
	}
	for _, worker := range fleet.Workers {
		if fault := worker.Fault(); fault != standin.WorkerUnresponsive {
			t.Errorf("%s has fault %d, want %d from the valid step", worker.ID, fault, standin.WorkerUnresponsive)
		}
	}
}

// Guards against an unknown list fault that is treated as healthy, and unknown events that are treated as the full list.
func TestUnknownListFaultAndKnownEvents(t *testing.T) {
	t.Parallel()
	service := standin.NewListService()
	defer service.Close()
	fleet := &process.Fleet{List: service, InitialEvents: process.InitialEventsNone}
	for _, step := range []Step{
		{Verb: "list", Args: []string{"asleep"}},
		{Verb: "list", Args: []string{"asleep", "0.1"}},
		{Verb: "list", Args: []string{""}},
		{Verb: "known", Args: []string{"asleep"}},
		{Verb: "known", Args: []string{""}},
	} {
		if err := execute(fleet, step, 1); !errors.Is(err, errInvalidStep) {
			t.Errorf("%v: %v, want %v", step, err, errInvalidStep)
		}
	}
	if fleet.InitialEvents != process.InitialEventsNone {
		t.Errorf("known events are %d, want unchanged %d", fleet.InitialEvents, process.InitialEventsNone)
	}
}
