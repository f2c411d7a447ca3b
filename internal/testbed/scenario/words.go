package scenario

import (
	"cmp"
	"slices"
	"time"

	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

// listFaults is the faults of the list service by their names in scenarios.
var listFaults = map[string]standin.ListFault{
	"healthy":      standin.ListHealthy,
	"refusing":     standin.ListRefusing,
	"unresponsive": standin.ListUnresponsive,
	"overloaded":   standin.ListOverloaded,
	"truncating":   standin.ListTruncating,
	"rate_limited": standin.ListRateLimited,
}

// knownEvents is the events that schedulers may be configured with by their names in scenarios.
var knownEvents = map[string]process.InitialEvents{
	"full":  process.InitialEventsAll,
	"stale": process.InitialEventsFirst,
	"empty": process.InitialEventsNone,
}

// workerFaults is the faults of workers by their names in scenarios.
var workerFaults = map[string]standin.WorkerFault{
	"healthy":      standin.WorkerHealthy,
	"unresponsive": standin.WorkerUnresponsive,
	"slow":         standin.WorkerSlow,
	"failing":      standin.WorkerFailing,
	"refusing":     standin.WorkerRefusing,
}

// linkConditions is the conditions of links by their names in scenarios.
var linkConditions = map[string]fault.LinkCondition{
	"healthy":              {},
	"partitioned":          {CutForward: true, CutBackward: true},
	"partitioned_forward":  {CutForward: true},
	"partitioned_backward": {CutBackward: true},
	"lossy":                {Loss: 0.33, Duplicate: 0.1, Jitter: 50 * time.Millisecond},
	"hang":                 {Hang: true},
	"throttled":            {BytesPerSecond: 4000},
	"high_latency":         {Delay: 100 * time.Millisecond, Jitter: 100 * time.Millisecond},
}

const (
	// connectionReset is the condition that resets a link's connections once.
	connectionReset = "connection_reset"
	// warmingUp is the argument of replace for new workers that are warming up.
	warmingUp = "warming_up"
)

// verbAliases has earlier names of verbs, which are still accepted.
var verbAliases = map[string]string{
	"roll":  "rolling_restart",
	"break": "disconnect",
	"tell":  "publish",
	"boot":  "restart_workers",
	"jam":   "stall_store",
	"talk":  "gossip",
}

// linkAliases has earlier names of the conditions of links.
var linkAliases = map[string]string{
	"whole":     "healthy",
	"cut":       "partitioned",
	"cut-there": "partitioned_forward",
	"cut-back":  "partitioned_backward",
	"slow":      "throttled",
	"far":       "high_latency",
	"reset":     connectionReset,
}

// argumentAliases has earlier names of the arguments of verbs, which are still accepted.
var argumentAliases = map[string]map[string]string{
	"list": {
		"well":    "healthy",
		"refuse":  "refusing",
		"silent":  "unresponsive",
		"busy":    "overloaded",
		"torn":    "truncating",
		"crowded": "rate_limited",
	},
	"workers": {
		"sound":   "healthy",
		"mute":    "unresponsive",
		"stalls":  "slow",
		"fails":   "failing",
		"refuses": "refusing",
	},
	"known":   {"old": "stale"},
	"replace": {"cold": warmingUp},
	"link":    linkAliases,
	"gossip":  linkAliases,
}

// canonical returns the step with the present name in place of each earlier one.
func (s Step) canonical() Step {
	s.Verb = cmp.Or(verbAliases[s.Verb], s.Verb)
	s.Args = slices.Clone(s.Args)
	for i, argument := range s.Args {
		s.Args[i] = cmp.Or(argumentAliases[s.Verb][argument], argument)
	}
	return s
}
