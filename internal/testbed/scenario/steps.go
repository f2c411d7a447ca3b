package scenario

import (
	"math/rand/v2"
	"syscall"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

// scenarioStream is the second half of the random seed. It makes these draws independent of those of the load.
const scenarioStream = 7

// stepExecution is the execution of a step on a fleet.
type stepExecution struct {
	Step
	fleet      *process.Fleet
	schedulers []int // indexes of all instances in random order; a share selects the first ones
	workers    []int // the same for workers
}

// stepVerbs maps verbs to the functions that execute them.
var stepVerbs = map[string]func(stepExecution) error{
	"start":           func(r stepExecution) error { return r.forEachInstance((*process.Instance).StartIfStopped) },
	"kill":            stepExecution.kill,
	"stop":            func(r stepExecution) error { return r.signal(syscall.SIGSTOP) },
	"cont":            func(r stepExecution) error { return r.signal(syscall.SIGCONT) },
	"hup":             func(r stepExecution) error { return r.signalRunning(syscall.SIGHUP) },
	"usr1":            func(r stepExecution) error { return r.signalRunning(syscall.SIGUSR1) },
	"term":            stepExecution.terminate,
	"rolling_restart": stepExecution.rollingRestart,
	"list":            stepExecution.setListFault,
	"disconnect":      stepExecution.disconnectList,
	"publish":         stepExecution.repeatEvent,
	"drain":           stepExecution.drain,
	"replace":         stepExecution.replace,
	"restart_workers": stepExecution.restartWorkers,
	"stall_store":     stepExecution.stallStore,
	"workers":         stepExecution.setWorkerFault,
	"link":            stepExecution.setLinks,
	"gossip":          stepExecution.setPartition,
	"known":           stepExecution.setKnownEvents,
}

// execute executes a step on a fleet. The seed determines which schedulers and workers it affects.
func execute(fleet *process.Fleet, step Step, seed uint64) error {
	do, ok := stepVerbs[step.canonical().Verb]
	if !ok {
		return step.invalid()
	}
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	run := stepExecution{Step: step.canonical(), fleet: fleet}
	run.schedulers = rng.Perm(len(fleet.Instances))
	run.workers = rng.Perm(len(fleet.Workers))
	return do(run)
}

// selectedInstances returns the instances that the share at an argument index selects.
func (r stepExecution) selectedInstances(argument int) ([]*process.Instance, error) {
	count, err := r.count(argument, len(r.fleet.Instances))
	if err != nil {
		return nil, err
	}
	var instances []*process.Instance
	for _, i := range r.schedulers[:count] {
		instances = append(instances, r.fleet.Instances[i])
	}
	return instances, nil
}

// selectedWorkers returns the workers that the share at an argument index selects.
func (r stepExecution) selectedWorkers(argument int) ([]*standin.Worker, error) {
	count, err := r.count(argument, len(r.fleet.Workers))
	if err != nil {
		return nil, err
	}
	var workers []*standin.Worker
	for _, i := range r.workers[:count] {
		workers = append(workers, r.fleet.Workers[i])
	}
	return workers, nil
}

// forEachInstance calls do for each instance that the first argument selects, and stops at the first error.
func (r stepExecution) forEachInstance(do func(*process.Instance) error) error {
	instances, err := r.selectedInstances(0)
	if err != nil {
		return err
	}
	for _, instance := range instances {
		if err := do(instance); err != nil {
			return err
		}
	}
	return nil
}
