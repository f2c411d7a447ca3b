package scenario

import (
	"cmp"
	"maps"
	"slices"
)

// coldStartScripts maps names to the scripts of cold starts.
var coldStartScripts = map[string]string{
	"healthy":               "0s known full\n0s start 1\n8s publish",
	"empty_list":            "0s known empty\n0s start 1\n8s publish",
	"stale_list":            "0s drain 0.2\n0s known stale\n0s start 1\n8s publish",
	"connection_refused":    "0s known full\n0s list refusing\n0s start 1\n10s list healthy",
	"overloaded":            "0s known full\n0s list overloaded\n0s start 1\n10s list healthy",
	"rate_limited":          "0s drain 0.2\n0s known stale\n0s list rate_limited 0.1\n0s start 1",
	"unresponsive_list":     "0s known full\n0s start 1\n5s list unresponsive\n19s list healthy",
	"disconnected":          "0s known full\n0s start 1\n6s disconnect\n12s disconnect",
	"truncated":             "0s known full\n0s start 1\n5s list truncating\n5s drain 0.1\n9s list healthy",
	"rolling_restart":       "0s known full\n0s start 1\n5s replace 0.2\n5s rolling_restart 0.1 1s\n16s publish",
	"thundering_herd":       "0s known full\n0s start 1\n6s kill 0.7\n7s start 1",
	"unresponsive_workers":  "0s known full\n0s start 1\n6s workers unresponsive 0.2\n6s kill 0.7\n7s start 1\n12s workers healthy 0.2",
	"partitioned_workers":   "0s known full\n0s start 1\n6s link partitioned 1 0.2\n6s kill 0.7\n7s start 1\n12s link healthy 1 0.2",
	"warming_workers":       "0s restart_workers 1\n0s known full\n0s start 1",
	"partitioned":           "0s known full\n0s start 1\n6s link partitioned 0.3 1\n9s link healthy 0.3 1",
	"simultaneous_restart":  "0s known full\n0s start 1\n6s restart_workers 0.4\n6s kill 0.4\n7s start 1",
	"stalled_store":         "0s known full\n0s start 1\n6s restart_workers 0.2\n6s stall_store 4s\n6s kill 0.7\n7s start 1",
	"partitioned_gossip":    "0s known full\n0s start 1\n4s gossip lossy 0.3\n6s gossip partitioned 0.3\n6s workers unresponsive 0.2\n12s gossip healthy 1\n14s workers healthy 0.2",
	"paused_schedulers":     "0s known full\n0s start 1\n6s stop 0.5\n11s cont 0.5",
	"slow_workers_and_list": "0s known full\n0s start 1\n5s workers slow 0.3\n5s list rate_limited 0.2\n6s drain 0.1\n12s workers healthy 0.3",
}

// nameAliases maps deprecated names of scripts to the current ones. ColdStartNames omits them.
var nameAliases = map[string]string{
	"well":    "healthy",
	"empty":   "empty_list",
	"old":     "stale_list",
	"refused": "connection_refused",
	"busy":    "overloaded",
	"crowded": "rate_limited",
	"silent":  "unresponsive_list",
	"broken":  "disconnected",
	"torn":    "truncated",
	"roll":    "rolling_restart",
	"herd":    "thundering_herd",
	"mute":    "unresponsive_workers",
	"cut":     "partitioned_workers",
	"cold":    "warming_workers",
	"zone":    "partitioned",
	"reborn":  "simultaneous_restart",
	"jammed":  "stalled_store",
	"split":   "partitioned_gossip",
	"stopped": "paused_schedulers",
	"slow":    "slow_workers_and_list",
}

// ColdStartNames returns the names of the scripts of cold starts in alphabetical order.
func ColdStartNames() []string { return slices.Sorted(maps.Keys(coldStartScripts)) }

// ColdStartScript returns the script with the given current or deprecated name, and whether it exists.
func ColdStartScript(name string) (script string, ok bool) {
	script, ok = coldStartScripts[cmp.Or(nameAliases[name], name)]
	return script, ok
}
