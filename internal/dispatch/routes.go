package dispatch

import (
	"cmp"
	"time"

	"calicohill/internal/rules/pools"
	"calicohill/routing"
)

// poolSeparator separates the function from the route in the function name that is passed to the Router.
const poolSeparator = "\x00"

// routeTable holds the routes that the operators' rules may choose for a call, and keeps their worker pools up to date.
// It belongs to a Dispatcher and is used on the event loop only. Package pools bounds its size.
type routeTable struct {
	core *pools.Core // nil if there are no routes
}

// set replaces the routes; nil means none.
func (t *routeTable) set(core *pools.Core) { t.core = core }

// step passes an event to the routes and reports whether the event changed the workers of a pool.
func (t *routeTable) step(now time.Duration, event pools.Event) (changed bool) {
	return t.core != nil && t.core.Step(now, []pools.Event{event})
}

// placement returns the function name that the Router uses to place a call, and the pool of workers that may serve the
// call. A nil pool means all workers.
func (t *routeTable) placement(call *Call) (function string, pool *routing.Pool) {
	function = cmp.Or(call.Affinity, call.Function)
	if t.core == nil || call.Route == "" {
		return function, nil
	}
	pool = t.core.Route(call.Route)
	if pool == nil {
		return function, nil
	}
	// Include the route, because an instance that is warm in one pool is not warm in another.
	return function + poolSeparator + call.Route, pool
}
