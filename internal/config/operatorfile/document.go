package operatorfile

import (
	"time"

	"calicohill/internal/rules/match"
)

// sectionKey identifies a section: its kind, and its own name where sections of the kind have one.
type sectionKey struct {
	kind string
	name string
}

// String returns the section's heading as it appears in the file.
func (k sectionKey) String() string {
	if k.name == "" {
		return k.kind
	}
	return k.kind + " " + k.name
}

// section is a section of a file.
type section struct {
	position match.Position     // of its heading; the last one if it was repeated in error
	entries  map[string][]entry // by directive
}

// entry is one occurrence of a directive in a file.
type entry struct {
	position  match.Position
	directive string
	values    []value
}

// document is a parsed file, together with the files that it includes.
type document struct {
	sections map[sectionKey]*section
	names    map[string][]string // the names of the sections of a kind, in order of appearance
}

func newDocument() *document {
	return &document{sections: map[sectionKey]*section{}, names: map[string][]string{}}
}

// unnamed returns the key of a section that has no name of its own.
func unnamed(kind string) sectionKey { return sectionKey{kind: kind} }

// has reports whether a section without a name of its own is present.
func (d *document) has(kind string) bool { return d.sections[unnamed(kind)] != nil }

// occurrences returns the occurrences of a directive, none if its section is not present.
func (d *document) occurrences(key sectionKey, directive string) []entry {
	if s := d.sections[key]; s != nil {
		return s.entries[directive]
	}
	return nil
}

// entries returns the occurrences of a directive in a section without a name of its own or, if there are none, its default.
func (d *document) entries(kind, name string) []entry {
	if occurrences := d.occurrences(unnamed(kind), name); len(occurrences) > 0 {
		return occurrences
	}
	directive, ok := Lookup(kind, name)
	if !ok || directive.Default == "" {
		return nil
	}
	parsed, err := directive.Args[0].parse(token{text: directive.Default}, "")
	if err != nil {
		return nil // a test parses every default
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

// text returns the first argument of a directive, or "" if it is not present and has no default.
func (d *document) text(kind, name string) string {
	if list := d.texts(kind, name); len(list) > 0 {
		return list[0]
	}
	return ""
}

// number returns the number that a directive gives, in the unit of value.number, and whether it gives one.
func (d *document) number(kind, name string) (number float64, given bool) {
	if entries := d.entries(kind, name); len(entries) > 0 {
		return entries[0].values[0].number, true
	}
	return 0, false
}

// duration returns the duration that a directive gives, or 0.
func (d *document) duration(kind, name string) time.Duration {
	number, _ := d.number(kind, name)
	return seconds(number)
}

// expression returns the first argument of a directive with its position, or the zero Expression if the directive is not
// present.
func (d *document) expression(key sectionKey, directive string) match.Expression {
	if occurrences := d.occurrences(key, directive); len(occurrences) > 0 {
		return occurrences[0].expression(0)
	}
	return match.Expression{}
}

// expression returns an argument with its position.
func (e entry) expression(arg int) match.Expression {
	position := e.position
	position.Column = e.values[arg].column
	return match.Expression{Position: position, Source: e.values[arg].text}
}
