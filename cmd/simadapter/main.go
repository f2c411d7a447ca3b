// Command simadapter lets the bench drive calicohill: it hosts one Router for each instance that the wire names and
// translates between the wire's lines and the Router's events and actions.
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

// turn is what one instance is told in a batch.
type turn struct {
	instance int
	start    *simwire.PowerOn
	stopped  bool
	events   []routing.Event
}

// turns groups the items of a batch by instance, in the order of first appearance. Events that came before
// a stop or a start in the same batch belong to a life that is over, and are dropped with it.
func turns(items []simwire.Item) []*turn {
	var list []*turn
	byInstance := map[int]*turn{}
	for _, it := range items {
		t := byInstance[it.Instance]
		if t == nil {
			t = &turn{instance: it.Instance}
			byInstance[it.Instance] = t
			list = append(list, t)
		}
		switch {
		case it.Stop:
			*t = turn{instance: it.Instance, stopped: true}
		case it.PowerOn != nil:
			*t = turn{instance: it.Instance, start: it.PowerOn}
		default:
			t.events = append(t.events, it.Event)
		}
	}
	return list
}

func run(in io.Reader, out io.Writer) error {
	dec, enc := simwire.NewDecoder(in), simwire.NewEncoder(out)
	routers := map[int]*routing.Router{}
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		for _, t := range turns(batch.Items) {
			actions, err := play(routers, t, batch)
			if err == nil && len(actions) == 0 {
				continue
			}
			enc.Instance(t.instance)
			if err != nil {
				enc.InstanceFailed(err.Error())
				continue
			}
			for _, a := range actions {
				if err := enc.Action(a); err != nil {
					return err
				}
			}
		}
		if err := enc.Flush(batch.Number); err != nil {
			return err
		}
	}
}

// play hands an instance its events. A panic in the decisions comes back as an error.
func play(routers map[int]*routing.Router, t *turn, b *simwire.Batch) (actions []routing.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	if t.stopped || t.start != nil {
		delete(routers, t.instance)
	}
	if t.start != nil {
		if routers[t.instance], err = routing.New(t.start.Settings, t.start.Seed); err != nil {
			delete(routers, t.instance)
			return nil, err
		}
	}
	r := routers[t.instance]
	if r == nil {
		if len(t.events) > 0 {
			return nil, fmt.Errorf("events for instance %d, which is not running", t.instance)
		}
		return nil, nil
	}
	return r.Step(b.Now, t.events), nil
}
