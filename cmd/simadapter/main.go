// Command simadapter connects routers to the simulator. It runs one router per simulated instance, passes the events of
// each batch to the routers, and replies with their actions. It reads batches from standard input and writes replies to
// standard output until the input ends. On an error it prints the error to standard error and exits with status 1.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"calicohill/internal/simwire"
	"calicohill/routing"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to all batches of the input. It returns an error if the input is malformed or a write fails.
func run(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(in)
	encoder := simwire.NewEncoder(out)
	routers := map[int]*routing.Router{}
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, step := range groupByInstance(batch) {
			actions, err := step.run(routers, batch)
			if err := writeReply(encoder, step.instance, actions, err); err != nil {
				return err
			}
		}
		if err := encoder.Flush(batch.Number); err != nil {
			return err
		}
	}
}

// writeReply writes the actions of an instance, or its failure if failure is not nil. Without either it writes nothing.
func writeReply(encoder *simwire.Encoder, instance int, actions []routing.Action, failure error) error {
	if failure != nil {
		encoder.Instance(instance)
		encoder.InstanceFailed(failure.Error())
		return nil
	}
	if len(actions) == 0 {
		return nil
	}
	encoder.Instance(instance)
	for _, action := range actions {
		if err := encoder.Action(action); err != nil {
			return err
		}
	}
	return nil
}

// instanceStep contains the messages for one instance in a batch.
type instanceStep struct {
	instance int
	start    *simwire.InstanceStart // nil unless the router is to be created
	stopped  bool
	events   []routing.Event // after the start or stop, if any
}

// groupByInstance groups the items of a batch by instance, in the order in which the instances first appear. Events
// before a stop or a start in the same batch are dropped, because their router no longer exists.
func groupByInstance(batch *simwire.Batch) []*instanceStep {
	var steps []*instanceStep
	byInstance := map[int]*instanceStep{}
	for _, item := range batch.Items {
		step := byInstance[item.Instance]
		if step == nil {
			step = &instanceStep{instance: item.Instance}
			byInstance[item.Instance] = step
			steps = append(steps, step)
		}
		switch {
		case item.Stop:
			*step = instanceStep{instance: item.Instance, stopped: true}
		case item.Start != nil:
			*step = instanceStep{instance: item.Instance, start: item.Start}
		default:
			step.events = append(step.events, item.Event)
		}
	}
	return steps
}

// run creates or removes the router of the instance and passes the events to it. A panic of the router is returned as
// an error, so that other instances keep running.
func (s *instanceStep) run(routers map[int]*routing.Router, batch *simwire.Batch) (actions []routing.Action, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("panic: %v", reason)
		}
	}()
	if s.stopped || s.start != nil {
		delete(routers, s.instance)
	}
	if s.start != nil {
		router, err := routing.New(s.start.Settings, s.start.Seed)
		if err != nil {
			return nil, err
		}
		routers[s.instance] = router
	}
	router := routers[s.instance]
	if router == nil && len(s.events) > 0 {
		return nil, fmt.Errorf("events for instance %d, which is not running", s.instance)
	}
	if router == nil {
		return nil, nil
	}
	return router.Step(batch.Now, s.events), nil
}
