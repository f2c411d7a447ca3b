package operatorfile

import "time"

// Type is what an argument of a directive must be.
type Type int

// The types of arguments.
const (
	Word     Type = iota // letters, digits, '-', '_' and '.'; 64 bytes at most
	Choice               // one of the words that Arg.Words lists
	Duration             // a number and a unit: us, ms, s, m, h or d
	Count                // a whole number
	Share                // a number followed by %
	Address              // host:port, the host an IP address
	Path                 // the name of a file, taken from the folder of the file that it stands in
	Expr                 // the rest of the line, an expression
)

var typeNames = [...]string{"word", "choice", "duration", "count", "share", "address", "path", "expression"}

func (t Type) String() string { return typeNames[t] }

// Arg declares one argument of a directive.
type Arg struct {
	Name        string
	Type        Type
	Words       []string // of a Choice
	Least, Most float64  // of a Duration in seconds, a Count, or a Share in per cent
	Optional    bool     // may be left out; only the last can be
}

// Directive declares one directive: where it stands, what it takes and what it is for. The parser, the checker,
// the commented example and the operators' page all read this table and nothing else.
type Directive struct {
	Section  string // the section that it stands in
	Name     string
	Args     []Arg
	Default  string // as it would be written; "" where there is none
	Example  string // as the example shows it where there is no default
	Required bool   // the section is of no use without it
	Repeated bool   // may stand more than once in a section
	Reload   bool   // a reload takes up a change; otherwise a restart does
	Help     string
}

// Section declares a kind of section.
type Section struct {
	Name  string
	Named string // what its own name stands for, as in "match NAME"; "" where it has none and may stand only once
	Help  string
}

// Sections is every section that a file may hold, in the order of the example.
var Sections = []Section{
	{"log", "", "What is written to standard error, and how."},
	{"state", "", "What is kept over a restart, where there is a disk that lasts. Without this section nothing is written."},
	{"gossip", "", "Shared suspicions: talk to other schedulers of the fleet about workers that seem ill. Without this\n" +
		"section nothing is sent, no socket is opened and no key is read."},
	{"match", "RULE", "A rule that decides a request's class, affinity key, route and labels. Rules are tried in the order in\n" +
		"which they stand; each of these is given by the first rule that matches and gives it. Without rules a\n" +
		"request's class is the last word of its path, and its affinity key its function."},
	{"pool", "POOL", "Workers that a condition on their entry in the list holds of."},
	{"route", "ROUTE", "Where the requests go that a rule gives this route: to the first of its pools that has somebody usable. A\n" +
		"route without a section of its own is only a word in the log."},
}

var levels = []string{"debug", "info", "warning", "error"}

// Parts are the parts of the program that log lines name, and whose level can be set by itself.
var Parts = []string{"scheduler", "agent", "bulletin", "clients", "gossip", "rules"}

// Directives is every directive, in the order of the example.
var Directives = []Directive{
	{
		Section: "log", Name: "format", Args: []Arg{{Name: "FORMAT", Type: Choice, Words: []string{"text", "json"}}},
		Default: "text", Reload: true, Help: "Lines of name=value pairs, or of one JSON object each.",
	},
	{
		Section: "log", Name: "level",
		Args: []Arg{
			{Name: "LEVEL", Type: Choice, Words: levels},
			{Name: "PART", Type: Choice, Words: Parts, Optional: true},
		},
		Default: "info", Repeated: true, Reload: true,
		Help: "The least level that is written: of all parts, or of the one that is named.",
	},
	{
		Section: "log", Name: "status", Args: []Arg{{Name: "FILE", Type: Path}}, Example: "/run/calicohill/n1.json", Reload: true,
		Help: "Where SIGUSR1 has the counts of all rules written, as a JSON object. They are logged too.",
	},

	{
		Section: "state", Name: "snapshot", Args: []Arg{{Name: "FILE", Type: Path}}, Required: true, Example: "/var/lib/calicohill/n1.list",
		Help: "Where the list of workers, and what was learned, is kept. A start takes the list up if it is newer than the one\nthat the platform's file holds. Only where the list service's numbers outlast a restart of a scheduler.",
	},
	{
		Section: "state", Name: "fleet", Args: []Arg{{Name: "NAME", Type: Word}}, Required: true, Example: "gt-registros",
		Help: "The fleet that the list is of. A list of another one is set aside.",
	},
	{
		Section: "state", Name: "max-age", Args: []Arg{{Name: "TIME", Type: Duration, Least: 1, Most: 30 * 86400}}, Default: "1h",
		Help: "An older list is set aside.",
	},
	{
		Section: "gossip", Name: "listen", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7946", Required: true, Help: "The UDP address that messages of peers come to.",
	},
	{
		Section: "gossip", Name: "fleet", Args: []Arg{{Name: "NAME", Type: Word}},
		Example: "gt-registros", Required: true,
		Help: "The fleet that keys and messages belong to. Those of another fleet are refused.",
	},
	{
		Section: "gossip", Name: "key", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "n1.key", Required: true, Reload: true,
		Help: "The key and certificate of this scheduler (calicohill key issue), readable by its owner alone.",
	},
	{
		Section: "gossip", Name: "authority", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "fleet.pub", Required: true, Repeated: true, Reload: true,
		Help: "The public key of an authority whose certificates count (calicohill key authority). With two of them\n" +
			"members of the old one stay while the new one takes over.",
	},
	{
		Section: "gossip", Name: "revoked", Args: []Arg{{Name: "FILE", Type: Path}},
		Example: "fleet.revoked", Reload: true,
		Help: "The list of revoked certificates (calicohill key revoke).",
	},
	{
		Section: "gossip", Name: "seed", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7947", Repeated: true, Reload: true,
		Help: "Where another member may be found. It is asked at the start, and again while nobody is known.",
	},
	{
		Section: "gossip", Name: "advertise", Args: []Arg{{Name: "ADDRESS", Type: Address}},
		Example: "127.0.0.1:7946", Help: "The address that peers reach this one at, where it is not the one of listen.",
	},
	{
		Section: "gossip", Name: "probe-every", Args: []Arg{{Name: "TIME", Type: Duration, Least: 0.1, Most: 60}},
		Default: "1s", Help: "How often one other member is asked whether it is there.",
	},
	{
		Section: "gossip", Name: "probe-timeout", Args: []Arg{{Name: "TIME", Type: Duration, Least: 0.01, Most: 10}},
		Default: "300ms", Help: "How long its answer may take until others are asked to ask it. Under probe-every.",
	},
	{
		Section: "gossip", Name: "suspect-for", Args: []Arg{{Name: "TIME", Type: Duration, Least: 0.5, Most: 300}},
		Default: "5s", Help: "How long a member that did not answer may say that it is there until it counts as dead.",
	},
	{
		Section: "gossip", Name: "messages", Args: []Arg{{Name: "NUMBER", Type: Count, Least: 5, Most: 1000}},
		Default: "20", Help: "The most messages sent in a second, whatever is received.",
	},
	{
		Section: "gossip", Name: "checks", Args: []Arg{{Name: "NUMBER", Type: Count, Least: 20, Most: 10000}},
		Default: "400", Help: "The most signatures checked in a second, whatever is received.",
	},
	{
		Section: "gossip", Name: "clock-skew", Args: []Arg{{Name: "TIME", Type: Duration, Least: 0, Most: 60}},
		Default: "5s", Help: "How far the clocks of members may be apart.",
	},
	{
		Section: "gossip", Name: "overlap", Args: []Arg{{Name: "TIME", Type: Duration, Least: 0, Most: 86400}},
		Default: "10m", Reload: true,
		Help: "How long after a reload the certificates of an authority that is no longer named still count.",
	},
	{
		Section: "gossip", Name: "liars", Args: []Arg{{Name: "NUMBER", Type: Count, Least: 0, Most: 1000}},
		Example: "1", Reload: true,
		Help: "How many members may lie. It takes more accusers than that to leave a worker out. Where it is not\n" +
			"set it is the most that are less than a third of the members.",
	},
	{
		Section: "gossip", Name: "leave-out", Args: []Arg{{Name: "SHARE", Type: Share, Least: 0, Most: 50}},
		Default: "25%", Reload: true,
		Help: "The most of the listed workers that are left out on the word of peers. 0% listens and does nothing.",
	},
	{
		Section: "gossip", Name: "forget-after", Args: []Arg{{Name: "TIME", Type: Duration, Least: 1, Most: 300}},
		Default: "10s", Reload: true, Help: "How long an accusation counts that is not said again.",
	},

	{
		Section: "match", Name: "when", Args: []Arg{{Name: "CONDITION", Type: Expr}}, Reload: true,
		Example: `handler.startsWith("7f") && budget >= duration("500ms")`,
		Help: "What must hold for the rule to match; without it it always does. A condition that can't be evaluated,\n" +
			"as one that reads a parameter which is missing, does not hold.",
	},
	{
		Section: "match", Name: "class", Args: []Arg{{Name: "CLASS", Type: Expr}}, Reload: true, Example: `certificado`,
		Help: "The class: its name, or an expression. It must be as strict about repeats as the one asked for, or more.",
	},
	{
		Section: "match", Name: "key", Args: []Arg{{Name: "KEY", Type: Expr}}, Reload: true, Example: `handler + ":" + param["HTTP_X_CENTRE"]`,
		Help: "The affinity key: requests of one key go to the same few workers. What is run stays the function.",
	},
	{
		Section: "match", Name: "route", Args: []Arg{{Name: "ROUTE", Type: Expr}}, Reload: true, Example: `slow-lane`,
		Help: "The route: its name, or an expression. It is kept with the request and logged.",
	},
	{
		Section: "match", Name: "label", Args: []Arg{{Name: "NAME", Type: Word}, {Name: "VALUE", Type: Expr}}, Repeated: true, Reload: true,
		Example: `centre param["HTTP_X_CENTRE"]`, Help: "A label of the request.",
	},
	{
		Section: "match", Name: "split", Args: []Arg{{Name: "ROUTE", Type: Word}, {Name: "PART", Type: Count, Least: 1, Most: 1000}},
		Repeated: true, Reload: true, Example: "trial 50",
		Help: "So many in a thousand of the requests get this route; those left get the one of route. All tries under one\n" +
			"idempotency key get the same.",
	},
	{Section: "match", Name: "stop", Reload: true, Help: "No further rule is tried once this one has matched."},

	{
		Section: "pool", Name: "workers", Args: []Arg{{Name: "CONDITION", Type: Expr}}, Required: true, Reload: true,
		Example: `model == "std" && zone == "guate-zona4"`,
		Help:    "Which workers: a condition over id, model, zone, group and state (serving or draining).",
	},
	{
		Section: "route", Name: "pool", Args: []Arg{{Name: "POOL", Type: Word}}, Required: true, Repeated: true, Reload: true,
		Example: "fast", Help: "A pool; the first that stands here is preferred, the others stand in for it in turn.",
	},
}

// Lookup finds a directive of a section.
func Lookup(section, name string) (Directive, bool) {
	for _, d := range Directives {
		if d.Section == section && d.Name == name {
			return d, true
		}
	}
	return Directive{}, false
}

// durationUnits are the units of a Duration in seconds.
var durationUnits = []unit{{"d", 86400}, {"h", 3600}, {"m", 60}, {"ms", 1e-3}, {"us", 1e-6}, {"s", 1}}

type unit struct {
	name string
	in   float64
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
