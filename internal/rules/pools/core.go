// Package pools selects the workers that may serve the requests of a route.
//
// A pool is the set of workers whose attributes satisfy a condition. A route is a list of pools in order of preference.
// The live set of a route consists of its first pool with a healthy worker and the pools before that one. The unhealthy
// workers of those pools still receive occasional requests as probes, which detect their recovery. The remaining pools
// are the fallback when the live set has no capacity.
//
// Core does no I/O and reads no clock: the caller passes events and the current time to Step.
package pools

import (
	"maps"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/routing"
)

const (
	faultExpiry        = 30 * time.Second // time after a worker's last fault until it counts as healthy again
	unhealthyThreshold = 2                // number of requests without a response that make a worker unhealthy
	maxFaultRecords    = 4096             // maximum number of workers with recorded faults
)

// Event is an input of Core.Step: EndpointsChanged or FaultObserved.
type Event interface{ event() }

// EndpointsChanged contains the complete list of workers.
type EndpointsChanged struct{ Workers []Attributes }

// FaultObserved contains a health finding of the Router about a worker.
type FaultObserved struct {
	Worker string
	Fault  routing.Fault
}

func (EndpointsChanged) event() {}
func (FaultObserved) event()    {}

// pool is a compiled pool and its current members.
type pool struct {
	condition *match.Predicate
	members   map[string]bool // by worker id
}

// route is a route with its pools and live set.
type route struct {
	pools []*pool // in order of preference
	// levels contains the live set followed by its fallbacks. A fallback has a healthy worker.
	levels []routing.Pool
}

// faultRecord counts the recent faults of a worker.
type faultRecord struct {
	count    int
	lastSeen time.Duration
}

// Core maintains the live set of each route. It is not safe for concurrent use.
type Core struct {
	pools   []*pool
	routes  map[string]*route
	serving map[string]bool        // by worker id, for all listed workers
	faults  map[string]faultRecord // by worker id
}

// Route returns the live set of a route, or nil if the route has no pools. Step updates the set in place; the pointer
// stays valid for the lifetime of the Core.
func (c *Core) Route(name string) *routing.Pool {
	if r := c.routes[name]; r != nil {
		return &r.levels[0]
	}
	return nil
}

// Len returns the number of routes.
func (c *Core) Len() int { return len(c.routes) }

// Step processes events at time now and reports whether a live set has changed. Live sets change only in Step.
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

// updateMembers recomputes the members of all pools from a list of workers. A worker is not a member of a pool whose
// condition fails to evaluate for it.
func (c *Core) updateMembers(workers []Attributes) {
	clear(c.serving)
	for _, w := range workers {
		c.serving[w.ID] = w.State == stateServing
	}
	for _, p := range c.pools {
		clear(p.members)
		for i := range workers {
			if ok, err := p.condition.Evaluate(&workers[i]); ok && err == nil {
				p.members[workers[i].ID] = true
			}
		}
	}
}

// recordFault updates the fault record of a worker. A missing response adds one fault, and an unreachable worker is
// unhealthy immediately; any other finding deletes the record. Faults are not recorded when there are maxFaultRecords
// records.
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

// expireFaults deletes records older than faultExpiry and those of workers that are not serving.
func (c *Core) expireFaults(now time.Duration) {
	maps.DeleteFunc(c.faults, func(id string, record faultRecord) bool {
		return now-record.lastSeen >= faultExpiry || !c.serving[id]
	})
}

// isHealthy reports whether a worker is serving and has fewer than unhealthyThreshold recorded faults.
func (c *Core) isHealthy(id string) bool {
	return c.serving[id] && c.faults[id].count < unhealthyThreshold
}

// updateLevels updates the levels of a route and reports whether one of them has changed.
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

// levelSpec is the desired state of a level.
type levelSpec struct {
	workers     map[string]bool
	hasFallback bool // the next level is its fallback
}

// computeLevels distributes the pools of a route over its levels. Pools are added to a level until it has a healthy
// worker.
func (c *Core) computeLevels(r *route) []levelSpec {
	levels := make([]levelSpec, len(r.levels))
	for i := range levels {
		levels[i].workers = map[string]bool{}
	}
	current := 0
	healthy := false // whether the current level has a healthy worker
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
		levels[i].hasFallback = i+1 < current || healthy // the last level is a fallback only if it has a healthy worker
	}
	return levels
}
