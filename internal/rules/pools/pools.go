// Package pools decides which workers the requests of a route may go to.
//
// A pool is the workers of which a condition on their entry in the list holds; a route is pools in the order in which
// they are preferred. The live set of a route is its first pool that has somebody usable, and whoever belongs to those
// before it: workers there that seem ill are still tried now and then, and show so that they are well again. The pools
// after that stand in where it has no room. Core does no I/O: Step is told what happened and what time it is.
package pools

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/routing"
)

// Attributes is what a condition sees of a worker.
type Attributes struct {
	ID    string `expr:"id"`
	Model string `expr:"model"`
	Zone  string `expr:"zone"`
	Group int    `expr:"group"`
	State string `expr:"state"`
}

// Schema is the fields of Attributes.
var Schema = []match.Field{
	{Name: "id", Type: "text", Most: 64, Help: "the worker's id in the list"},
	{Name: "model", Type: "text", Most: 64, Help: "its model"},
	{Name: "zone", Type: "text", Most: 64, Help: "its zone"},
	{Name: "group", Type: "number", Help: "its pod group"},
	{Name: "state", Type: "text", Most: 16, Help: "serving or draining"},
}

// Pool is a pool as it is written.
type Pool struct {
	match.Place
	Name    string
	Workers match.Text // condition
}

// Route is a route as it is written.
type Route struct {
	match.Place
	Name  string
	Pools []match.Text // names, the preferred first
}

const (
	illFor   = 30 * time.Second // how long a worker that seems ill counts as such without a word of it
	proofs   = 2                // requests without an answer that make it seem so
	maxIll   = 4096
	maxPools = 256
)

// Event is something that a Core is told.
type Event interface{ event() }

// EndpointsChanged is the list of workers, whole.
type EndpointsChanged struct{ Workers []Attributes }

// FaultObserved is what the Router finds of a worker.
type FaultObserved struct {
	Worker string
	Fault  routing.Fault
}

func (EndpointsChanged) event() {}
func (FaultObserved) event()    {}

type pool struct {
	holds   *match.Predicate
	members map[string]bool
}

type route struct {
	pools []*pool
	// levels are sets of workers, each with somebody usable but perhaps the first; each stands in for the one before.
	levels []routing.Pool
}

type illness struct {
	seen int
	at   time.Duration
}

// Core keeps the live set of each route. It is not safe for concurrent use.
type Core struct {
	pools  []*pool
	routes map[string]*route
	ready  map[string]bool // of the workers that are listed
	ill    map[string]illness
}

// Load loads pools and routes, or tells everything that is wrong with them.
func Load(defs []Pool, routes []Route) (*Core, []match.Fault) {
	c := &Core{routes: map[string]*route{}, ready: map[string]bool{}, ill: map[string]illness{}}
	var faults []match.Fault
	fault := func(at match.Place, directive, format string, args ...any) {
		faults = append(faults, match.Fault{Place: at, Directive: directive, Reason: fmt.Sprintf(format, args...)})
	}
	if len(defs) > maxPools {
		fault(defs[maxPools].Place, "pool", "%d pools are over %d", len(defs), maxPools)
		return nil, faults
	}
	byName := map[string]*pool{}
	for _, d := range defs {
		p := &pool{members: map[string]bool{}}
		var refusal *match.Refusal
		if p.holds, refusal = match.NewPredicate(Schema, &Attributes{}, d.Workers.Source); refusal != nil {
			at := d.Workers.Place
			at.Column += refusal.At
			fault(at, "workers", "%s", refusal.Reason)
		}
		byName[d.Name] = p
		c.pools = append(c.pools, p)
	}
	for _, d := range routes {
		r := &route{levels: make([]routing.Pool, max(1, len(d.Pools)))}
		for _, name := range d.Pools {
			p := byName[name.Source]
			if p == nil {
				fault(name.Place, "pool", "no pool %q is defined", name.Source)
			} else if i := slices.Index(r.pools, p); i >= 0 {
				fault(name.Place, "pool", "%q is pool %d of route %s already", name.Source, i+1, d.Name)
			}
			r.pools = append(r.pools, p)
		}
		c.routes[d.Name] = r
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// Route is the live set of a route, one and the same as long as the Core is; nil where no pools are named for it.
func (c *Core) Route(name string) *routing.Pool {
	if r := c.routes[name]; r != nil {
		return &r.levels[0]
	}
	return nil
}

// Len is the number of routes.
func (c *Core) Len() int { return len(c.routes) }

// Step tells the Core what happened at one moment and reports whether some live set has changed. Live sets change at
// no other time.
func (c *Core) Step(now time.Duration, events []Event) (changed bool) {
	for _, e := range events {
		switch e := e.(type) {
		case EndpointsChanged:
			c.list(e.Workers)
		case FaultObserved:
			c.saw(now, e)
		}
	}
	maps.DeleteFunc(c.ill, func(id string, i illness) bool { return now-i.at >= illFor || !c.ready[id] })
	for _, r := range c.routes {
		for i, live := range c.live(r) {
			level, next := &r.levels[i], (*routing.Pool)(nil)
			if i+1 < len(r.levels) && live.next {
				next = &r.levels[i+1]
			}
			if !maps.Equal(live.workers, level.Workers) || next != level.Fallback {
				level.Workers, level.Fallback, changed = live.workers, next, true
			}
		}
	}
	return changed
}

func (c *Core) list(workers []Attributes) {
	clear(c.ready)
	for _, w := range workers {
		c.ready[w.ID] = w.State == stateServing
	}
	for _, p := range c.pools {
		clear(p.members)
		for i := range workers {
			if ok, err := p.holds.Holds(&workers[i]); ok && err == nil {
				p.members[workers[i].ID] = true
			}
		}
	}
}

func (c *Core) saw(now time.Duration, e FaultObserved) {
	switch e.Fault {
	case routing.Unresponsive, routing.Unreachable:
		i := c.ill[e.Worker]
		if i.seen++; e.Fault == routing.Unreachable {
			i.seen = proofs
		}
		if i.at = now; len(c.ill) < maxIll {
			c.ill[e.Worker] = i
		}
	default:
		delete(c.ill, e.Worker)
	}
}

// usable reports whether a worker serves and does not seem ill.
func (c *Core) usable(id string) bool { return c.ready[id] && c.ill[id].seen < proofs }

// set is a level as it should be.
type set struct {
	workers map[string]bool
	next    bool // another stands in for it
}

// live works out a route's levels: each takes in pools until it has somebody usable.
func (c *Core) live(r *route) []set {
	levels, n, some := make([]set, len(r.levels)), 0, false
	for i := range levels {
		levels[i].workers = map[string]bool{}
	}
	for _, p := range r.pools {
		if some {
			n, some = n+1, false
		}
		for id := range p.members {
			levels[n].workers[id] = true
			some = some || c.usable(id)
		}
	}
	for i := range n {
		levels[i].next = i+1 < n || some // the last one may have nobody usable
	}
	return levels
}

const stateServing, stateDraining = "serving", "draining"

// StateName is a worker's state as conditions read it.
func StateName(s routing.WorkerState) string {
	if s == routing.Ready {
		return stateServing
	}
	return stateDraining
}
