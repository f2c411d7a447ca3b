package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"calicohill/internal/fleet/pki"
	"calicohill/internal/testbed/platform"
)

const (
	// frontDrainDelay is how long after SIGTERM the front still sends.
	frontDrainDelay = 200 * time.Millisecond
	// stopTimeout is how long a scheduler may take for a graceful shutdown.
	stopTimeout = 20 * time.Second
	// maxSeeds is how many instances are seeds, through which the others join.
	maxSeeds = 3
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
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

	outOfRotation atomic.Bool  // the front sends it nothing
	disruptedAt   atomic.Int64 // Unix nanoseconds of when it was last killed or continued; the maximum while it is stopped
	incarnation   atomic.Int32 // counts its starts

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

// configure writes the files of an instance: the platform's, its key and the operator's.
func (in *Instance) configure() error {
	fleet := in.fleet
	rank, _ := strconv.Atoi(in.Name[1:]) // the fleet made the name
	listAddress, err := fleet.List.Address(in.Name)
	if err != nil {
		return err
	}
	text, err := json.Marshal(platform.Config{
		Bulletin: listAddress,
		Known:    json.RawMessage(fleet.knownEvents(in.Name)),
		Limits:   platform.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Listen:   in.Addr,
		Name:     in.Name,
		Seed:     fmt.Sprintf("%016x", rank+1),
		Settings: platform.FleetSettings(max(fleet.ClaimedSchedulers, len(fleet.Instances)), rank).JSON(),
	})
	if err != nil {
		return err
	}
	in.configPath = filepath.Join(fleet.Dir, in.Name+".json")
	in.operatorPath = filepath.Join(fleet.Dir, in.Name+".conf")
	if err := os.WriteFile(in.configPath, text, 0o600); err != nil {
		return err
	}
	if err := in.NewKey(fleet.Authority); err != nil {
		return err
	}
	return in.Rewrite(in.Operator(""))
}

// NewKey gives an instance a key of an authority.
func (in *Instance) NewKey(authority *pki.Authority) error {
	member, err := authority.Issue(in.Name, time.Now().Add(-time.Hour), 12*time.Hour)
	if err != nil {
		return err
	}
	in.Key = filepath.Join(in.fleet.Dir, in.Name+".key")
	if err := os.Remove(in.Key); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return pki.WriteKeyFile(in.Key, member.Key, member.Cert)
}

// Operator returns the text of an instance's operator's file, with more lines at the end of its section gossip.
func (in *Instance) Operator(more string) string {
	text := "log\n  format json\n"
	if in.fleet.KeepState {
		text += "state\n  snapshot " + in.operatorPath + ".list\n  fleet lab\n"
	}
	if !in.fleet.Sharing {
		return text
	}
	text += fmt.Sprintf("gossip\n  listen %s\n  fleet lab\n  key %s\n  authority fleet.crt\n", in.Gossip, in.Key)
	reachedAt := func(gossip string) string { return gossip }
	if hub := in.fleet.hub; hub != nil {
		reachedAt = hub.Addr
		text += "  advertise " + hub.Addr(in.Gossip) + "\n"
	}
	for _, seed := range in.fleet.Instances[:min(maxSeeds, len(in.fleet.Instances))] {
		text += "  seed " + reachedAt(seed.Gossip) + "\n"
	}
	return text + more
}

// Rewrite replaces the operator's file.
func (in *Instance) Rewrite(text string) error {
	return os.WriteFile(in.operatorPath, []byte(text), 0o600)
}

// Duplicate returns another instance with the name and the files of this one. It does not run yet.
func (in *Instance) Duplicate() *Instance {
	return &Instance{
		Name:         in.Name,
		Addr:         in.Addr,
		Gossip:       in.Gossip,
		Key:          in.Key,
		Log:          &Log{},
		fleet:        in.fleet,
		configPath:   in.configPath,
		operatorPath: in.operatorPath,
	}
}

// Move gives an instance new addresses and files of its own, under the name and the key that it has.
func (in *Instance) Move() error {
	var err error
	if in.Addr, err = in.fleet.freeAddress("tcp"); err != nil {
		return err
	}
	if in.Gossip, err = in.fleet.freeAddress("udp"); err != nil {
		return err
	}
	text, err := os.ReadFile(in.configPath)
	if err != nil {
		return err
	}
	var config platform.Config
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	config.Listen = in.Addr
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	in.configPath += ".moved"
	in.operatorPath += ".moved"
	if err := os.WriteFile(in.configPath, text, 0o600); err != nil {
		return err
	}
	return in.Rewrite(in.Operator(""))
}

// Start starts the scheduler's process, which serves once waitHealthy says so.
func (in *Instance) Start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.start()
}

// startIfStopped starts the scheduler unless it runs.
func (in *Instance) startIfStopped() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running {
		return nil
	}
	return in.start()
}

// start is Start for a caller that holds the lock.
func (in *Instance) start() error {
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
	}
	return in.latestProcess().cmd.Process.Signal(signal)
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

// Stop ends a scheduler as a planned restart does. An error says that it did not end, or not with success.
func (in *Instance) Stop() error {
	running := in.runningProcess()
	if running == nil {
		return nil
	}
	if err := in.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("scheduler %s: %w", in.Name, err)
	}
	time.AfterFunc(frontDrainDelay, func() {
		in.outOfRotation.Store(true)
		if time.Duration(in.fleet.wakeDelay.Load()) > frontDrainDelay {
			in.disruptedAt.Store(time.Now().UnixNano()) // what the front sent in time may have come after the end
		}
	})
	select {
	case <-running.exited:
		in.noteEnd(running)
		if running.err != nil {
			return fmt.Errorf("scheduler %s ended with %w", in.Name, running.err)
		}
		return nil
	case <-time.After(stopTimeout):
		in.Kill()
		return fmt.Errorf("scheduler %s does not end", in.Name)
	}
}

// CPU returns the processor time that a scheduler has used; 0 where the system doesn't say.
func (in *Instance) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", in.Pid()))
	if err != nil {
		return 0
	}
	const (
		userTime   = 11 // fields of proc(5), counted after the program's name
		systemTime = 12
	)
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemTime {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTime])
	system, _ := strconv.Atoi(fields[systemTime])
	return time.Duration(user+system) * clockTick
}

// Memory returns the resident memory of a scheduler in kB; 0 where the system doesn't say.
func (in *Instance) Memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.Pid()))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, _ := strconv.Atoi(strings.Fields(afterName + " 0")[0])
	return kilobytes
}
