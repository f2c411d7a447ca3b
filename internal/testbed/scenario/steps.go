package scenario

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

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

func (r stepRun) kill() error {
	return r.forEachInstance(func(in *process.Instance) error {
		in.Kill()
		return nil
	})
}

func (r stepRun) signal(signal syscall.Signal) error {
	return r.forEachInstance(func(in *process.Instance) error { return in.Signal(signal) })
}

// terminate has instances shut down, and does not wait for it.
func (r stepRun) terminate() error {
	return r.forEachInstance(func(in *process.Instance) error {
		go func() { _ = in.Stop() }() // the checks detect one that does not end in order
		return nil
	})
}

// rollingRestart restarts all instances, a share of them at a time.
func (r stepRun) rollingRestart() error {
	batch, err := r.count(0, len(r.fleet.Instances))
	if err != nil || len(r.Args) < 2 || batch == 0 {
		return r.invalid()
	}
	pause, err := r.duration(1)
	if err != nil {
		return err
	}
	var restarts sync.WaitGroup
	for from := 0; from < len(r.schedulers); from += batch {
		for _, i := range r.schedulers[from:min(from+batch, len(r.schedulers))] {
			instance := r.fleet.Instances[i]
			restarts.Go(func() {
				if err := instance.Stop(); err == nil {
					_ = instance.Start() // the checks detect one that does not start
				}
			})
		}
		time.Sleep(pause)
	}
	restarts.Wait()
	return nil
}

// setListFault gives the list service a fault, or none.
func (r stepRun) setListFault() error {
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

func (r stepRun) disconnectList() error {
	r.fleet.List.BreakConnections()
	return nil
}

// repeatEvent publishes an event that repeats what the list has of the first worker that does not leave.
func (r stepRun) repeatEvent() error {
	for _, worker := range r.fleet.Workers {
		if _, leaves := r.fleet.Departure(worker); !leaves {
			r.fleet.Publish(false, []*standin.Worker{worker}, standin.EndpointServing)
			break
		}
	}
	return nil
}

func (r stepRun) drain() error {
	workers, err := r.selectedWorkers(0)
	if err != nil {
		return err
	}
	r.fleet.Publish(false, workers, standin.EndpointDraining)
	return nil
}

// replace deletes workers from the list and lists as many new ones.
func (r stepRun) replace() error {
	gone, err := r.selectedWorkers(0)
	if err != nil {
		return err
	}
	startedAt := time.Time{}
	if len(r.Args) > 1 && r.Args[1] == warmingUp {
		startedAt = time.Now()
	}
	r.fleet.Publish(false, gone, standin.EndpointDeleted)
	var added []*standin.Worker
	for _, worker := range gone {
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

// restartWorkers restarts workers at their address.
func (r stepRun) restartWorkers() error {
	workers, err := r.selectedWorkers(0)
	if err != nil {
		return err
	}
	for _, worker := range workers {
		worker.Restart()
	}
	r.fleet.Publish(false, workers, standin.EndpointServing)
	return nil
}

// stallStore has the store serve nothing for a while.
func (r stepRun) stallStore() error {
	if len(r.Args) != 1 {
		return r.invalid()
	}
	duration, err := r.duration(0)
	if err != nil {
		return err
	}
	r.fleet.Store.Jam(duration)
	return nil
}

// setWorkerFault gives workers a fault, or none.
func (r stepRun) setWorkerFault() error {
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

// setPartition changes the links between some schedulers and the others.
func (r stepRun) setPartition() error {
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

// setLinks changes the links between some schedulers and some workers, or resets their connections.
func (r stepRun) setLinks() error {
	const shareOfSchedulers, shareOfWorkers = 1, 2 // which arguments they are
	instances, err := r.selectedInstances(shareOfSchedulers)
	if err != nil {
		return err
	}
	workers, err := r.selectedWorkers(shareOfWorkers)
	if err != nil {
		return errors.Join(err, r.invalid())
	}
	condition, ok := linkConditions[r.Args[0]]
	if !ok && r.Args[0] != connectionReset || !r.fleet.LinkedWorkers {
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

// setKnownEvents rewrites the schedulers' files with other events.
func (r stepRun) setKnownEvents() error {
	if len(r.Args) != 1 {
		return r.invalid()
	}
	known, ok := knownEvents[r.Args[0]]
	if !ok {
		return r.invalid()
	}
	r.fleet.KnownEvents = known
	for _, instance := range r.fleet.Instances {
		if err := instance.Configure(); err != nil {
			return err
		}
	}
	return nil
}
