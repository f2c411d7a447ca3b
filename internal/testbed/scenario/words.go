package scenario

import (
	"cmp"
	"slices"
	"time"

	"calicohill/internal/testbed/fault"
	"calicohill/internal/testbed/process"
	"calicohill/internal/testbed/standin"
)

// listFaults maps names in scenarios to faults of the list service.
var listFaults = map[string]standin.ListFault{
	"healthy":      standin.ListHealthy,
	"refusing":     standin.ListRefusing,
	"unresponsive": standin.ListUnresponsive,
	"overloaded":   standin.ListOverloaded,
	"truncating":   standin.ListTruncating,
	"rate_limited": standin.ListRateLimited,
}

// knownEvents maps names in scenarios to the events in the schedulers' configuration.
var knownEvents = map[string]process.InitialEvents{
	"full":  process.InitialEventsAll,
	"stale": process.InitialEventsFirst,
	"empty": process.InitialEventsNone,
}

// workerFaults maps names in scenarios to faults of workers.
var workerFaults = map[string]standin.WorkerFault{
	"healthy":      standin.WorkerHealthy,
	"unresponsive": standin.WorkerUnresponsive,
	"slow":         standin.WorkerSlow,
	"failing":      standin.WorkerFailing,
	"refusing":     standin.WorkerRefusing,
}

// linkConditions maps names in scenarios to conditions of links.
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
	// connectionReset is the condition that resets the open connections of a link.
	connectionReset = "connection_reset"
	// warmingUp is the argument of replace that makes the new workers start warming up.
	warmingUp = "warming_up"
)

// verbAliases maps deprecated verbs to the current ones.
var verbAliases = map[string]string{
	"roll":  "rolling_restart",
	"break": "disconnect",
	"tell":  "publish",
	"boot":  "restart_workers",
	"jam":   "stall_store",
	"talk":  "gossip",
}

// linkAliases maps deprecated names of link conditions to the current ones.
var linkAliases = map[string]string{
	"whole":     "healthy",
	"cut":       "partitioned",
	"cut-there": "partitioned_forward",
	"cut-back":  "partitioned_backward",
	"slow":      "throttled",
	"far":       "high_latency",
	"reset":     connectionReset,
}

// argumentAliases maps deprecated arguments of each verb to the current ones.
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

// canonical returns the step with deprecated words replaced by the current ones.
func (s Step) canonical() Step {
	s.Verb = cmp.Or(verbAliases[s.Verb], s.Verb)
	s.Args = slices.Clone(s.Args)
	for i, argument := range s.Args {
		s.Args[i] = cmp.Or(argumentAliases[s.Verb][argument], argument)
	}
	return s
}
