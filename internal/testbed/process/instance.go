package process

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// drainDelay is the time after SIGTERM for which the web server continues to send requests.
	drainDelay = 200 * time.Millisecond
	// killDelay is the minimum time between SIGTERM and the platform's SIGKILL: the scheduler's longest deadline,
	// capped at 3 s, plus 0.7 s.
	killDelay = 3700 * time.Millisecond
	// usageTimeout is how long a process that did not exit in time may take to log its state.
	usageTimeout = 100 * time.Millisecond
	// stopTimeout is the maximum duration of a graceful shutdown.
	stopTimeout = 20 * time.Second
	// reportedLogLines is the number of log lines in the report of a process that did not exit in time.
	reportedLogLines = 3
	// maxSeeds is the maximum number of instances that serve as seeds.
	maxSeeds = 3
)

// Instance is a scheduler of a Fleet. It has configuration files and, while it runs, a process.
type Instance struct {
	Name       string
	Addr       string // address for requests
	GossipAddr string // address for gossip
	KeyPath    string // path of the file with its key and certificate
	Log        *Log   // empty before the first start

	fleet        *Fleet
	configPath   string // platform's file
	operatorPath string // operator's file

	outOfRotation atomic.Bool // the web server sends no requests
	// noNewConnections makes the web server open no new connections. It still uses the open ones.
	noNewConnections atomic.Bool
	// disruptedAt is the time of the last SIGKILL or SIGCONT in Unix nanoseconds. It is MaxInt64 while the process is
	// suspended by SIGSTOP.
	disruptedAt atomic.Int64
	incarnation atomic.Int32 // number of starts

	mu        sync.Mutex
	latest    *process    // nil before the first start
	running   bool        // the latest process was started, and neither Stop nor Kill has observed its exit
	startedAt []time.Time // start time of each process
}

// process is an operating system process of a scheduler.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	err    error         // result of Wait; set before exited is closed
}

// wait waits until the process has exited.
func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

// Start starts the scheduler's process. It does not wait until the scheduler is healthy.
func (in *Instance) Start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.start()
}

// StartIfStopped starts the scheduler unless it is running.
func (in *Instance) StartIfStopped() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running {
		return nil
	}
	return in.start()
}

// start implements Start. The caller holds the lock.
func (in *Instance) start() error {
	if in.fleet.KillAtDeadline {
		// Like the platform, write the configuration with the current events before each start.
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
			in.noNewConnections.Store(false)
			in.outOfRotation.Store(false)
		}
	}()
	in.latest = &process{cmd: cmd, exited: make(chan struct{})}
	in.running = true
	go in.latest.wait()
	return nil
}

// runningProcess returns the running process, or nil.
func (in *Instance) runningProcess() *process {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.running {
		return nil
	}
	return in.latest
}

// latestProcess returns the most recently started process, or nil before the first start.
func (in *Instance) latestProcess() *process {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.latest
}

// recordExit records the exit of a process.
func (in *Instance) recordExit(exited *process) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.latest == exited {
		in.running = false
	}
}

// lastStartBefore returns the time of the last start before the given time, or zero if there was none.
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

// Signal sends a signal to the latest process. The scheduler must have been started.
func (in *Instance) Signal(signal syscall.Signal) error {
	switch signal {
	case syscall.SIGSTOP:
		in.disruptedAt.Store(math.MaxInt64)
	case syscall.SIGCONT:
		in.disruptedAt.Store(time.Now().UnixNano())
	default: // Stop and Kill record the disruption by their signals themselves
	}
	return in.latestProcess().cmd.Process.Signal(signal)
}

// IsServing reports whether the scheduler is running and receives requests.
func (in *Instance) IsServing() bool { return in.runningProcess() != nil && !in.outOfRotation.Load() }

// ExitedUnexpectedly reports whether the process exited without a call of Stop or Kill.
func (in *Instance) ExitedUnexpectedly() bool {
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

// disruptedSince reports whether the process was killed or suspended at or after the given time.
func (in *Instance) disruptedSince(at time.Time) bool { return in.disruptedAt.Load() >= at.UnixNano() }

// Pid returns the ID of the latest process. The scheduler must have been started.
func (in *Instance) Pid() int { return in.latestProcess().cmd.Process.Pid }

// Kill kills the running process with SIGKILL and waits for its exit.
func (in *Instance) Kill() {
	running := in.runningProcess()
	if running == nil {
		return
	}
	in.outOfRotation.Store(true)
	in.disruptedAt.Store(time.Now().UnixNano())
	_ = running.cmd.Process.Kill() // may already have exited
	<-running.exited
	in.recordExit(running)
}

// Stop shuts down a scheduler gracefully, as a planned restart does. It returns an error if the process does not exit
// in time or exits with a failure. The fleet records the error unless the process was disrupted meanwhile.
func (in *Instance) Stop() error {
	running := in.runningProcess()
	if running == nil {
		return nil
	}
	stopStart := time.Now()
	err := in.stop(running)
	if err != nil && !in.disruptedSince(stopStart) {
		in.fleet.recordStopError(err)
	}
	return err
}

// logUsage makes the scheduler log its state: the phase of its shutdown, open requests and unsent bytes. It waits a short
// time for that.
func (in *Instance) logUsage() {
	const message = "resource usage"
	before := strings.Count(in.Log.String(), message)
	if in.Signal(syscall.SIGUSR1) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	_ = in.Log.WaitFor(ctx, func(log string) bool { return strings.Count(log, message) > before }) // it may hang
}

// stop shuts down the running process gracefully and kills it after a timeout.
func (in *Instance) stop(running *process) error {
	signaledAt := time.Now()
	if err := in.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("scheduler %s: %w", in.Name, err)
	}
	timeout := stopTimeout
	if in.fleet.KillAtDeadline {
		timeout = killDelay + 2*time.Duration(in.fleet.wakeDelay.Load())
	}
	time.AfterFunc(drainDelay, func() {
		if in.fleet.KillAtDeadline {
			in.noNewConnections.Store(true)
			return
		}
		in.outOfRotation.Store(true)
		if time.Duration(in.fleet.wakeDelay.Load()) > drainDelay {
			// Requests that the web server sent in time may have arrived after the exit.
			in.disruptedAt.Store(time.Now().UnixNano())
		}
	})
	select {
	case <-running.exited:
		in.outOfRotation.Store(true)
		in.recordExit(running)
		if running.err != nil {
			return fmt.Errorf("scheduler %s failed: %w", in.Name, running.err)
		}
		return nil
	case <-time.After(timeout):
		// The kill after a timeout does not count as a disruption.
		disrupted := in.disruptedAt.Load()
		waited := time.Since(signaledAt).Round(time.Millisecond)
		in.logUsage()
		in.Kill()
		in.disruptedAt.Store(max(disrupted, 0))
		return fmt.Errorf("scheduler %s did not exit within %v after SIGTERM; its last log lines:\n%s",
			in.Name, waited, in.Log.LastLines(reportedLogLines))
	}
}
