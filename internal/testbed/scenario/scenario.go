// Package scenario parses, generates and plays fault scripts for fleets of processes.
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

// Scenario is a fault script for a fleet. Its lines have the form "TIME VERB ARGUMENTS" and are ordered by time, which
// counts from the start of the run. A SHARE is a fraction of all schedulers or workers; the seed determines which ones.
//
//	0s known full|stale|empty      sets the events in the schedulers' configuration; before any start
//	0s start SHARE                 starts those of the schedulers that are not running
//	4s list FAULT [SHARE]          sets the fault of the list service: healthy (none), refusing, unresponsive, overloaded,
//	                               truncating or rate_limited, which answers SHARE of the fleet's polls
//	4s disconnect                  closes all connections of the list service
//	4s publish                     publishes an event that changes nothing in the list
//	4s drain SHARE                 drains workers
//	4s replace SHARE [warming_up]  deletes workers and lists new ones, which are warm by default
//	4s kill|stop|cont|term SHARE   sends schedulers SIGKILL, SIGSTOP, SIGCONT or SIGTERM
//	4s hup|usr1 SHARE              sends schedulers SIGHUP or SIGUSR1
//	4s rolling_restart SHARE PAUSE restarts all schedulers in batches of SHARE, with a PAUSE after each batch
//	4s link CONDITION SHARE SHARE  sets the condition of links between schedulers and workers: healthy, partitioned,
//	                               partitioned_forward, partitioned_backward, hang, throttled (4,000 bytes per second),
//	                               high_latency (100 to 200 ms each way) or connection_reset
//	4s restart_workers SHARE       restarts workers at the same address, warming up and without loaded functions, except
//	                               draining and deleted ones
//	4s stall_store PAUSE           stalls the store from which all workers load functions
//	4s gossip CONDITION SHARE      sets the condition of gossip links between SHARE of the schedulers and the others: healthy,
//	                               partitioned, partitioned_forward, partitioned_backward, high_latency or lossy (33% loss,
//	                               10% duplicates, reordering)
//	4s workers FAULT SHARE         sets the fault of workers: healthy (none), unresponsive, slow, failing or refusing
//
// Deprecated verbs and arguments are also accepted, see verbAliases and argumentAliases.
type Scenario []Step

// Step is one line of a Scenario.
type Step struct {
	At   time.Duration
	Verb string
	Args []string
}

// errInvalidStep means that a line can't be parsed, or that its verb or arguments are invalid.
var errInvalidStep = errors.New("invalid scenario step")

// Parse parses a script, and replaces deprecated words with the current ones. Verbs and arguments are checked only when the
// step is executed.
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

// has reports whether any step has the verb.
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

// argument returns the argument at an index, or an error if it is missing.
func (s Step) argument(index int) (string, error) {
	if index >= len(s.Args) {
		return "", s.invalid()
	}
	return s.Args[index], nil
}

// count converts the share at an argument index to a number of elements out of total.
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

// duration parses the duration at an argument index.
func (s Step) duration(index int) (time.Duration, error) {
	text, err := s.argument(index)
	if err != nil {
		return 0, err
	}
	return time.ParseDuration(text)
}

// Play executes the steps on a fleet at their times relative to began, until the context is done. lastStep is the completion
// time of the last executed step.
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
