package operatorfile

import (
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/internal/rules/pools"
)

// Settings is what an operator's file says. The zero Settings are those of no file, but for the levels of logging,
// which Read and None fill in.
type Settings struct {
	Log    Log
	State  *State  // nil where the section is missing: nothing is kept
	Gossip *Gossip // nil where the section is missing: it is off
	Rules  []match.Rule
	Pools  []pools.Pool
	Routes []pools.Route
}

// State is the section state.
type State struct {
	Snapshot, Fleet string
	MaxAge          time.Duration
}

// Log is the section log.
type Log struct {
	JSON   bool
	Status string            // file; "" if none
	Level  string            // of parts that Parts does not name
	Parts  map[string]string // level by part
}

// Gossip is the section gossip.
type Gossip struct {
	Listen, Advertise  netip.AddrPort
	Fleet              string
	Key                string // file
	Authorities        []string
	Revoked            string // file; "" if none
	Seeds              []netip.AddrPort
	ProbeEvery         time.Duration
	ProbeTimeout       time.Duration
	SuspectFor         time.Duration
	Messages, Checks   int // a second
	ClockSkew, Overlap time.Duration
	Liars              int // -1: the most that are less than a third of the members
	LeaveOut           float64
	ForgetAfter        time.Duration
}

// None is the settings where no file is named.
func None() *Settings { return &Settings{Log: Log{Level: "info", Parts: map[string]string{}}} }

// Read reads an operator's file. The error is Faults, each with file, line and column.
func Read(path string) (*Settings, error) {
	f, err := Parse(path)
	if err != nil {
		return nil, err
	}
	s := None()
	s.Log.Status = f.String("log", "status")
	s.Log.JSON = f.String("log", "format") == "json"
	for _, e := range f.entries("log", "level") {
		if len(e.values) == 2 {
			s.Log.Parts[e.values[1].text] = e.values[0].text
		} else {
			s.Log.Level = e.values[0].text
		}
	}
	if f.Has("gossip") {
		s.Gossip = f.gossip()
	}
	if f.Has("state") {
		s.State = &State{Snapshot: f.String("state", "snapshot"), Fleet: f.String("state", "fleet"), MaxAge: f.Time("state", "max-age")}
	}
	for _, name := range f.names["match"] {
		s.Rules = append(s.Rules, f.rule(name))
	}
	for _, name := range f.names["pool"] {
		at := f.where["pool "+name]
		s.Pools = append(s.Pools, pools.Pool{Place: place(at), Name: name, Workers: f.text("pool "+name, "workers")})
	}
	for _, name := range f.names["route"] {
		r := pools.Route{Place: place(f.where["route "+name]), Name: name}
		for _, e := range f.sections["route "+name]["pool"] {
			r.Pools = append(r.Pools, e.text(0))
		}
		s.Routes = append(s.Routes, r)
	}
	if len(f.faults) > 0 {
		return nil, f.faults
	}
	return s, nil
}

func place(f Fault) match.Place { return match.Place{File: f.File, Line: f.Line, Column: f.Column} }

// text is an argument with its place.
func (e Entry) text(i int) match.Text {
	return match.Text{Place: match.Place{File: e.File, Line: e.Line, Column: e.values[i].column}, Source: e.values[i].text}
}

// text is the first argument of a directive that stands once, with its place.
func (f *File) text(section, directive string) (t match.Text) {
	if e := f.sections[section][directive]; len(e) > 0 {
		t = e[0].text(0)
	}
	return t
}

// rule is a rule as it stands in a file. Whether it makes sense is for match.Load to say.
func (f *File) rule(name string) match.Rule {
	section := "match " + name
	only := func(directive string) match.Text { return f.text(section, directive) }
	r := match.Rule{
		Place: place(f.where[section]), Name: name, When: only("when"),
		Class: only("class"), Key: only("key"), Route: only("route"), Stop: len(f.sections[section]["stop"]) > 0,
	}
	for _, e := range f.sections[section]["label"] {
		r.Labels = append(r.Labels, match.Label{Name: e.values[0].text, Value: e.text(1)})
	}
	for _, e := range f.sections[section]["split"] {
		r.Splits = append(r.Splits, match.Split{Place: place(e.Fault), Route: e.values[0].text, Part: int(e.values[1].number)})
	}
	return r
}

// Compile loads the rules of a file for the classes of a site, nil where those are not known, and its pools and
// routes. The error is Faults; warnings are returned beside the rest.
func (s *Settings) Compile(classes []match.Class) (*match.Table, *pools.Core, Faults, error) {
	t, found := match.Load(s.Rules, classes)
	routes, more := pools.Load(s.Pools, s.Routes)
	var warnings, faults Faults
	for _, f := range append(found, more...) {
		one := Fault{File: f.File, Line: f.Line, Column: f.Column, Directive: f.Directive, Reason: f.Reason}
		if f.Warning {
			warnings = append(warnings, one)
		} else {
			faults = append(faults, one)
		}
	}
	if len(faults) > 0 {
		return nil, nil, warnings, faults
	}
	return t, routes, warnings, nil
}

func (f *File) gossip() *Gossip {
	g := &Gossip{
		Listen: address(f.String("gossip", "listen")), Fleet: f.String("gossip", "fleet"),
		Key: f.String("gossip", "key"), Authorities: f.Texts("gossip", "authority"),
		Revoked:    f.String("gossip", "revoked"),
		ProbeEvery: f.Time("gossip", "probe-every"), ProbeTimeout: f.Time("gossip", "probe-timeout"),
		SuspectFor: f.Time("gossip", "suspect-for"), ClockSkew: f.Time("gossip", "clock-skew"),
		Overlap: f.Time("gossip", "overlap"), ForgetAfter: f.Time("gossip", "forget-after"),
		Liars: -1,
	}
	g.Advertise = g.Listen
	if a := f.String("gossip", "advertise"); a != "" {
		g.Advertise = address(a)
	}
	for _, s := range f.Texts("gossip", "seed") {
		g.Seeds = append(g.Seeds, address(s))
	}
	messages, _ := f.Number("gossip", "messages")
	checks, _ := f.Number("gossip", "checks")
	g.Messages, g.Checks = int(messages), int(checks)
	if n, given := f.Number("gossip", "liars"); given {
		g.Liars = int(n)
	}
	g.LeaveOut, _ = f.Number("gossip", "leave-out")

	// What each directive alone can't tell.
	if g.ProbeTimeout >= g.ProbeEvery {
		f.against("gossip", "probe-timeout", "must be under probe-every")
	}
	if g.Advertise.Addr().IsUnspecified() {
		f.against("gossip", "advertise", "peers can't reach %s: name an address of this machine", g.Advertise.Addr())
	}
	for _, name := range []string{"key", "authority", "revoked"} {
		for _, e := range f.sections["gossip"][name] {
			info, err := os.Stat(e.values[0].text)
			switch {
			case err != nil:
				f.fault(e.Fault, "%v", errors.Unwrap(err))
			case !info.Mode().IsRegular():
				f.fault(e.Fault, "%s is not a file", e.values[0].text)
			case name == "key" && info.Mode().Perm()&(fs.ModePerm&^0o600) != 0:
				f.fault(e.Fault, "mode %04o lets others read it: 0600 is needed", info.Mode().Perm())
			}
		}
	}
	return g
}

// against faults what stands for a directive, or, where its default is meant, its section.
func (f *File) against(section, name, format string, args ...any) {
	at := f.where[section]
	if e := f.sections[section][name]; len(e) > 0 {
		at = e[0].Fault
	}
	at.Directive = name
	f.fault(at, format, args...)
}

func address(text string) netip.AddrPort {
	a, _ := netip.ParseAddrPort(text) // checked when it was read
	return a
}
