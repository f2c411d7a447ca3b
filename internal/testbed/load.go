package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"calicohill/internal/frontend/fastcgi"
)

// Load is what a front offers.
type Load struct {
	Rate      float64 // requests a second, of all instances together
	Functions int
	Skew      float64 // the instances' parts: instance i gets a part that falls with i; 0 means equal ones
	Seed      uint64
	Change    func(*fastcgi.Request) // what is made of each request before it goes; nil for nothing
}

// Tally counts what became of requests.
type Tally struct {
	Asked, Served, Refused, Failed, Lost int             // Lost: no answer at all
	NotTaken                             int             // no connection came up, or the front had taken it out
	Hurt                                 int             // no answer of a process that was killed or stopped meanwhile
	Times                                []time.Duration // of those that were answered
	Over                                 time.Duration   // the most by which an answer came after its client's time
}

// Share is the share served.
func (t Tally) Share() float64 {
	if t.Asked == 0 {
		return 0
	}
	return float64(t.Served) / float64(t.Asked)
}

// classes and how often each is asked for, as in docs: two in five read, as many file hours, the rest certify.
var classes = []struct {
	name  string
	share float64
}{{"consulta", 0.39}, {"registro-horas", 0.35}, {"certificado", 0.26}}

// pickClass is the number of the class that a draw from 0 to 1 falls on.
func pickClass(x float64) int {
	for i, c := range classes {
		if x < c.share {
			return i
		}
		x -= c.share
	}
	return len(classes) - 1
}

// part is how much of the load an instance gets, beside the first one's 1.
func (l Load) part(i int) float64 { return 1 / (1 + l.Skew*float64(i)) }

// Wait waits until all instances serve.
func (f *Fleet) Wait(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, in := range f.Instances {
		if err := in.healthy(ctx); err != nil {
			return fmt.Errorf("scheduler %s does not come up: %w\n%s", in.Name, err, in.Log)
		}
	}
	return nil
}

// healthy waits until an instance answers as the front asks it to before it takes it in.
func (in *Instance) healthy(ctx context.Context) error {
	for {
		c, err := fastcgi.Dial(ctx, in.Addr)
		if err == nil {
			var r fastcgi.Reply
			r, err = c.Do(ctx, fastcgi.Request{Path: "/health", Budget: time.Second})
			c.Close()
			if err == nil && r.Verdict() == "served" {
				return nil
			}
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// Offer offers load to the instances until the context ends, and tells what became of it.
func (f *Fleet) Offer(ctx context.Context, l Load) Tally {
	var mu sync.Mutex
	var all Tally
	var wg sync.WaitGroup
	total := 0.0
	for i := range f.Instances {
		total += l.part(i)
	}
	for i, in := range f.Instances {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(l.Seed, uint64(i)))
			zipf := rand.NewZipf(rng, 1.3, 4, uint64(l.Functions-1))
			rate := l.Rate * l.part(i) / total
			if in.healthy(ctx) != nil {
				return
			}
			f.front(ctx, in, func(fire func(fastcgi.Request)) {
				start, due := time.Now(), 0.0
				for n := 0; ; n++ {
					due += rng.ExpFloat64() / rate
					if !sleep(ctx, time.Until(start.Add(time.Duration(due*float64(time.Second))))) {
						return
					}
					class := classes[pickClass(rng.Float64())].name
					q := fastcgi.Request{
						Path: "/rpc/" + class, ID: fmt.Sprintf("%04x%012x", i, rng.Uint64()&(1<<48-1)),
						Function: fmt.Sprintf("%016x", zipf.Uint64()+1), OnceKey: fmt.Sprintf("%04x%016x", i, rng.Uint64()),
						Budget: budget, Spec: "memory_mb:512;lanes:4", Body: []byte(in.Name + " asks"),
					}
					if l.Change != nil {
						l.Change(&q)
					}
					fire(q)
				}
			}, func(r fastcgi.Reply, err error, took time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, errNotTaken) {
					all.NotTaken++
					return
				}
				all.Asked++
				if err == nil {
					all.Times = append(all.Times, took)
					if in.hurt.Load() < time.Now().Add(-took-crossing).UnixNano() {
						all.Over = max(all.Over, took-budget)
					}
				}
				switch {
				case err != nil && in.hurt.Load() >= time.Now().Add(-took-crossing).UnixNano():
					all.Hurt++
				case err != nil:
					all.Lost++
				case r.Verdict() == "served":
					all.Served++
				case r.Verdict() == "refused":
					all.Refused++
				default:
					all.Failed++
				}
			})
		})
	}
	wg.Wait()
	return all
}

const (
	budget   = 2 * time.Second       // of a request
	crossing = 50 * time.Millisecond // how soon a request that met a close is sent again, and later on a machine that is late
	patience = 8 * time.Second       // how long after its time an answer is waited for, before it counts as lost
)

var errNotTaken = errors.New("not taken")

// front sends what offer fires to an instance, over as many connections as that takes.
func (f *Fleet) front(ctx context.Context, in *Instance, offer func(func(fastcgi.Request)), told func(fastcgi.Reply, error, time.Duration)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var idle []*fastcgi.Client
	var born int32 // of the process that they lead to
	defer func() {
		wg.Wait()
		for _, c := range idle {
			c.Close()
		}
	}()
	offer(func(q fastcgi.Request) {
		if in.away.Load() {
			told(fastcgi.Reply{}, errNotTaken, 0)
			return
		}
		wg.Go(func() {
			mu.Lock()
			var c *fastcgi.Client
			if now := in.born.Load(); now != born {
				for _, c := range idle {
					c.Close()
				}
				idle, born = nil, now
			}
			if n := len(idle); n > 0 {
				c, idle = idle[n-1], idle[:n-1]
			}
			mu.Unlock()
			// Requests that are under way when the day ends are still answered.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), q.Budget+patience)
			defer cancel()
			var err error
			reused := c != nil
			if c == nil {
				if c, err = fastcgi.Dial(ctx, in.Addr); err != nil {
					told(fastcgi.Reply{}, fmt.Errorf("%w: %w", errNotTaken, err), 0)
					return
				}
			}
			sent := time.Now()
			r, err := c.Do(ctx, q)
			if err != nil && reused && time.Since(sent) < crossing+2*time.Duration(f.late.Load()) && in.hurt.Load() < sent.Add(-time.Second).UnixNano() {
				c.Close() // the scheduler closed it just then: sent again, once, on a new one
				if c, err = fastcgi.Dial(ctx, in.Addr); err != nil {
					told(fastcgi.Reply{}, fmt.Errorf("%w: %w", errNotTaken, err), 0)
					return
				}
				r, err = c.Do(ctx, q)
			}
			if told(r, err, time.Since(sent)); err != nil {
				c.Close()
				return
			}
			mu.Lock()
			idle = append(idle, c)
			mu.Unlock()
		})
	})
}
