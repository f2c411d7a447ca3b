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

// Type is the type of an argument of a directive.
type Type int

// The types of arguments.
const (
	Identifier Type = iota // letters, digits, '-', '_' and '.'; at most maxIdentifierBytes
	Choice                 // one of Arg.Choices
	Duration               // a number and a unit: us, ms, s, m, h or d
	Count                  // a whole number
	Percentage             // a number followed by %
	Address                // host:port, the host an IP address
	Path                   // a file name, relative to the directory of the file that contains the directive
	Expr                   // an expression that extends to the end of the line
)

var typeNames = [...]string{"name", "choice", "duration", "number", "percentage", "address", "path", "expression"}

// String returns the name of the type in error messages.
func (t Type) String() string { return typeNames[t] }

// Arg declares one argument of a directive.
type Arg struct {
	Name     string
	Type     Type
	Choices  []string // of a Choice
	Min      float64  // minimum of a Duration in seconds, a Count, or a Percentage in per cent
	Max      float64  // maximum, in the unit of Min
	Optional bool     // may be omitted; only for the last argument
}

// Directive declares a directive. The parser, the validation, the commented example and the operators' page are all
// derived from these declarations.
type Directive struct {
	Section  string // kind of the section that contains the directive
	Name     string
	Args     []Arg
	Default  string // as written in a file; "" if there is none
	Example  string // arguments in the commented example if there is no default
	Required bool   // a section without the directive is invalid
	Repeated bool   // may appear more than once in a section
	Reload   bool   // a change takes effect on reload, otherwise on restart
	Help     string
}

// Section declares a kind of section.
type Section struct {
	Name  string
	Named string // placeholder of the section's name, as in "match RULE"; "" if the section is unnamed and appears once
	Help  string
}

// Lookup returns the directive with a name in a kind of section, and whether it exists.
func Lookup(section, name string) (Directive, bool) {
	for _, directive := range Directives {
		if directive.Section == section && directive.Name == name {
			return directive, true
		}
	}
	return Directive{}, false
}

// lookupSection returns the kind of section with a name, and whether it exists.
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
