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
type world struct {
	members []*Core
	clock   []time.Duration
	rate    []time.Duration
	stopped []bool
	pool    []said // that may yet arrive, however often and in whatever order
	course  []string
}

type said struct {
	from int
	Heard
}

const (
	third = 1.0 / 3
	units = 6
	asks  = 4 // of a member that needs any
)

func (w *world) config(i int, epoch int64) Config {
	return Config{
		Self: fmt.Sprint("n", i), Epoch: epoch, Members: 3, Budgets: []Budget{{"b", units, 0}}, Lease: 6 * time.Second,
		Drift: third,
	}
}

func newWorld(rates ...time.Duration) *world {
	w := &world{rate: rates, clock: make([]time.Duration, 3), stopped: make([]bool, 3)}
	for i := range 3 {
		c, err := New(w.config(i, 1))
		if err != nil {
			panic(err)
		}
		w.members = append(w.members, c)
		w.step(i)
		w.clock[i] += time.Hour
		w.step(i)
	}
	w.pool = nil
	return w
}

// step steps a member and puts what it says into the pool.
func (w *world) step(i int, events ...Event) {
	for _, a := range w.members[i].Step(w.clock[i], events) {
		if s, ok := a.(Say); ok && len(s.Wants)+len(s.Loans) > 0 {
			s.Wants, s.Loans = slices.Clone(s.Wants), slices.Clone(s.Loans)
			w.pool = append(w.pool, said{i, Heard{w.members[i].cfg.Self, w.members[i].cfg.Epoch, s.Statement}})
		}
	}
}

func (w *world) clone() *world {
	n := &world{
		clock: slices.Clone(w.clock), rate: w.rate, stopped: slices.Clone(w.stopped), pool: slices.Clone(w.pool),
		course: slices.Clone(w.course),
	}
	for _, c := range w.members {
		d := *c
		d.asked, d.liars, d.budgets = slices.Clone(c.asked), maps.Clone(c.liars), nil
		for _, b := range c.budgets {
			e := *b
			e.lent, e.borrowed, e.served = slices.Clone(b.lent), slices.Clone(b.borrowed), maps.Clone(b.served)
			d.budgets = append(d.budgets, &e)
		}
		n.members = append(n.members, &d)
	}
	return n
}

// key names a state, with times as they are seen from its clocks.
func (w *world) key() string {
	var s strings.Builder
	for i, c := range w.members {
		b, now := c.budgets[0], w.clock[i]
		fmt.Fprint(&s, w.stopped[i], c.cfg.Epoch, min(now-c.born, time.Minute), b.need, b.allowed, b.wants, b.number, b.next-now, c.number, c.from, "|")
		for _, at := range c.asked {
			fmt.Fprint(&s, now-at, ",")
		}
		for _, l := range b.lent {
			fmt.Fprint(&s, l.Loan, l.till-now, ";")
		}
		for _, l := range b.borrowed {
			fmt.Fprint(&s, l.from, l.epoch, l.want, l.units, l.till-now, ";")
		}
		fmt.Fprint(&s, b.served, "/")
	}
	pool := make([]string, 0, len(w.pool))
	for _, m := range w.pool {
		pool = append(pool, fmt.Sprint(m.from, m.Epoch, m.Wants, m.Loans))
	}
	slices.Sort(pool)
	fmt.Fprint(&s, slices.Compact(pool))
	return s.String()
}

// used is what all members that run may have in use at this moment, if each asks its books as it has to.
func (w *world) used() (n int64) {
	for i, c := range w.members {
		if !w.stopped[i] {
			n += c.usable(c.budgets[0])
		}
	}
	return n
}

// next is every world that one event leads to.
func (w *world) next() (list []*world) {
	add := func(what string, do func(*world)) {
		n := w.clone()
		do(n)
		n.course = append(n.course, what)
		list = append(list, n)
	}
	add("tick", func(n *world) {
		for i := range n.members {
			if n.clock[i] += n.rate[i]; !n.stopped[i] {
				n.step(i)
			}
		}
	})
	for i, c := range w.members {
		name := c.cfg.Self
		if w.stopped[i] {
			add(name+" goes on", func(n *world) { n.stopped[i] = false; n.step(i) })
			continue
		}
		if c.budgets[0].need == 0 {
			add(name+" needs", func(n *world) { n.step(i, Needs{"b", asks}) })
		} else {
			add(name+" needs nothing", func(n *world) { n.step(i, Needs{"b", 0}) })
		}
		add(name+" stops", func(n *world) { n.stopped[i] = true })
		add(name+" starts anew", func(n *world) {
			fresh, err := New(n.config(i, c.cfg.Epoch+1))
			if err != nil {
				panic(err)
			}
			n.members[i] = fresh
			n.step(i)
		})
		for k, m := range w.pool {
			if m.from != i && !slices.ContainsFunc(w.pool[:k], func(o said) bool {
				return o.from == m.from && o.Epoch == m.Epoch && same(o.Statement, m.Statement)
			}) {
				add(fmt.Sprint(name, " hears ", m.From, m.Wants, m.Loans), func(n *world) { n.step(i, m.Heard) })
			}
		}
	}
	return list
}

// explore looks at every state that so many events lead to, and returns the first course that breaks the budget.
func explore(depth int, rates ...time.Duration) (course []string, states int) {
	seen := map[string]bool{}
	front := []*world{newWorld(rates...)}
	for range depth {
		var next []*world
		for _, w := range front {
			for _, n := range w.next() {
				if k := n.key(); !seen[k] {
					seen[k] = true
					if n.used() > units {
						return n.course, len(seen)
					}
					next = append(next, n)
				}
			}
		}
		front = next
	}
	return nil, len(seen)
}

const slow, even, fast = 2 * time.Second, 3 * time.Second, 4 * time.Second

var rates = [][]time.Duration{{slow, fast, fast}, {fast, slow, slow}, {slow, slow, fast}, {even, even, even}}

// Whatever order of events, no course of a few breaks the budget; what was told of clocks is used up in all of them.
func TestEveryCourse(t *testing.T) {
	for _, r := range rates {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			course, states := explore(depth, r...)
			if course != nil {
				t.Errorf("over the whole after:\n%s", strings.Join(course, "\n"))
			}
			t.Logf("%d states in %v", states, time.Since(began).Round(time.Millisecond))
		})
	}
}
