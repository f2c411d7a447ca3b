package scenario

import (
	"errors"
)

// setPartition sets the condition of the links between the selected schedulers and the others.
func (r stepExecution) setPartition() error {
	instances, err := r.selectedInstances(1)
	if err != nil {
		return errors.Join(err, r.invalid())
	}
	condition, ok := linkConditions[r.Args[0]]
	if !ok || !r.fleet.Partition(instances, condition) {
		return r.invalid()
	}
	return nil
}

// setLinks sets the condition of the links between the selected schedulers and workers, or resets their connections.
func (r stepExecution) setLinks() error {
	const schedulerFraction, workerFraction = 1, 2 // argument indexes
	instances, err := r.selectedInstances(schedulerFraction)
	if err != nil {
		return err
	}
	workers, err := r.selectedWorkers(workerFraction)
	if err != nil {
		return errors.Join(err, r.invalid())
	}
	condition, ok := linkConditions[r.Args[0]]
	if !ok && r.Args[0] != connectionReset || !r.fleet.WorkerLinks {
		return r.invalid()
	}
	var errs error
	for _, instance := range instances {
		for _, worker := range workers {
			link, err := r.fleet.OpenLink(instance.Name, worker)
			if err != nil {
				return err
			}
			if ok {
				errs = errors.Join(errs, link.Set(condition))
			} else {
				link.Reset()
			}
		}
	}
	return errs
}
