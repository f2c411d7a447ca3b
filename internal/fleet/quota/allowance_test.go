package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// player is a member in true time: what it has in use lasts for HoldTime by its own clock, also after it was killed.
type simulatedMember struct {
	*Core
	epoch   int64
	clock   time.Duration
	rate    float64
	stopped bool
	inUse   []time.Duration // when each unit in use is free again, by its clock
}

// Whatever happens, all together have no more in use than the whole, and those who hear nothing have their part back.
func TestWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "members")
		whole := rapid.Int64Range(0, 60).Draw(t, "whole")
		drift := rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(t, "drift")
		hold := time.Duration(rapid.IntRange(0, 4).Draw(t, "hold")) * time.Second
		const lease = 4 * time.Second
		var all []*simulatedMember
		var pool []StatementReceived
		fresh := func(p *simulatedMember, i int) {
			c, err := New(Config{
				Self: fmt.Sprint("n", i), Epoch: p.epoch, FleetSize: n, Budgets: []Budget{{"b", whole, hold}}, LeaseDuration: lease,
				MaxClockDrift: drift,
			})
			if err != nil {
				t.Fatal(err)
			}
			p.Core = c
		}
		step := func(p *simulatedMember, events ...Event) {
			for _, a := range p.Step(p.clock, events) {
				if s, ok := a.(Broadcast); ok {
					pool = append(pool, StatementReceived{p.config.Self, p.epoch, s.Statement})
				}
			}
		}
		pass := func(d time.Duration) {
			for _, p := range all {
				if p.clock += time.Duration(float64(d) * p.rate); !p.stopped {
					step(p)
				}
				for len(p.inUse) > 0 && p.inUse[0] <= p.clock { // whoever has more in use than it may gives none back sooner
					p.inUse = p.inUse[1:]
				}
			}
		}
		for i := range n {
			p := &simulatedMember{epoch: 1, rate: 1 + drift*rapid.Float64Range(-1, 1).Draw(t, "rate")}
			fresh(p, i)
			all = append(all, p)
			step(p)
		}
		pass(time.Minute)
		member := func(t *rapid.T) (int, *simulatedMember) {
			i := rapid.IntRange(0, n-1).Draw(t, "member")
			return i, all[i]
		}
		running := func(t *rapid.T) *simulatedMember {
			_, p := member(t)
			if p.stopped {
				t.Skip("stopped")
			}
			return p
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"need": func(t *rapid.T) {
				p := running(t)
				step(p, DemandChanged{"b", max(rapid.SampledFrom([]int64{0, whole}).Draw(t, "units"), int64(len(p.inUse)))})
			},
			"hear": func(t *rapid.T) {
				p := running(t)
				if len(pool) == 0 {
					t.Skip("nothing said")
				}
				for _, m := range pool[max(0, len(pool)-10):] {
					if rapid.Bool().Draw(t, "arrives") {
						step(p, m)
					}
				}
			},
			"stop": func(t *rapid.T) {
				_, p := member(t)
				p.stopped = !p.stopped
			},
			"restart": func(t *rapid.T) {
				i, p := member(t)
				p.epoch++
				p.stopped = false
				fresh(p, i)
				step(p)
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, p := range all {
					if !p.stopped { // it asks its books first, and takes what it needs and they allow
						step(p)
						for int64(len(p.inUse)) < min(p.usableUnits(p.budgets[0]), p.budgets[0].demand) {
							p.inUse = append(p.inUse, p.clock+hold)
						}
					}
					sum += len(p.inUse)
				}
				if int64(sum) > whole {
					t.Fatalf("%d of %d in use", sum, whole)
				}
			},
		})
		for _, p := range all {
			p.stopped = false
			step(p, DemandChanged{"b", 0})
		}
		pass(10 * time.Minute)
		for _, p := range all {
			if got := p.usableUnits(p.budgets[0]); got != whole/int64(n) {
				t.Fatalf("%s has %d of its part %d after ten minutes of silence", p.config.Self, got, whole/int64(n))
			}
		}
	})
}

// One that lacks gets what others spare, and again before it lapses; one that lends more than it owns is not believed.
func TestLends(t *testing.T) {
	now := time.Minute
	var all []*Core
	for i := range 4 {
		c, err := New(Config{Self: fmt.Sprint("n", i), Epoch: 1, FleetSize: 4, Budgets: []Budget{{"b", 40, 0}}, LeaseDuration: 4 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		c.Step(0, nil)
		c.Step(now, nil)
		all = append(all, c)
	}
	// Everything that is said arrives at once, in turn.
	say := func(c *Core, events ...Event) {
		type saying struct {
			from *Core
			acts []Action
		}
		for queue := []saying{{c, c.Step(now, events)}}; len(queue) > 0; queue = queue[1:] {
			for _, a := range queue[0].acts {
				for _, o := range all {
					if s, ok := a.(Broadcast); ok && o != queue[0].from {
						queue = append(queue, saying{o, o.Step(now, []Event{StatementReceived{queue[0].from.config.Self, 1, s.Statement}})})
					}
				}
			}
		}
	}
	say(all[0], DemandChanged{"b", 22})
	least := int64(40)
	for range 100 {
		now += 100 * time.Millisecond
		for _, c := range all {
			say(c)
		}
		least = min(least, all[0].usableUnits(all[0].budgets[0]))
	}
	if least < 22 {
		t.Errorf("%d units at some moment, 22 are wanted and 30 to be had", least)
	}
	for from, loans := range map[string][]int64{"n3": {30}, "n2": {math.MaxInt64, math.MaxInt64}, "n1": {1, math.MaxInt64}} {
		lie := StatementReceived{from, 1, Statement{FleetSize: 4}}
		for _, n := range loans {
			lie.Leases = append(lie.Leases, Lease{"b", "n0", 1, all[0].requestNumber, n})
		}
		before := all[0].usableUnits(all[0].budgets[0])
		acts := all[0].Step(now, []Event{lie})
		if after := all[0].usableUnits(all[0].budgets[0]); len(acts) == 0 || acts[0] != (OverlendingDetected{from}) || after > before {
			t.Errorf("%v for loans of %v, %d units and %d before", acts, loans, after, before)
		}
	}
}

// Asking the books costs nothing that is seen beside a call.
func BenchmarkUsable(b *testing.B) {
	c, err := New(Config{Self: "n0", Epoch: 1, FleetSize: 300, Budgets: []Budget{{"b", 3000, time.Second}}, LeaseDuration: 4 * time.Second})
	if err != nil {
		b.Fatal(err)
	}
	c.Step(time.Minute, nil)
	b.ReportAllocs()
	for b.Loop() {
		if c.usableUnits(c.budgets[0]) != 0 {
			b.Fatal("a new start has all")
		}
	}
}
