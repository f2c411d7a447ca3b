package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/standin"
)

// scenarioStream is the second half of the random generator's seed: it sets these draws apart from those of the load.
const scenarioStream = 7

// workerFaults is the faults of workers by their names in scenarios.
var workerFaults = map[string]standin.WorkerFault{
	"sound":   standin.WorkerHealthy,
	"mute":    standin.WorkerUnresponsive,
	"stalls":  standin.WorkerSlow,
	"fails":   standin.WorkerFailing,
	"refuses": standin.WorkerRefusing,
}

// linkConditions is the conditions of links by their names in scenarios.
var linkConditions = map[string]fault.LinkCondition{
	"whole":     {},
	"cut":       {CutForward: true, CutBackward: true},
	"cut-there": {CutForward: true},
	"cut-back":  {CutBackward: true},
	"lossy":     {Loss: 0.33, Duplicate: 0.1, Jitter: 50 * time.Millisecond},
	"hang":      {Hang: true},
	"slow":      {BytesPerSecond: 4000},
	"far":       {Delay: 100 * time.Millisecond, Jitter: 100 * time.Millisecond},
}

// resetLink is the condition that resets a link's connections once.
const resetLink = "reset"

// stepRun is a step that is executed on a fleet.
type stepRun struct {
	Step
	fleet      *Fleet
	schedulers []int // all instances in the order in which shares take them
	workers    []int // the same for the workers
}

// stepVerbs has the function that carries out each verb.
var stepVerbs = map[string]func(stepRun) error{
	"start":   func(r stepRun) error { return r.forEachInstance((*Instance).startIfStopped) },
	"kill":    stepRun.kill,
	"stop":    func(r stepRun) error { return r.signal(syscall.SIGSTOP) },
	"cont":    func(r stepRun) error { return r.signal(syscall.SIGCONT) },
	"term":    stepRun.terminate,
	"roll":    stepRun.rollingRestart,
	"list":    stepRun.setListFault,
	"break":   stepRun.breakList,
	"tell":    stepRun.repeatEvent,
	"drain":   stepRun.drain,
	"replace": stepRun.replace,
	"boot":    stepRun.restartWorkers,
	"jam":     stepRun.jam,
	"workers": stepRun.setWorkerFault,
	"link":    stepRun.setLinks,
	"talk":    stepRun.setPartition,
	"known":   stepRun.setKnownEvents,
}

// execute carries out a step.
func (f *Fleet) execute(step Step, seed uint64) error {
	do, ok := stepVerbs[step.Verb]
	if !ok {
		return step.invalid()
	}
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	run := stepRun{Step: step, fleet: f}
	run.schedulers = rng.Perm(len(f.Instances))
	run.workers = rng.Perm(len(f.Workers))
	return do(run)
}

// selectedInstances returns the instances that the share at an argument means.
func (r stepRun) selectedInstances(argument int) ([]*Instance, error) {
	count, err := r.count(argument, len(r.fleet.Instances))
	if err != nil {
		return nil, err
	}
	var instances []*Instance
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
func (r stepRun) forEachInstance(do func(*Instance) error) error {
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
	return r.forEachInstance(func(in *Instance) error {
		in.Kill()
		return nil
	})
}

func (r stepRun) signal(signal syscall.Signal) error {
	return r.forEachInstance(func(in *Instance) error { return in.Signal(signal) })
}

// terminate has instances shut down, and does not wait for it.
func (r stepRun) terminate() error {
	return r.forEachInstance(func(in *Instance) error {
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
	for from := 0; from < len(r.schedulers); from += batch {
		for _, i := range r.schedulers[from:min(from+batch, len(r.schedulers))] {
			instance := r.fleet.Instances[i]
			r.fleet.restarts.Go(func() {
				if err := instance.Stop(); err == nil {
					_ = instance.Start() // the checks detect one that does not start
				}
			})
		}
		time.Sleep(pause)
	}
	r.fleet.restarts.Wait()
	return nil
}

// setListFault gives the list service a fault, or none.
func (r stepRun) setListFault() error {
	fault, err := r.argument(0)
	if err != nil {
		return err
	}
	answersPerSecond := 0.0
	if len(r.Args) > 1 {
		fraction, err := strconv.ParseFloat(r.Args[1], 64)
		if err != nil || fraction <= 0 {
			return r.invalid()
		}
		answersPerSecond = fraction * float64(len(r.fleet.Instances)) / standin.PollPeriod.Seconds()
	}
	return r.fleet.List.SetFault(standin.ListFault(fault), answersPerSecond)
}

func (r stepRun) breakList() error {
	r.fleet.List.BreakConnections()
	return nil
}

// repeatEvent publishes an event that repeats what the list has of the first worker that does not leave.
func (r stepRun) repeatEvent() error {
	for _, worker := range r.fleet.Workers {
		if _, leaves := r.fleet.departures[worker]; !leaves {
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
	if len(r.Args) > 1 && r.Args[1] == "cold" {
		startedAt = time.Now()
	}
	r.fleet.Publish(false, gone, standin.EndpointDeleted)
	var added []*standin.Worker
	for _, worker := range gone {
		replacement, err := r.fleet.startWorker(worker.ID+"x", startedAt)
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

// jam has the store serve nothing for a while.
func (r stepRun) jam() error {
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
	if !ok || r.fleet.hub == nil {
		return r.invalid()
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.fleet.partitionCondition = condition
	r.fleet.partitioned = map[string]bool{}
	for _, instance := range instances {
		r.fleet.partitioned[instance.Gossip] = true
	}
	return nil
}

// setLinks changes the links between some schedulers and some workers, or resets their connections.
func (r stepRun) setLinks() error {
	instances, err := r.selectedInstances(1)
	if err != nil {
		return err
	}
	workers, err := r.selectedWorkers(2)
	if err != nil {
		return errors.Join(err, r.invalid())
	}
	condition, ok := linkConditions[r.Args[0]]
	if !ok && r.Args[0] != resetLink || !r.fleet.LinkedWorkers {
		return r.invalid()
	}
	var errs error
	for _, instance := range instances {
		for _, worker := range workers {
			r.fleet.workerAddress(instance.Name, worker) // which opens the link
			link := r.fleet.linkTo(instance.Name, worker.ID)
			if link == nil {
				return fmt.Errorf("no link from %s to %s", instance.Name, worker.ID)
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
	r.fleet.KnownEvents = KnownEvents(r.Args[0])
	for _, instance := range r.fleet.Instances {
		if err := instance.configure(); err != nil {
			return err
		}
	}
	return nil
}
