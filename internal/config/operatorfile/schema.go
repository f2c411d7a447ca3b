package operatorfile

import "slices"

// The names of the sections.
const (
	sectionLog    = "log"
	sectionState  = "state"
	sectionGossip = "gossip"
	sectionMatch  = "match"
	sectionPool   = "pool"
	sectionRoute  = "route"
)

// Type is the type of a directive's argument.
type Type int

// The types of arguments.
const (
	Identifier Type = iota // letters, digits, '-', '_' and '.'; maxIdentifierBytes at most
	Choice                 // one of the words that Arg.Choices lists
	Duration               // a number and a unit: us, ms, s, m, h or d
	Count                  // a whole number
	Percentage             // a number followed by %
	Address                // host:port, the host an IP address
	Path                   // the name of a file, relative to the directory of the file that names it
	Expr                   // the rest of the line, an expression
)

var typeNames = [...]string{"name", "choice", "duration", "number", "percentage", "address", "path", "expression"}

// String returns the name of the type as error messages give it.
func (t Type) String() string { return typeNames[t] }

// Arg declares one argument of a directive.
type Arg struct {
	Name     string
	Type     Type
	Choices  []string // of a Choice
	Min      float64  // of a Duration in seconds, a Count, or a Percentage in per cent
	Max      float64  // in the unit of Min
	Optional bool     // may be left out; only the last argument can be
}

// Directive declares one directive. The parser, the checks, the commented example and the operators' page are all driven
// by these declarations alone.
type Directive struct {
	Section  string // the kind of section that it belongs to
	Name     string
	Args     []Arg
	Default  string // as it would be written; "" where there is none
	Example  string // what the example shows where there is no default
	Required bool   // a section without it is invalid
	Repeated bool   // may appear more than once in a section
	Reload   bool   // a change takes effect on reload; otherwise on restart
	Help     string
}

// Section declares a kind of section.
type Section struct {
	Name  string
	Named string // placeholder for a section's own name, as in "match RULE"; "" where it has none and appears once
	Help  string
}

// Lookup returns a directive of a kind of section, and whether there is one of that name.
func Lookup(section, name string) (Directive, bool) {
	for _, directive := range Directives {
		if directive.Section == section && directive.Name == name {
			return directive, true
		}
	}
	return Directive{}, false
}

// lookupSection returns a kind of section, and whether there is one of that name.
func lookupSection(name string) (Section, bool) {
	i := slices.IndexFunc(Sections, func(s Section) bool { return s.Name == name })
	if i < 0 {
		return Section{}, false
	}
	return Sections[i], true
}

// directivesOf returns the directives of a kind of section, in the order of the example.
func directivesOf(section string) []Directive {
	var directives []Directive
	for _, directive := range Directives {
		if directive.Section == section {
			directives = append(directives, directive)
		}
	}
	return directives
}
