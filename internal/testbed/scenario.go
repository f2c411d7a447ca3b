package testbed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Scenario is a script of what happens to a fleet: lines "TIME VERB ARGUMENTS" in the order of their times, each
// beginning when its time has come. A share is of all schedulers, or workers, the same ones for the same seed.
//
//	0s known full|old|empty        the events that schedulers are configured with; before any start
//	0s start SHARE                 starts those of the first SHARE that do not run
//	4s list MOOD [SHARE]           mood of the list service; SHARE of what the fleet asks, for crowded
//	4s break                       breaks all connections of the list service
//	4s tell                        an event that says again what the list has
//	4s drain SHARE                 has workers drain
//	4s replace SHARE [cold]        deletes workers and lists new ones, that start then if they are cold
//	4s kill|stop|cont|term SHARE   of schedulers: SIGKILL, SIGSTOP, SIGCONT, SIGTERM
//	4s roll SHARE PAUSE            ends and starts all schedulers, a share at a time
//	4s link WAY SHARE SHARE        of schedulers and workers, between them: whole, cut, cut-there, cut-back, hang, slow
//	                               (4,000 bytes a second), far (100 to 200 ms each way) or reset
//	4s boot SHARE                  has workers start anew at their address, empty and cold
//	4s jam PAUSE                   the store that all workers load from serves nothing for so long
//	4s talk WAY SHARE              of schedulers, between them and the others, who share what they find: whole, cut,
//	                               cut-there, cut-back, far or lossy (one datagram in three lost, one in ten twice,
//	                               out of order)
//	4s workers FAULT SHARE         sound, mute, stalls, fails or refuses
type Scenario []Step

// Step is a line of a Scenario.
type Step struct {
	At   time.Duration
	Verb string
	Args []string
}

var errStep = errors.New("not a step of a scenario")

// ParseScenario reads a script.
func ParseScenario(text string) (s Scenario, err error) {
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || len(f) < 2 || len(s) > 0 && at < s[len(s)-1].At {
			return nil, fmt.Errorf("%w: %q", errStep, line)
		}
		s = append(s, Step{at, f[1], f[2:]})
	}
	return s, nil
}

// share is how many of n a step is about.
func (s Step) share(i, n int) (int, error) {
	if i >= len(s.Args) {
		return 0, fmt.Errorf("%w: %v", errStep, s)
	}
	x, err := strconv.ParseFloat(s.Args[i], 64)
	if err != nil || x < 0 || x > 1 {
		return 0, fmt.Errorf("%w: share %q", errStep, s.Args[i])
	}
	return int(x*float64(n) + 0.5), nil
}

var faults = map[string]Fault{"sound": Sound, "mute": Mute, "stalls": Stalls, "fails": Fails, "refuses": Refuses}

// do carries out a step.
func (f *Fleet) do(s Step, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 7))
	schedulers, workers := rng.Perm(len(f.Instances)), rng.Perm(len(f.Workers))
	each := func(i int, act func(*Instance) error) error {
		n, err := s.share(i, len(f.Instances))
		for _, k := range schedulers[:n] {
			if err == nil {
				err = act(f.Instances[k])
			}
		}
		return err
	}
	some := func(i int) (list []*Worker, err error) {
		n, err := s.share(i, len(f.Workers))
		for _, k := range workers[:n] {
			list = append(list, f.Workers[k])
		}
		return list, err
	}
	signal := func(sig syscall.Signal) error {
		return each(0, func(in *Instance) error { return in.Signal(sig) })
	}
	start := func(in *Instance) error {
		if in.ended != nil {
			return nil
		}
		return in.Start()
	}
	switch s.Verb {
	case "start":
		return each(0, start)
	case "kill":
		return each(0, func(in *Instance) error { in.Kill(); return nil })
	case "stop":
		return signal(syscall.SIGSTOP)
	case "cont":
		return signal(syscall.SIGCONT)
	case "term":
		return each(0, func(in *Instance) error { go in.Stop(); return nil })
	case "roll":
		n, err := s.share(0, len(f.Instances))
		if err != nil || len(s.Args) < 2 || n == 0 {
			return fmt.Errorf("%w: %v", errStep, s)
		}
		pause, err := time.ParseDuration(s.Args[1])
		for from := 0; from < len(schedulers) && err == nil; from += n {
			for _, k := range schedulers[from:min(from+n, len(schedulers))] {
				f.rolling.Go(func() {
					if err := f.Instances[k].Stop(); err == nil {
						_ = f.Instances[k].Start() // one that does not start is missed by the checks
					}
				})
			}
			time.Sleep(pause)
		}
		f.rolling.Wait()
		return err
	case "list":
		rate := 0.0
		if len(s.Args) > 1 {
			x, err := strconv.ParseFloat(s.Args[1], 64)
			if err != nil || x <= 0 {
				return fmt.Errorf("%w: %v", errStep, s)
			}
			rate = x * float64(len(f.Instances)) / 2 // the fleet asks once in 2 s each
		}
		if len(s.Args) == 0 {
			return fmt.Errorf("%w: %v", errStep, s)
		}
		return f.List.Set(Mood(s.Args[0]), rate)
	case "break":
		f.List.Break()
	case "tell":
		for _, w := range f.Workers {
			if _, leaves := f.leaving[w]; !leaves {
				f.Tell(false, []*Worker{w}, "SERVING")
				break
			}
		}
	case "drain":
		list, err := some(0)
		f.Tell(false, list, "DRAINING")
		return err
	case "replace":
		list, err := some(0)
		if err != nil {
			return err
		}
		born := time.Time{}
		if len(s.Args) > 1 && s.Args[1] == "cold" {
			born = time.Now()
		}
		return f.replace(list, born)
	case "boot":
		list, err := some(0)
		for _, w := range list {
			w.boot()
		}
		f.Tell(false, list, "SERVING")
		return err
	case "jam":
		if len(s.Args) != 1 {
			return fmt.Errorf("%w: %v", errStep, s)
		}
		d, err := time.ParseDuration(s.Args[0])
		f.Store.Jam(d)
		return err
	case "workers":
		list, err := some(1)
		for _, w := range list {
			w.Set(faults[s.Args[0]])
		}
		return err
	case "link":
		return f.link(s, schedulers, workers)
	case "talk":
		n, err := s.share(1, len(f.Instances))
		way, ok := ways[s.Args[0]]
		if err != nil || !ok || f.hub == nil {
			return errors.Join(err, fmt.Errorf("%w: %v", errStep, s))
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.talk, f.apart = way, map[string]bool{}
		for _, k := range schedulers[:n] {
			f.apart[f.Instances[k].Gossip] = true
		}
	case "known":
		if len(s.Args) != 1 {
			return fmt.Errorf("%w: %v", errStep, s)
		}
		f.Known = s.Args[0]
		for _, in := range f.Instances {
			if err := in.configure(); err != nil {
				return err
			}
		}
	default:
		return fmt.Errorf("%w: %v", errStep, s)
	}
	return nil
}

// ways is what links can be made to do.
var ways = map[string]Way{
	"whole": {}, "cut": {There: true, Back: true}, "cut-there": {There: true}, "cut-back": {Back: true},
	"lossy": {Loss: 0.33, Double: 0.1, Spread: 50 * time.Millisecond}, "hang": {Hang: true}, "slow": {Rate: 4000}, "far": {Delay: 100 * time.Millisecond, Spread: 100 * time.Millisecond},
}

// link changes the links between some schedulers and some workers.
func (f *Fleet) link(s Step, schedulers, workers []int) error {
	n, err := s.share(1, len(schedulers))
	if err != nil {
		return err
	}
	m, err := s.share(2, len(workers))
	way, ok := ways[s.Args[0]]
	if err != nil || !ok && s.Args[0] != "reset" || !f.Linked {
		return errors.Join(err, fmt.Errorf("%w: %v", errStep, s))
	}
	for _, i := range schedulers[:n] {
		for _, j := range workers[:m] {
			f.way(f.Instances[i].Name, f.Workers[j])
			f.mu.Lock()
			k := f.links[linked{f.Instances[i].Name, f.Workers[j].ID}]
			f.mu.Unlock()
			if k == nil {
				return fmt.Errorf("no link from %s to %s", f.Instances[i].Name, f.Workers[j].ID)
			}
			if ok {
				err = errors.Join(err, k.Set(way))
			} else {
				k.Reset()
			}
		}
	}
	return err
}

// replace deletes workers from the list and lists as many new ones.
func (f *Fleet) replace(gone []*Worker, born time.Time) error {
	f.Tell(false, gone, "DELETED")
	var fresh []*Worker
	for _, w := range gone {
		n, err := f.worker(w.ID+"x", born)
		if err != nil {
			return err
		}
		fresh = append(fresh, n)
	}
	f.Workers = append(f.Workers, fresh...)
	f.Tell(false, fresh, "SERVING")
	return nil
}
