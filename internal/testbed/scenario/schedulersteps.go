package scenario

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"calicohill/internal/testbed/process"
)

func (r stepExecution) kill() error {
	return r.forEachInstance(func(in *process.Instance) error {
		in.Kill()
		return nil
	})
}

func (r stepExecution) signal(signal syscall.Signal) error {
	return r.forEachInstance(func(in *process.Instance) error {
		if err := in.Signal(signal); !errors.Is(err, os.ErrProcessDone) {
			return err
		}
		return nil
	})
}

// signalRunning sends a signal to schedulers that are serving. Before a scheduler serves it handles no signals, and the
// signal would terminate it.
func (r stepExecution) signalRunning(signal syscall.Signal) error {
	return r.forEachInstance(func(in *process.Instance) error {
		if in.IsServing() {
			_ = in.Signal(signal) // the process may have exited
		}
		return nil
	})
}

// terminate starts the shutdown of instances without waiting for its end.
func (r stepExecution) terminate() error {
	return r.forEachInstance(func(in *process.Instance) error {
		go func() { _ = in.Stop() }() // the rule checks detect a failed shutdown
		return nil
	})
}

// rollingRestart restarts all instances in batches.
func (r stepExecution) rollingRestart() error {
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
					_ = instance.Start() // the rule checks detect a failed start
				}
			})
		}
		time.Sleep(pause)
	}
	restarts.Wait()
	return nil
}

// setKnownEvents rewrites the schedulers' configuration files with different events.
func (r stepExecution) setKnownEvents() error {
	if len(r.Args) != 1 {
		return r.invalid()
	}
	known, ok := knownEvents[r.Args[0]]
	if !ok {
		return r.invalid()
	}
	r.fleet.InitialEvents = known
	for _, instance := range r.fleet.Instances {
		if err := instance.Configure(); err != nil {
			return err
		}
	}
	return nil
}
