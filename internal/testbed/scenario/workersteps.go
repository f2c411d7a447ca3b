package scenario

import (
	"slices"
	"time"

	"calicohill/internal/testbed/standin"
)

func (r stepExecution) drain() error {
	workers, err := r.selectedWorkers(0)
	if err != nil {
		return err
	}
	r.fleet.Publish(false, workers, standin.EndpointDraining)
	return nil
}

// replace deletes workers from the endpoint list and adds the same number of new ones.
func (r stepExecution) replace() error {
	replaced, err := r.selectedWorkers(0)
	if err != nil {
		return err
	}
	startedAt := time.Time{}
	if len(r.Args) > 1 && r.Args[1] == warmingUp {
		startedAt = time.Now()
	}
	r.fleet.Publish(false, replaced, standin.EndpointDeleted)
	var added []*standin.Worker
	for _, worker := range replaced {
		replacement, err := r.fleet.StartWorker(worker.ID+"x", startedAt)
		if err != nil {
			return err
		}
		added = append(added, replacement)
	}
	r.fleet.Workers = append(r.fleet.Workers, added...)
	r.fleet.Publish(false, added, standin.EndpointServing)
	return nil
}

// restartWorkers restarts workers at the same address, except draining and deleted ones.
func (r stepExecution) restartWorkers() error {
	workers, err := r.selectedWorkers(0)
	if err != nil {
		return err
	}
	workers = slices.DeleteFunc(workers, func(worker *standin.Worker) bool {
		_, leaves := r.fleet.Departure(worker)
		return leaves
	})
	for _, worker := range workers {
		worker.Restart()
	}
	r.fleet.Publish(false, workers, standin.EndpointServing)
	return nil
}

// stallStore stalls the store for a duration.
func (r stepExecution) stallStore() error {
	if len(r.Args) != 1 {
		return r.invalid()
	}
	duration, err := r.duration(0)
	if err != nil {
		return err
	}
	r.fleet.Store.Stall(duration)
	return nil
}

// setWorkerFault sets or clears the fault of workers.
func (r stepExecution) setWorkerFault() error {
	workers, err := r.selectedWorkers(1)
	if err != nil {
		return err
	}
	fault, ok := workerFaults[r.Args[0]]
	if !ok {
		return r.invalid()
	}
	for _, worker := range workers {
		worker.Set(fault)
	}
	return nil
}
