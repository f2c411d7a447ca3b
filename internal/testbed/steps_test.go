package testbed

import (
	"errors"
	"testing"

	"calicohill/internal/testbed/standin"
)

// A step that names a fault of workers which does not exist is an error, and leaves them as they are.
func TestUnknownWorkerFault(t *testing.T) {
	t.Parallel()
	fleet := &Fleet{Workers: []*standin.Worker{{ID: "w00"}, {ID: "w01"}}}
	if err := fleet.execute(Step{Verb: "workers", Args: []string{"mute", "1"}}, 1); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"asleep", "1"}, {"", "1"}, {"mute"}, {}} {
		if err := fleet.execute(Step{Verb: "workers", Args: args}, 1); !errors.Is(err, errInvalidStep) {
			t.Errorf("workers %q: %v, want %v", args, err, errInvalidStep)
		}
	}
	for _, worker := range fleet.Workers {
		if fault := worker.Fault(); fault != standin.WorkerUnresponsive {
			t.Errorf("%s has fault %d, want the %d of the valid step", worker.ID, fault, standin.WorkerUnresponsive)
		}
	}
}
