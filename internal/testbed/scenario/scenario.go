// Package scenario has scripts of what happens to a fleet of processes, and plays them.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/wait"
)

// Scenario is a script of what happens to a fleet: lines "TIME VERB ARGUMENTS" in the order of their times, each
// beginning when its time has come. A share is of all schedulers, or workers, the same ones for the same seed.
//
//	0s known full|stale|empty      the events that schedulers are configured with; before any start
//	0s start SHARE                 starts those of the first SHARE that do not run
//	4s list FAULT [SHARE]          fault of the list service: healthy (none), refusing, unresponsive, overloaded, truncating or
//	                               rate_limited, which answers SHARE of what the fleet polls
//	4s disconnect                  closes all connections of the list service
//	4s publish                     publishes an event that repeats what the list has
//	4s drain SHARE                 drains workers
//	4s replace SHARE [warming_up]  deletes workers and lists new ones, which are warm unless it says that they are warming up
//	4s kill|stop|cont|term SHARE   sends schedulers SIGKILL, SIGSTOP, SIGCONT or SIGTERM
//	4s hup|usr1 SHARE              sends schedulers SIGHUP or SIGUSR1
//	4s rolling_restart SHARE PAUSE a rolling restart of all schedulers, a share at a time
//	4s link CONDITION SHARE SHARE  changes the links between schedulers and workers: healthy, partitioned, partitioned_forward,
//	                               partitioned_backward, hang, throttled (4,000 bytes a second), high_latency (100 to 200 ms
//	                               each way) or connection_reset
//	4s restart_workers SHARE       restarts workers at their address, without functions loaded and warming up; those that drain
//	                               or were deleted go on
//	4s stall_store PAUSE           the store that all workers load from serves nothing for that long
//	4s gossip CONDITION SHARE      changes the links between schedulers and the others, who gossip: healthy, partitioned,
//	                               partitioned_forward, partitioned_backward, high_latency or lossy (one datagram in three lost,
//	                               one in ten twice, out of order)
//	4s workers FAULT SHARE         gives workers a fault: healthy (none), unresponsive, slow, failing or refusing
//
// Earlier words for the same are accepted too: see verbAliases and argumentAliases.
type Scenario []Step

// Step is a line of a Scenario.
type Step struct {
	At   time.Duration
	Verb string
	Args []string
}

// errInvalidStep is the error of a line that is no step of a scenario, or whose arguments are invalid.
var errInvalidStep = errors.New("not a step of a scenario")

// Parse parses a script, and replaces earlier words by the present ones. Verbs and arguments are checked when the step is executed.
func Parse(text string) (Scenario, error) {
	var scenario Scenario
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		at, err := time.ParseDuration(fields[0])
		outOfOrder := len(scenario) > 0 && at < scenario[len(scenario)-1].At
		if err != nil || len(fields) < 2 || outOfOrder {
			return nil, fmt.Errorf("%w: %q", errInvalidStep, line)
		}
		scenario = append(scenario, Step{At: at, Verb: fields[1], Args: fields[2:]}.canonical())
	}
	return scenario, nil
}

// ChangesLinks reports whether the scenario changes links between schedulers and workers.
func (s Scenario) ChangesLinks() bool { return s.has("link") }

// ChangesGossip reports whether the scenario changes links between schedulers.
func (s Scenario) ChangesGossip() bool { return s.has("gossip") }

// has reports whether a step of the scenario has a verb.
func (s Scenario) has(verb string) bool {
	for _, step := range s {
		if step.Verb == verb {
			return true
		}
	}
	return false
}

// invalid returns the error of a step whose arguments are invalid.
func (s Step) invalid() error { return fmt.Errorf("%w: %v", errInvalidStep, s) }

// argument returns the argument at an index; an error if there are fewer.
func (s Step) argument(index int) (string, error) {
	if index >= len(s.Args) {
		return "", s.invalid()
	}
	return s.Args[index], nil
}

// count returns how many of a total the share at an index means.
func (s Step) count(index, total int) (int, error) {
	text, err := s.argument(index)
	if err != nil {
		return 0, err
	}
	fraction, err := strconv.ParseFloat(text, 64)
	if err != nil || fraction < 0 || fraction > 1 {
		return 0, fmt.Errorf("%w: share %q", errInvalidStep, text)
	}
	return int(math.Round(fraction * float64(total))), nil
}

// duration returns the duration at an index of the arguments.
func (s Step) duration(index int) (time.Duration, error) {
	text, err := s.argument(index)
	if err != nil {
		return 0, err
	}
	return time.ParseDuration(text)
}

// Play executes the steps on a fleet, each when its time after the beginning has come, until the context ends. It returns when the
// last step that was executed ended.
func Play(ctx context.Context, fleet *process.Fleet, scenario Scenario, began time.Time, seed uint64) (lastStep time.Time, err error) {
	lastStep = began
	for _, step := range scenario {
		if !wait.Sleep(ctx, time.Until(began.Add(step.At))) {
			break
		}
		if err := execute(fleet, step, seed); err != nil {
			return lastStep, err
		}
		lastStep = time.Now()
	}
	return lastStep, nil
}
