package scenario

import (
	"strconv"

	"calicohill/internal/testbed/standin"
)

// setListFault sets or clears the fault of the list service.
func (r stepExecution) setListFault() error {
	name, err := r.argument(0)
	if err != nil {
		return err
	}
	fault, ok := listFaults[name]
	if !ok {
		return r.invalid()
	}
	answersPerSecond := 0.0
	if len(r.Args) > 1 {
		fraction, err := strconv.ParseFloat(r.Args[1], 64)
		if err != nil || fraction <= 0 {
			return r.invalid()
		}
		answersPerSecond = fraction * float64(len(r.fleet.Instances)) / standin.PollPeriod.Seconds()
	}
	return r.fleet.List.SetFault(fault, answersPerSecond)
}

func (r stepExecution) disconnectList() error {
	r.fleet.List.BreakConnections()
	return nil
}

// repeatEvent publishes an event with the unchanged state of the first worker that is not departing.
func (r stepExecution) repeatEvent() error {
	for _, worker := range r.fleet.Workers {
		if _, leaves := r.fleet.Departure(worker); !leaves {
			r.fleet.Publish(false, []*standin.Worker{worker}, standin.EndpointServing)
			break
		}
	}
	return nil
}
