package operatorfile

import "calicohill/internal/runtime/logging"

// Sections lists all kinds of sections of a file, in the order of the example.
var Sections = []Section{
	{sectionLog, "", "The format and the levels of the log on standard error."},
	{sectionState, "", "The snapshot that restores a scheduler after a restart, where there is a persistent disk. Without this\n" +
		"section nothing is written."},
	{sectionGossip, "", "Fault reports: exchange reports on faulty workers with other schedulers of the fleet. Without this\n" +
		"section nothing is sent, no socket is opened and no key is read."},
	{sectionMatch, "RULE", "A rule that decides a request's class, affinity key, route and labels. Rules are evaluated in the order\n" +
		"of the file; each of these is set by the first rule that matches and sets it. Without rules a\n" +
		"request's class is the last segment of its path, and its affinity key its function."},
	{sectionPool, "POOL", "Workers whose entry in the endpoint list meets a condition."},
	{sectionRoute, "ROUTE", "The pools that serve requests with this route: the first one that has an eligible worker. A route without\n" +
		"a section of its own is only logged."},
}

// levels are the log levels, from the most to the least detailed.
var levels = []string{"debug", defaultLevel, "warning", "error"}

// Directives lists all directives, in the order of the example.
var Directives = []Directive{
	{
		Section: sectionLog, Name: "format", Args: []Arg{{Name: "FORMAT", Type: Choice, Choices: []string{"text", formatJSON}}},
		Default: "text", Reload: true, Help: "Log lines of name=value pairs, or of one JSON object each.",
	},
	{
		Section: sectionLog, Name: "level",
		Args: []Arg{
			{Name: "LEVEL", Type: Choice, Choices: levels},
			{Name: "PART", Type: Choice, Choices: logging.Components, Optional: true},
		},
		Default: defaultLevel, Repeated: true, Reload: true,
		Help: "The lowest level that is logged, by all parts of the program or by one of them.",
	},
	{
		Section: sectionLog, Name: "status", Args: []Arg{{Name: "FILE", Type: Path}}, Example: "/run/calicohill/n1.json", Reload: true,
		Help: "The file that the counts of all rules are written to on SIGUSR1, as a JSON object. They are also logged.",
	},

	{
		Section: sectionState, Name: "snapshot", Args: []Arg{{Name: "FILE", Type: Path}}, Required: true, Example: "/var/lib/calicohill/n1.list",
		Help: "The file that the endpoint list and the learned state are saved to. A start restores the list if it is newer\n" +
			"than the one in the platform's file. To be set only where the list service keeps its event numbers while a\n" +
			"scheduler restarts.",
	},
	{
		Section: sectionState, Name: "fleet", Args: []Arg{{Name: "NAME", Type: Identifier}}, Required: true, Example: "gt-registros",
		Help: "The fleet that the list belongs to. A snapshot of another fleet is rejected.",
	},
	{
		Section: sectionState, Name: "max-age", Args: []Arg{{Name: "TIME", Type: Duration, Min: 1, Max: 30 * secondsPerDay}}, Default: "1h",
		Help: "Maximum age of a snapshot. An older one is rejected.",
	},
	{
		Section: sectionGossip, Name: "listen", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7946", Required: true, Help: "The UDP address to listen on for messages of peers.",
	},
	{
		Section: sectionGossip, Name: "fleet", Args: []Arg{{Name: "NAME", Type: Identifier}},
		Example: "gt-registros", Required: true,
		Help: "The fleet that keys and messages belong to. Those of another fleet are rejected.",
	},
	{
		Section: sectionGossip, Name: "key", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "n1.key", Required: true, Reload: true,
		Help: "The key and certificate of this scheduler (calicohill key issue), readable by its owner alone.",
	},
	{
		Section: sectionGossip, Name: "authority", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "fleet.crt", Required: true, Repeated: true, Reload: true,
		Help: "The certificate of an authority that signs the keys of members (calicohill key authority). Two of them are\n" +
			"trusted side by side while one replaces the other.",
	},
	{
		Section: sectionGossip, Name: "revoked", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "fleet.revoked", Reload: true,
		Help: "The list of revoked certificates (calicohill key revoke).",
	},
	{
		Section: sectionGossip, Name: "seed", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7947", Repeated: true, Reload: true,
		Help: "Address of another member. It is contacted at the start, and again while no member is known.",
	},
	{
		Section: sectionGossip, Name: "advertise", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7946", Help: "The address at which peers reach this scheduler, if it differs from listen.",
	},
	{
		Section: sectionGossip, Name: "probe-every", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0.1, Max: 60}},
		Default: "1s", Help: "Interval between two probes; each probes one other member.",
	},
	{
		Section: sectionGossip, Name: "probe-timeout", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0.01, Max: 10}},
		Default: "300ms", Help: "Timeout of a direct probe; after it, other members probe indirectly. Must be less than probe-every.",
	},
	{
		Section: sectionGossip, Name: "suspect-for", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0.5, Max: 300}},
		Default: "5s", Help: "Suspicion timeout: how long a member that did not answer may refute that before it counts as dead.",
	},
	{
		Section: sectionGossip, Name: "messages", Args: []Arg{{Name: "NUMBER", Type: Count, Min: 5, Max: 1000}},
		Default: "20", Help: "Maximum number of messages sent in a second, however many are received.",
	},
	{
		Section: sectionGossip, Name: "checks", Args: []Arg{{Name: "NUMBER", Type: Count, Min: 20, Max: 10000}},
		Default: "400", Help: "Maximum number of signatures checked in a second, however many are received.",
	},
	{
		Section: sectionGossip, Name: "clock-skew", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0, Max: 60}},
		Default: "5s", Help: "Maximum difference between the clocks of two members.",
	},
	{
		Section: sectionGossip, Name: "overlap", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0, Max: secondsPerDay}},
		Default: "10m", Reload: true,
		Help: "How long certificates of an authority are still trusted after a reload has removed it.",
	},
	{
		Section: sectionGossip, Name: "liars", Args: []Arg{{Name: "NUMBER", Type: Count, Min: 0, Max: 1000}},
		Example: "1", Reload: true,
		Help: "Number of byzantine members to tolerate. It takes more reporters than that to eject a worker. If it is\n" +
			"not set, it is the largest number below a third of the members.",
	},
	{
		Section: sectionGossip, Name: "leave-out", Args: []Arg{{Name: "SHARE", Type: Percentage, Min: 0, Max: 50}},
		Default: "25%", Reload: true,
		Help: "Largest fraction of the listed workers that reports of peers may eject. With 0% they eject none.",
	},
	{
		Section: sectionGossip, Name: "forget-after", Args: []Arg{{Name: "TIME", Type: Duration, Min: 1, Max: 300}},
		Default: "10s", Reload: true, Help: "How long a fault report counts unless it is repeated.",
	},

	{
		Section: sectionMatch, Name: "when", Args: []Arg{{Name: "CONDITION", Type: Expr}}, Reload: true,
		Example: `handler.startsWith("7f") && budget >= duration("500ms")`,
		Help: "The condition under which the rule matches; without one it always matches. A condition that can't be\n" +
			"evaluated, for example since it reads a missing parameter, counts as false.",
	},
	{
		Section: sectionMatch, Name: "class", Args: []Arg{{Name: "CLASS", Type: Expr}}, Reload: true, Example: `certificado`,
		Help: "The class: its name, or an expression. It must be at least as strict about retries as the requested one.",
	},
	{
		Section: sectionMatch, Name: "key", Args: []Arg{{Name: "KEY", Type: Expr}}, Reload: true, Example: `handler + ":" + param["HTTP_X_CENTRE"]`,
		Help: "The affinity key: requests of one key go to the same few workers. The function that runs stays the same.",
	},
	{
		Section: sectionMatch, Name: "route", Args: []Arg{{Name: "ROUTE", Type: Expr}}, Reload: true, Example: `slow-lane`,
		Help: "The route: its name, or an expression. It is stored with the request and logged.",
	},
	{
		Section: sectionMatch, Name: "label", Args: []Arg{{Name: "NAME", Type: Identifier}, {Name: "VALUE", Type: Expr}}, Repeated: true, Reload: true,
		Example: `centre param["HTTP_X_CENTRE"]`, Help: "A label of the request.",
	},
	{
		Section: sectionMatch, Name: "split", Args: []Arg{{Name: "ROUTE", Type: Identifier}, {Name: "PART", Type: Count, Min: 1, Max: 1000}},
		Repeated: true, Reload: true, Example: "trial 50",
		Help: "PART of 1,000 requests get this route, the others that of the directive route. All attempts under one\n" +
			"idempotency key get the same one.",
	},
	{Section: sectionMatch, Name: "stop", Reload: true, Help: "No further rule is evaluated once this one has matched."},

	{
		Section: sectionPool, Name: "workers", Args: []Arg{{Name: "CONDITION", Type: Expr}}, Required: true, Reload: true,
		Example: `model == "std" && zone == "guate-zona4"`,
		Help:    "The condition that selects workers, over id, model, zone, group and state (serving or draining).",
	},
	{
		Section: sectionRoute, Name: "pool", Args: []Arg{{Name: "POOL", Type: Identifier}}, Required: true, Repeated: true, Reload: true,
		Example: "fast", Help: "A pool; the first one listed is preferred, the others are its fallbacks in this order.",
	},
}
