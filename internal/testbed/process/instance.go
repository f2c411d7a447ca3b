package process

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// frontDrainDelay is how long after SIGTERM the front still sends.
	frontDrainDelay = 200 * time.Millisecond
	// killDelay is how long after SIGTERM the platform kills a scheduler at the soonest: its longest deadline, counted as
	// 3 s at most, and 0.7 s.
	killDelay = 3700 * time.Millisecond
	// stopTimeout is how long a scheduler may take for a graceful shutdown.
	stopTimeout = 20 * time.Second
	// maxSeeds is how many instances are seeds, through which the others join.
	maxSeeds = 3
)

// Instance is one scheduler of a Fleet: its files, and a process while it runs.
type Instance struct {
	Name   string
	Addr   string // for the front
	Gossip string // for the other schedulers
	Key    string // file with its key and certificate
	Log    *Log   // empty before the first start

	fleet        *Fleet
	configPath   string // the platform's file
	operatorPath string // the operator's file

	outOfRotation atomic.Bool // the front sends it nothing
	// connectionsClosed has the front open no connection to it, and use those that are open.
	connectionsClosed atomic.Bool
	disruptedAt       atomic.Int64 // Unix nanoseconds of when it was last killed or continued; the maximum while it is stopped
	incarnation       atomic.Int32 // counts its starts

	mu        sync.Mutex
	latest    *process    // nil before the first start
	running   bool        // the latest process was started, and neither Stop nor Kill has seen its end
	startedAt []time.Time // of each process
}

// process is a process of a scheduler.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed once the process has ended
	err    error         // how it ended; set before exited is closed
}

// wait waits until the process has ended.
func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

// Start starts the scheduler's process, which serves once waitHealthy says so.
func (in *Instance) Start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.start()
}

// StartIfStopped starts the scheduler unless it runs.
func (in *Instance) StartIfStopped() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running {
		return nil
	}
	return in.start()
}

// start is Start for a caller that holds the lock.
func (in *Instance) start() error {
	if in.fleet.KillAtDeadline {
		// The platform writes the configuration at each start, with the events so far.
		if err := in.Configure(); err != nil {
			return err
		}
	}
	cmd := exec.Command(in.fleet.Program, "run", "--config", in.configPath, "--operator", in.operatorPath)
	cmd.Env = append(append(os.Environ(), "ROUTER_CONFIG=", "ROUTER_NAME=", "ROUTER_LISTEN="), in.fleet.Env...)
	in.Log.startProcess()
	in.startedAt = append(in.startedAt, time.Now())
	cmd.Stdout = in.Log
	cmd.Stderr = in.Log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("scheduler %s: %w", in.Name, err)
	}
	in.incarnation.Add(1)
	go func() {
		if in.waitHealthy(context.Background()) == nil {
			in.connectionsClosed.Store(false)
			in.outOfRotation.Store(false)
		}
	}()
	in.latest = &process{cmd: cmd, exited: make(chan struct{})}
	in.running = true
	go in.latest.wait()
	return nil
}

// runningProcess returns the process that runs, or nil.
func (in *Instance) runningProcess() *process {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.running {
		return nil
	}
	return in.latest
}

// latestProcess returns the process that was started last; nil before the first start.
func (in *Instance) latestProcess() *process {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.latest
}

// noteEnd notes that a process has ended.
func (in *Instance) noteEnd(ended *process) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.latest == ended {
		in.running = false
	}
}

// lastStartBefore returns when the process that ran at a time had been started; the zero time if none ran before.
func (in *Instance) lastStartBefore(at time.Time) time.Time {
	in.mu.Lock()
	defer in.mu.Unlock()
	var last time.Time
	for _, start := range in.startedAt {
		if start.Before(at) {
			last = start
		}
	}
	return last
}

// Signal sends a signal to a scheduler that has been started.
func (in *Instance) Signal(signal syscall.Signal) error {
	switch signal {
	case syscall.SIGSTOP:
		in.disruptedAt.Store(math.MaxInt64)
	case syscall.SIGCONT:
		in.disruptedAt.Store(time.Now().UnixNano())
	default: // Stop and Kill note what their signals do
	}
	return in.latestProcess().cmd.Process.Signal(signal)
}

// Serves reports whether the scheduler runs and has served since its start.
func (in *Instance) Serves() bool { return in.runningProcess() != nil && !in.outOfRotation.Load() }

// EndedByItself reports whether the scheduler ended though nobody had it end.
func (in *Instance) EndedByItself() bool {
	running := in.runningProcess()
	if running == nil {
		return false
	}
	select {
	case <-running.exited:
		return true
	default:
		return false
	}
}

// disruptedSince reports whether the process was killed or stopped after a time.
func (in *Instance) disruptedSince(at time.Time) bool { return in.disruptedAt.Load() >= at.UnixNano() }

// Pid returns the ID of the latest process of a scheduler that has been started.
func (in *Instance) Pid() int { return in.latestProcess().cmd.Process.Pid }

// Kill ends a scheduler with SIGKILL.
func (in *Instance) Kill() {
	running := in.runningProcess()
	if running == nil {
		return
	}
	in.outOfRotation.Store(true)
	in.disruptedAt.Store(time.Now().UnixNano())
	_ = running.cmd.Process.Kill() // it may have ended
	<-running.exited
	in.noteEnd(running)
}

// Stop ends a scheduler as a planned restart does. An error says that it did not end, or not with success; the fleet notes
// it, unless the process was stopped by SIGSTOP meanwhile.
func (in *Instance) Stop() error {
	running := in.runningProcess()
	if running == nil {
		return nil
	}
	began := time.Now()
	err := in.stop(running)
	if err != nil && !in.disruptedSince(began) {
		in.fleet.noteStopError(err)
	}
	return err
}

// stop ends the running process as a planned restart does.
func (in *Instance) stop(running *process) error {
	if err := in.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("scheduler %s: %w", in.Name, err)
	}
	timeout := stopTimeout
	if in.fleet.KillAtDeadline {
		timeout = killDelay + 2*time.Duration(in.fleet.wakeDelay.Load())
	}
	time.AfterFunc(frontDrainDelay, func() {
		if in.fleet.KillAtDeadline {
			in.connectionsClosed.Store(true)
			return
		}
		in.outOfRotation.Store(true)
		if time.Duration(in.fleet.wakeDelay.Load()) > frontDrainDelay {
			in.disruptedAt.Store(time.Now().UnixNano()) // what the front sent in time may have come after the end
		}
	})
	select {
	case <-running.exited:
		in.outOfRotation.Store(true)
		in.noteEnd(running)
		if running.err != nil {
			return fmt.Errorf("scheduler %s ended with %w", in.Name, running.err)
		}
		return nil
	case <-time.After(timeout):
		disrupted := in.disruptedAt.Load()
		in.Kill()
		in.disruptedAt.Store(max(disrupted, 0))
		return fmt.Errorf("scheduler %s does not end", in.Name)
	}
}
