package scenario

import (
	"math/rand/v2"
	"syscall"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

// scenarioStream is the second half of the random generator's seed: it sets these draws apart from those of the load.
const scenarioStream = 7

// stepRun is a step that is executed on a fleet.
type stepRun struct {
	Step
	fleet      *process.Fleet
	schedulers []int // all instances in the order in which shares take them
	workers    []int // the same for the workers
}

// stepVerbs has the function that carries out each verb.
var stepVerbs = map[string]func(stepRun) error{
	"start":           func(r stepRun) error { return r.forEachInstance((*process.Instance).StartIfStopped) },
	"kill":            stepRun.kill,
	"stop":            func(r stepRun) error { return r.signal(syscall.SIGSTOP) },
	"cont":            func(r stepRun) error { return r.signal(syscall.SIGCONT) },
	"hup":             func(r stepRun) error { return r.signalRunning(syscall.SIGHUP) },
	"usr1":            func(r stepRun) error { return r.signalRunning(syscall.SIGUSR1) },
	"term":            stepRun.terminate,
	"rolling_restart": stepRun.rollingRestart,
	"list":            stepRun.setListFault,
	"disconnect":      stepRun.disconnectList,
	"publish":         stepRun.repeatEvent,
	"drain":           stepRun.drain,
	"replace":         stepRun.replace,
	"restart_workers": stepRun.restartWorkers,
	"stall_store":     stepRun.stallStore,
	"workers":         stepRun.setWorkerFault,
	"link":            stepRun.setLinks,
	"gossip":          stepRun.setPartition,
	"known":           stepRun.setKnownEvents,
}

// execute carries out a step on a fleet.
func execute(fleet *process.Fleet, step Step, seed uint64) error {
	do, ok := stepVerbs[step.canonical().Verb]
	if !ok {
		return step.invalid()
	}
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	run := stepRun{Step: step.canonical(), fleet: fleet}
	run.schedulers = rng.Perm(len(fleet.Instances))
	run.workers = rng.Perm(len(fleet.Workers))
	return do(run)
}

// selectedInstances returns the instances that the share at an argument means.
func (r stepRun) selectedInstances(argument int) ([]*process.Instance, error) {
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

// selectedWorkers returns the workers that the share at an argument means.
func (r stepRun) selectedWorkers(argument int) ([]*standin.Worker, error) {
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

// forEachInstance does something to the instances of the first argument, until it fails.
func (r stepRun) forEachInstance(do func(*process.Instance) error) error {
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
