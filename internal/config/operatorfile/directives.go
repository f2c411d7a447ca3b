package operatorfile

import "calicohill/internal/runtime/logging"

// Sections lists every kind of section that a file may hold, in the order of the example.
var Sections = []Section{
	{sectionLog, "", "What is written to standard error, and how."},
	{sectionState, "", "What is kept over a restart, where there is a disk that lasts. Without this section nothing is written."},
	{sectionGossip, "", "Shared suspicions: talk to other schedulers of the fleet about workers that seem ill. Without this\n" +
		"section nothing is sent, no socket is opened and no key is read."},
	{sectionMatch, "RULE", "A rule that decides a request's class, affinity key, route and labels. Rules are tried in the order in\n" +
		"which they stand; each of these is given by the first rule that matches and gives it. Without rules a\n" +
		"request's class is the last word of its path, and its affinity key its function."},
	{sectionPool, "POOL", "Workers that a condition on their entry in the list holds of."},
	{sectionRoute, "ROUTE", "Where the requests go that a rule gives this route: to the first of its pools that has somebody usable. A\n" +
		"route without a section of its own is only a word in the log."},
}

// levels are the levels of log lines, the most detailed first.
var levels = []string{"debug", defaultLevel, "warning", "error"}

// Directives lists every directive, in the order of the example.
var Directives = []Directive{
	{
		Section: sectionLog, Name: "format", Args: []Arg{{Name: "FORMAT", Type: Choice, Choices: []string{"text", formatJSON}}},
		Default: "text", Reload: true, Help: "Lines of name=value pairs, or of one JSON object each.",
	},
	{
		Section: sectionLog, Name: "level",
		Args: []Arg{
			{Name: "LEVEL", Type: Choice, Choices: levels},
			{Name: "PART", Type: Choice, Choices: logging.Parts, Optional: true},
		},
		Default: defaultLevel, Repeated: true, Reload: true,
		Help: "The least level that is written: of all parts, or of the one that is named.",
	},
	{
		Section: sectionLog, Name: "status", Args: []Arg{{Name: "FILE", Type: Path}}, Example: "/run/calicohill/n1.json", Reload: true,
		Help: "Where SIGUSR1 has the counts of all rules written, as a JSON object. They are logged too.",
	},

	{
		Section: sectionState, Name: "snapshot", Args: []Arg{{Name: "FILE", Type: Path}}, Required: true, Example: "/var/lib/calicohill/n1.list",
		Help: "Where the list of workers, and what was learned, is kept. A start takes the list up if it is newer than the one\nthat the platform's file holds. Only where the list service's numbers outlast a restart of a scheduler.",
	},
	{
		Section: sectionState, Name: "fleet", Args: []Arg{{Name: "NAME", Type: Identifier}}, Required: true, Example: "gt-registros",
		Help: "The fleet that the list is of. A list of another one is set aside.",
	},
	{
		Section: sectionState, Name: "max-age", Args: []Arg{{Name: "TIME", Type: Duration, Min: 1, Max: 30 * 86400}}, Default: "1h",
		Help: "An older list is set aside.",
	},
	{
		Section: sectionGossip, Name: "listen", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7946", Required: true, Help: "The UDP address that messages of peers come to.",
	},
	{
		Section: sectionGossip, Name: "fleet", Args: []Arg{{Name: "NAME", Type: Identifier}},
		Example: "gt-registros", Required: true,
		Help: "The fleet that keys and messages belong to. Those of another fleet are refused.",
	},
	{
		Section: sectionGossip, Name: "key", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "n1.key", Required: true, Reload: true,
		Help: "The key and certificate of this scheduler (calicohill key issue), readable by its owner alone.",
	},
	{
		Section: sectionGossip, Name: "authority", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "fleet.pub", Required: true, Repeated: true, Reload: true,
		Help: "The public key of an authority whose certificates count (calicohill key authority). With two of them\n" +
			"members of the old one stay while the new one takes over.",
	},
	{
		Section: sectionGossip, Name: "revoked", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "fleet.revoked", Reload: true,
		Help: "The list of revoked certificates (calicohill key revoke).",
	},
	{
		Section: sectionGossip, Name: "seed", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7947", Repeated: true, Reload: true,
		Help: "Where another member may be found. It is asked at the start, and again while nobody is known.",
	},
	{
		Section: sectionGossip, Name: "advertise", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7946", Help: "The address that peers reach this one at, where it is not the one of listen.",
	},
	{
		Section: sectionGossip, Name: "probe-every", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0.1, Max: 60}},
		Default: "1s", Help: "How often one other member is asked whether it is there.",
	},
	{
		Section: sectionGossip, Name: "probe-timeout", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0.01, Max: 10}},
		Default: "300ms", Help: "How long its answer may take until others are asked to ask it. Under probe-every.",
	},
	{
		Section: sectionGossip, Name: "suspect-for", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0.5, Max: 300}},
		Default: "5s", Help: "How long a member that did not answer may say that it is there until it counts as dead.",
	},
	{
		Section: sectionGossip, Name: "messages", Args: []Arg{{Name: "NUMBER", Type: Count, Min: 5, Max: 1000}},
		Default: "20", Help: "The most messages sent in a second, whatever is received.",
	},
	{
		Section: sectionGossip, Name: "checks", Args: []Arg{{Name: "NUMBER", Type: Count, Min: 20, Max: 10000}},
		Default: "400", Help: "The most signatures checked in a second, whatever is received.",
	},
	{
		Section: sectionGossip, Name: "clock-skew", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0, Max: 60}},
		Default: "5s", Help: "How far the clocks of members may be apart.",
	},
	{
		Section: sectionGossip, Name: "overlap", Args: []Arg{{Name: "TIME", Type: Duration, Min: 0, Max: 86400}},
		Default: "10m", Reload: true,
		Help: "How long after a reload the certificates of an authority that is no longer named still count.",
	},
	{
		Section: sectionGossip, Name: "liars", Args: []Arg{{Name: "NUMBER", Type: Count, Min: 0, Max: 1000}},
		Example: "1", Reload: true,
		Help: "How many members may lie. It takes more accusers than that to leave a worker out. Where it is not\n" +
			"set it is the most that are less than a third of the members.",
	},
	{
		Section: sectionGossip, Name: "leave-out", Args: []Arg{{Name: "SHARE", Type: Percentage, Min: 0, Max: 50}},
		Default: "25%", Reload: true,
		Help: "The most of the listed workers that are left out on the word of peers. 0% listens and does nothing.",
	},
	{
		Section: sectionGossip, Name: "forget-after", Args: []Arg{{Name: "TIME", Type: Duration, Min: 1, Max: 300}},
		Default: "10s", Reload: true, Help: "How long an accusation counts that is not said again.",
	},

	{
		Section: sectionMatch, Name: "when", Args: []Arg{{Name: "CONDITION", Type: Expr}}, Reload: true,
		Example: `handler.startsWith("7f") && budget >= duration("500ms")`,
		Help: "What must hold for the rule to match; without it it always does. A condition that can't be evaluated,\n" +
			"as one that reads a parameter which is missing, does not hold.",
	},
	{
		Section: sectionMatch, Name: "class", Args: []Arg{{Name: "CLASS", Type: Expr}}, Reload: true, Example: `certificado`,
		Help: "The class: its name, or an expression. It must be as strict about repeats as the one asked for, or more.",
	},
	{
		Section: sectionMatch, Name: "key", Args: []Arg{{Name: "KEY", Type: Expr}}, Reload: true, Example: `handler + ":" + param["HTTP_X_CENTRE"]`,
		Help: "The affinity key: requests of one key go to the same few workers. What is run stays the function.",
	},
	{
		Section: sectionMatch, Name: "route", Args: []Arg{{Name: "ROUTE", Type: Expr}}, Reload: true, Example: `slow-lane`,
		Help: "The route: its name, or an expression. It is kept with the request and logged.",
	},
	{
		Section: sectionMatch, Name: "label", Args: []Arg{{Name: "NAME", Type: Identifier}, {Name: "VALUE", Type: Expr}}, Repeated: true, Reload: true,
		Example: `centre param["HTTP_X_CENTRE"]`, Help: "A label of the request.",
	},
	{
		Section: sectionMatch, Name: "split", Args: []Arg{{Name: "ROUTE", Type: Identifier}, {Name: "PART", Type: Count, Min: 1, Max: 1000}},
		Repeated: true, Reload: true, Example: "trial 50",
		Help: "So many in a thousand of the requests get this route; those left get the one of route. All tries under one\n" +
			"idempotency key get the same.",
	},
	{Section: sectionMatch, Name: "stop", Reload: true, Help: "No further rule is tried once this one has matched."},

	{
		Section: sectionPool, Name: "workers", Args: []Arg{{Name: "CONDITION", Type: Expr}}, Required: true, Reload: true,
		Example: `model == "std" && zone == "guate-zona4"`,
		Help:    "Which workers: a condition over id, model, zone, group and state (serving or draining).",
	},
	{
		Section: sectionRoute, Name: "pool", Args: []Arg{{Name: "POOL", Type: Identifier}}, Required: true, Repeated: true, Reload: true,
		Example: "fast", Help: "A pool; the first that stands here is preferred, the others stand in for it in turn.",
	},
}
