package operatorfile

import (
	"time"

	"calicohill/internal/rules/match"
)

// sectionKey identifies a section by its kind and, for kinds whose sections are named, by its name.
type sectionKey struct {
	kind string
	name string
}

// String returns the heading of the section as written in the file.
func (k sectionKey) String() string {
	if k.name == "" {
		return k.kind
	}
	return k.kind + " " + k.name
}

// section is a section of a file.
type section struct {
	position match.Position     // of its heading; of the last heading if the section is duplicated, which is an error
	entries  map[string][]entry // by directive
}

// entry is one occurrence of a directive in a file.
type entry struct {
	position  match.Position
	directive string
	values    []value
}

// document is a parsed file including its included files.
type document struct {
	sections map[sectionKey]*section
	names    map[string][]string // names of the sections by kind, in order of appearance
}

func newDocument() *document {
	return &document{sections: map[sectionKey]*section{}, names: map[string][]string{}}
}

// unnamedKey returns the key of an unnamed section.
func unnamedKey(kind string) sectionKey { return sectionKey{kind: kind} }

// hasSection reports whether the document contains an unnamed section of a kind.
func (d *document) hasSection(kind string) bool { return d.sections[unnamedKey(kind)] != nil }

// occurrences returns the occurrences of a directive in a section, or nil if the section is not present.
func (d *document) occurrences(key sectionKey, directive string) []entry {
	if s := d.sections[key]; s != nil {
		return s.entries[directive]
	}
	return nil
}

// entries returns the occurrences of a directive in an unnamed section, or the default of the directive if there are
// none.
func (d *document) entries(kind, name string) []entry {
	if occurrences := d.occurrences(unnamedKey(kind), name); len(occurrences) > 0 {
		return occurrences
	}
	directive, ok := Lookup(kind, name)
	if !ok || directive.Default == "" {
		return nil
	}
	parsed, err := directive.Args[0].parse(token{text: directive.Default}, "")
	if err != nil {
		return nil // unreachable: a test parses every default
	}
	return []entry{{values: []value{parsed}}}
}

// texts returns the first argument of each occurrence of a directive.
func (d *document) texts(kind, name string) []string {
	var list []string
	for _, e := range d.entries(kind, name) {
		list = append(list, e.values[0].text)
	}
	return list
}

// text returns the first argument of a directive, or "" if the directive is not present and has no default.
func (d *document) text(kind, name string) string {
	if list := d.texts(kind, name); len(list) > 0 {
		return list[0]
	}
	return ""
}

// number returns the numeric value of a directive, in the unit of value.number, and whether the directive is present or
// has a default.
func (d *document) number(kind, name string) (number float64, isSet bool) {
	if entries := d.entries(kind, name); len(entries) > 0 {
		return entries[0].values[0].number, true
	}
	return 0, false
}

// duration returns the value of a Duration directive, or 0 if it is not present and has no default.
func (d *document) duration(kind, name string) time.Duration {
	number, _ := d.number(kind, name)
	return seconds(number)
}

// expression returns the first argument of a directive and its position. The result is the zero Expression if the
// directive is not present.
func (d *document) expression(key sectionKey, directive string) match.Expression {
	if occurrences := d.occurrences(key, directive); len(occurrences) > 0 {
		return occurrences[0].expression(0)
	}
	return match.Expression{}
}

// expression returns an argument and its position.
func (e entry) expression(arg int) match.Expression {
	position := e.position
	position.Column = e.values[arg].column
	return match.Expression{Position: position, Source: e.values[arg].text}
}
