// Package pools decides which workers the requests of a route may go to.
//
// A pool is the set of workers whose attributes satisfy a condition; a route is a list of pools in order of preference.
// The live set of a route is its first pool with a healthy worker, together with the pools before it: unhealthy workers
// there are still probed with requests now and then, which shows when they have recovered. The pools after it are the
// fallback where the live set has no capacity.
//
// Core does no I/O and reads no clock: Step is given the events and the current time.
package pools

import (
	"maps"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/routing"
)

const (
	faultExpiry        = 30 * time.Second // how long a worker counts as unhealthy after its last fault
	unhealthyThreshold = 2                // requests without a response after which a worker is unhealthy
	maxFaultRecords    = 4096             // workers whose faults are remembered
)

// Event is an event that a Core is notified of.
type Event interface{ event() }

// EndpointsChanged carries the complete list of workers.
type EndpointsChanged struct{ Workers []Attributes }

// FaultObserved carries the Router's finding about a worker.
type FaultObserved struct {
	Worker string
	Fault  routing.Fault
}

func (EndpointsChanged) event() {}
func (FaultObserved) event()    {}

// pool is a loaded pool and its current members.
type pool struct {
	condition *match.Predicate
	members   map[string]bool // by worker id
}

// route is a loaded route.
type route struct {
	pools []*pool // the preferred first
	// levels are the live set and its fallbacks, one after the other. Each has a healthy worker, except perhaps the
	// first.
	levels []routing.Pool
}

// faultRecord is what is remembered of a worker's faults.
type faultRecord struct {
	count    int
	lastSeen time.Duration
}

// Core keeps the live set of each route. It is not safe for concurrent use.
type Core struct {
	pools   []*pool
	routes  map[string]*route
	serving map[string]bool        // by the id of each listed worker
	faults  map[string]faultRecord // by worker id
}

// Route returns the live set of a route, or nil if the route has no pools. Step updates the set in place: the pointer
// stays the same as long as the Core exists.
func (c *Core) Route(name string) *routing.Pool {
	if r := c.routes[name]; r != nil {
		return &r.levels[0]
	}
	return nil
}

// Len returns the number of routes.
func (c *Core) Len() int { return len(c.routes) }

// Step notifies the Core of the events of one moment and reports whether a live set has changed. Live sets change at no
// other time.
func (c *Core) Step(now time.Duration, events []Event) (changed bool) {
	for _, e := range events {
		switch e := e.(type) {
		case EndpointsChanged:
			c.updateMembers(e.Workers)
		case FaultObserved:
			c.recordFault(now, e)
		}
	}
	c.expireFaults(now)
	for _, r := range c.routes {
		if c.updateLevels(r) {
			changed = true
		}
	}
	return changed
}

// updateMembers takes over a list of workers. A worker for which a pool's condition can't be evaluated is no member.
func (c *Core) updateMembers(workers []Attributes) {
	clear(c.serving)
	for _, w := range workers {
		c.serving[w.ID] = w.State == stateServing
	}
	for _, p := range c.pools {
		clear(p.members)
		for i := range workers {
			if ok, err := p.condition.Holds(&workers[i]); ok && err == nil {
				p.members[workers[i].ID] = true
			}
		}
	}
}

// recordFault counts a fault of a worker. An unreachable worker is unhealthy at once; any finding other than a missing
// response clears the worker's record. Beyond maxFaultRecords, faults are not recorded.
func (c *Core) recordFault(now time.Duration, observed FaultObserved) {
	record := c.faults[observed.Worker]
	switch observed.Fault {
	case routing.Unresponsive:
		record.count++
	case routing.Unreachable:
		record.count = unhealthyThreshold
	default:
		delete(c.faults, observed.Worker)
		return
	}
	record.lastSeen = now
	if len(c.faults) < maxFaultRecords {
		c.faults[observed.Worker] = record
	}
}

// expireFaults forgets faults that are old, and those of workers that are not serving.
func (c *Core) expireFaults(now time.Duration) {
	maps.DeleteFunc(c.faults, func(id string, record faultRecord) bool {
		return now-record.lastSeen >= faultExpiry || !c.serving[id]
	})
}

// isHealthy reports whether a worker is serving and not known to be faulty.
func (c *Core) isHealthy(id string) bool {
	return c.serving[id] && c.faults[id].count < unhealthyThreshold
}

// updateLevels brings a route's levels up to date and reports whether one of them has changed.
func (c *Core) updateLevels(r *route) (changed bool) {
	for i, want := range c.computeLevels(r) {
		level := &r.levels[i]
		var fallback *routing.Pool
		if want.hasFallback && i+1 < len(r.levels) {
			fallback = &r.levels[i+1]
		}
		if maps.Equal(want.workers, level.Workers) && fallback == level.Fallback {
			continue
		}
		level.Workers = want.workers
		level.Fallback = fallback
		changed = true
	}
	return changed
}

// levelSpec is a level as it should be.
type levelSpec struct {
	workers     map[string]bool
	hasFallback bool // the next level is its fallback
}

// computeLevels distributes a route's pools over its levels: each level takes pools in until it has a healthy worker.
func (c *Core) computeLevels(r *route) []levelSpec {
	levels := make([]levelSpec, len(r.levels))
	for i := range levels {
		levels[i].workers = map[string]bool{}
	}
	current := 0
	healthy := false // the current level has a healthy worker
	for _, p := range r.pools {
		if healthy {
			current++
			healthy = false
		}
		for id := range p.members {
			levels[current].workers[id] = true
			healthy = healthy || c.isHealthy(id)
		}
	}
	for i := range current {
		levels[i].hasFallback = i+1 < current || healthy // the last level may have no healthy worker
	}
	return levels
}
