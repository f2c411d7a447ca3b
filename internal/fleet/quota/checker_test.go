package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// world is three members of whom all may have six units in use, in every state that some course of events leads to. True
// time goes by in ticks; a clock that is slow moves on by 2 s in one, a fast one by 4 s, which is as told: Drift is a third.
type fleetState struct {
	members    []*Core
	clocks     []time.Duration
	clockRates []time.Duration
	stopped    []bool
	inTransit  []sentStatement // that may yet arrive, however often and in whatever order
	history    []string
}

type sentStatement struct {
	from int
	StatementReceived
}

const (
	third         = 1.0 / 3
	totalUnits    = 6
	demandedUnits = 4 // of a member that needs any
)

func (w *fleetState) config(i int, epoch int64) Config {
	return Config{
		Self: fmt.Sprint("n", i), Epoch: epoch, FleetSize: 3, Budgets: []Budget{{"b", totalUnits, 0}}, LeaseDuration: 6 * time.Second,
		MaxClockDrift: third,
	}
}

func newFleetState(rates ...time.Duration) *fleetState {
	w := &fleetState{clockRates: rates, clocks: make([]time.Duration, 3), stopped: make([]bool, 3)}
	for i := range 3 {
		c, err := New(w.config(i, 1))
		if err != nil {
			panic(err)
		}
		w.members = append(w.members, c)
		w.step(i)
		w.clocks[i] += time.Hour
		w.step(i)
	}
	w.inTransit = nil
	return w
}

// step steps a member and puts what it says into the pool.
func (w *fleetState) step(i int, events ...Event) {
	for _, a := range w.members[i].Step(w.clocks[i], events) {
		if s, ok := a.(Broadcast); ok && len(s.Requests)+len(s.Leases) > 0 {
			s.Requests, s.Leases = slices.Clone(s.Requests), slices.Clone(s.Leases)
			w.inTransit = append(w.inTransit, sentStatement{i, StatementReceived{w.members[i].config.Self, w.members[i].config.Epoch, s.Statement}})
		}
	}
}

func (w *fleetState) clone() *fleetState {
	n := &fleetState{
		clocks: slices.Clone(w.clocks), clockRates: w.clockRates, stopped: slices.Clone(w.stopped), inTransit: slices.Clone(w.inTransit),
		history: slices.Clone(w.history),
	}
	for _, c := range w.members {
		d := *c
		d.requestTimes, d.distrusted, d.budgets = slices.Clone(c.requestTimes), maps.Clone(c.distrusted), nil
		for _, b := range c.budgets {
			e := *b
			e.granted, e.borrowed, e.answered = slices.Clone(b.granted), slices.Clone(b.borrowed), maps.Clone(b.answered)
			d.budgets = append(d.budgets, &e)
		}
		n.members = append(n.members, &d)
	}
	return n
}

// key names a state, with times as they are seen from its clocks.
func (w *fleetState) key() string {
	var s strings.Builder
	for i, c := range w.members {
		b, now := c.budgets[0], w.clocks[i]
		fmt.Fprint(&s, w.stopped[i], c.config.Epoch, min(now-c.startedAt, time.Minute), b.demand, b.limit, b.requestedUnits, b.requestNumber, b.nextRequestAt-now, c.requestNumber, c.firstRequestNumber, "|")
		for _, at := range c.requestTimes {
			fmt.Fprint(&s, now-at, ",")
		}
		for _, l := range b.granted {
			fmt.Fprint(&s, l.Lease, l.expiresAt-now, ";")
		}
		for _, l := range b.borrowed {
			fmt.Fprint(&s, l.lender, l.lenderEpoch, l.request, l.units, l.expiresAt-now, ";")
		}
		fmt.Fprint(&s, b.answered, "/")
	}
	pool := make([]string, 0, len(w.inTransit))
	for _, m := range w.inTransit {
		pool = append(pool, fmt.Sprint(m.from, m.Epoch, m.Requests, m.Leases))
	}
	slices.Sort(pool)
	fmt.Fprint(&s, slices.Compact(pool))
	return s.String()
}

// used is what all members that run may have in use at this moment, if each asks its books as it has to.
func (w *fleetState) usableUnits() (n int64) {
	for i, c := range w.members {
		if !w.stopped[i] {
			n += c.usableUnits(c.budgets[0])
		}
	}
	return n
}

// next is every world that one event leads to.
func (w *fleetState) successors() (list []*fleetState) {
	add := func(what string, do func(*fleetState)) {
		n := w.clone()
		do(n)
		n.history = append(n.history, what)
		list = append(list, n)
	}
	add("tick", func(n *fleetState) {
		for i := range n.members {
			if n.clocks[i] += n.clockRates[i]; !n.stopped[i] {
				n.step(i)
			}
		}
	})
	for i, c := range w.members {
		name := c.config.Self
		if w.stopped[i] {
			add(name+" goes on", func(n *fleetState) { n.stopped[i] = false; n.step(i) })
			continue
		}
		if c.budgets[0].demand == 0 {
			add(name+" needs", func(n *fleetState) { n.step(i, DemandChanged{"b", demandedUnits}) })
		} else {
			add(name+" needs nothing", func(n *fleetState) { n.step(i, DemandChanged{"b", 0}) })
		}
		add(name+" stops", func(n *fleetState) { n.stopped[i] = true })
		add(name+" starts anew", func(n *fleetState) {
			fresh, err := New(n.config(i, c.config.Epoch+1))
			if err != nil {
				panic(err)
			}
			n.members[i] = fresh
			n.step(i)
		})
		for k, m := range w.inTransit {
			if m.from != i && !slices.ContainsFunc(w.inTransit[:k], func(o sentStatement) bool {
				return o.from == m.from && o.Epoch == m.Epoch && equalStatements(o.Statement, m.Statement)
			}) {
				add(fmt.Sprint(name, " hears ", m.From, m.Requests, m.Leases), func(n *fleetState) { n.step(i, m.StatementReceived) })
			}
		}
	}
	return list
}

// explore looks at every state that so many events lead to, and returns the first course that breaks the budget.
func explore(depth int, rates ...time.Duration) (course []string, states int) {
	seen := map[string]bool{}
	front := []*fleetState{newFleetState(rates...)}
	for range depth {
		var next []*fleetState
		for _, w := range front {
			for _, n := range w.successors() {
				if k := n.key(); !seen[k] {
					seen[k] = true
					if n.usableUnits() > totalUnits {
						return n.history, len(seen)
					}
					next = append(next, n)
				}
			}
		}
		front = next
	}
	return nil, len(seen)
}

const slow, exact, fast = 2 * time.Second, 3 * time.Second, 4 * time.Second

var clockRateSets = [][]time.Duration{{slow, fast, fast}, {fast, slow, slow}, {slow, slow, fast}, {exact, exact, exact}}

// Whatever order of events, no course of a few breaks the budget; what was told of clocks is used up in all of them.
func TestEveryCourse(t *testing.T) {
	for _, r := range clockRateSets {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			course, states := explore(maxDepth, r...)
			if course != nil {
				t.Errorf("over the whole after:\n%s", strings.Join(course, "\n"))
			}
			t.Logf("%d states in %v", states, time.Since(began).Round(time.Millisecond))
		})
	}
}
