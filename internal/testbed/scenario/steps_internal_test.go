package scenario

import (
	"errors"
	"testing"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

// A step that names a fault of workers which does not exist is an error, and leaves them as they are.
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
			t.Errorf("%s has fault %d, want the %d of the valid step", worker.ID, fault, standin.WorkerUnresponsive)
		}
	}
}

// A step that names a fault of the list service or known events which do not exist is an error. Guards against a fault: an
// unknown word counted as a healthy service, or as the full list.
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
		t.Errorf("known events are %d, want the %d of before", fleet.InitialEvents, process.InitialEventsNone)
	}
}
