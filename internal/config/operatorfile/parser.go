// Package operatorfile reads the operator's file: settings of this installation that are not the platform's.
//
// The file is made of lines. A section begins with its name at the margin; the directives that belong to it
// follow, indented, a line each, as a name and arguments. '#' begins a comment, "..." holds what has blanks, with
// \" and \\ inside. A line "include FILE" at the margin reads another file in its place. The table in directives.go
// declares all sections and directives.
//
// Reading reports every fault of all files at once, and a file with a fault yields no settings at all.
package operatorfile

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
)

const (
	maxFile     = 1 << 20 // bytes of one file
	maxIncludes = 16      // files within one another
	maxFiles    = 64      // files in all
	maxExpr     = 2048    // bytes of an expression
	maxFaults   = 100     // that are told of; a file of another kind would bring thousands
	nearest     = 2       // changed letters up to which a known word is offered for an unknown one
)

// Fault is one thing wrong with a file.
type Fault struct {
	File         string
	Line, Column int // from 1; 0 where the file as a whole is meant
	Directive    string
	Reason       string
}

func (f Fault) Error() string {
	if f.Directive == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Reason)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Directive, f.Reason)
}

// Faults is all that is wrong with a file, in the order in which it stands there. It is the error of Read.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Entry is a directive as it stands in a file.
type Entry struct {
	Fault  // where it stands; no Reason
	values []value
}

// value is an argument that was understood.
type value struct {
	column int
	text   string
	number float64 // of a Duration in seconds, a Count, or a Share as a part of 1
}

// File is a file that was read, with those that it includes.
type File struct {
	sections map[string]map[string][]Entry // by section and directive; a section with a name stands as "match a"
	where    map[string]Fault              // where each section begins
	names    map[string][]string           // of the sections of a kind, in the order in which they stand
	faults   Faults
	read     int // files so far
}

// Parse reads a file and those that it includes. The error is Faults, and covers all of them.
func Parse(path string) (*File, error) {
	f := &File{sections: map[string]map[string][]Entry{}, where: map[string]Fault{}, names: map[string][]string{}}
	f.include(path, Fault{File: path}, nil)
	f.missing()
	if len(f.faults) > 0 {
		return nil, f.faults
	}
	return f, nil
}

func (f *File) fault(at Fault, format string, args ...any) {
	if len(f.faults) < maxFaults {
		at.Reason = fmt.Sprintf(format, args...)
		f.faults = append(f.faults, at)
	}
}

// include reads a file that another names at some place; the first is named by nobody.
func (f *File) include(path string, at Fault, within []string) {
	if slices.Contains(within, path) {
		f.fault(at, "%s includes itself", path)
		return
	}
	if f.read++; len(within) >= maxIncludes || f.read > maxFiles {
		f.fault(at, "too many files are included")
		return
	}
	info, err := os.Stat(path)
	if err == nil && !info.Mode().IsRegular() {
		err = errors.New("not a file")
	}
	if err == nil && info.Size() > maxFile {
		err = fmt.Errorf("%d bytes are over the %d that are read", info.Size(), maxFile)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		f.fault(at, "%v", err)
		return
	}
	section := ""
	n := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		n++
		at := Fault{File: path, Line: n}
		words, err := words(section, strings.TrimSuffix(line, "\r"))
		if err != nil {
			at.Column = err.column
			f.fault(at, "%s", err.reason)
			continue
		}
		if len(words) == 0 {
			continue
		}
		at.Column = words[0].column
		switch {
		case words[0].column > 1:
			f.directive(section, words, at)
		case words[0].text == "include":
			at.Directive = "include"
			if len(words) != 2 {
				f.fault(at, "takes the name of a file")
				continue
			}
			f.include(beside(path, words[1].text), at, append(within, path))
		default:
			section = f.begin(words, at)
		}
	}
}

// begin takes in the line that begins a section and returns its name, "?" if there is no such section.
func (f *File) begin(words []word, at Fault) string {
	name := words[0].text
	known := slices.ContainsFunc(Sections, func(s Section) bool { return s.Name == name })
	if known && len(words) == 2 && kindOf(name).Named != "" {
		own := words[1]
		if _, err := (Arg{Type: Word}).read(own, at.File); err != nil {
			at.Column = own.column
			f.fault(at, "section %s: %v", name, err)
			return "?"
		}
		full := name + " " + own.text
		if before, twice := f.where[full]; twice {
			f.fault(at, "section %s began in %s:%d already", full, before.File, before.Line)
		} else {
			f.names[name] = append(f.names[name], own.text)
		}
		f.where[full] = at
		if f.sections[full] == nil {
			f.sections[full] = map[string][]Entry{}
		}
		return full
	}
	before, twice := f.where[name]
	switch {
	case known && kindOf(name).Named != "":
		f.fault(at, "section %s needs a name: %s %s", name, name, kindOf(name).Named)
		return "?"
	case !known:
		names := []string{"include"}
		for _, s := range Sections {
			names = append(names, s.Name)
		}
		f.fault(at, "no section has the name %q%s; directives are indented", name, offer(name, names))
		return "?"
	case len(words) > 1:
		at.Column = words[1].column
		f.fault(at, "section %s takes no arguments", name)
	case twice:
		f.fault(at, "section %s began in %s:%d already", name, before.File, before.Line)
	}
	f.where[name] = at
	if f.sections[name] == nil {
		f.sections[name] = map[string][]Entry{}
	}
	return name
}

func (f *File) directive(section string, words []word, at Fault) {
	name := words[0].text
	at.Directive = name
	if section == "" {
		f.fault(at, "stands in no section")
		return
	}
	if section == "?" {
		return // told of already
	}
	kind, _, _ := strings.Cut(section, " ")
	d, ok := Lookup(kind, name)
	if !ok {
		var names []string
		for _, d := range Directives {
			if d.Section == kind {
				names = append(names, d.Name)
			}
		}
		f.fault(at, "section %s has no such directive%s", kind, offer(name, names))
		return
	}
	entries := f.sections[section][name]
	if len(entries) > 0 && !d.Repeated {
		f.fault(at, "stands twice, first in %s:%d", entries[0].File, entries[0].Line)
		return
	}
	e := Entry{Fault: at}
	for i, a := range d.Args {
		if i+1 >= len(words) {
			if !a.Optional {
				f.fault(at, "%s is missing: %s", a.Name, a.describe())
				return
			}
			break
		}
		w := words[i+1]
		v, err := a.read(w, at.File)
		if err != nil {
			at.Column = w.column
			f.fault(at, "%v", err)
			return
		}
		e.values = append(e.values, v)
	}
	if extra := len(d.Args) + 1; len(words) > extra {
		at.Column = words[extra].column
		f.fault(at, "%q is too much: it takes %s", words[extra].text, d.usage())
		return
	}
	f.sections[section][name] = append(entries, e)
}

// missing tells of sections without what they need.
func (f *File) missing() {
	for _, d := range Directives {
		if !d.Required {
			continue
		}
		for _, section := range slices.Sorted(maps.Keys(f.where)) {
			kind, _, _ := strings.Cut(section, " ")
			spoilt := slices.ContainsFunc(f.faults, func(o Fault) bool { return o.Directive == d.Name })
			if kind == d.Section && len(f.sections[section][d.Name]) == 0 && !spoilt {
				at := f.where[section]
				at.Directive = d.Name
				f.fault(at, "section %s needs it: %s", section, d.usage())
			}
		}
	}
}

// word is one word of a line, and the column that it begins in.
type word struct {
	text   string
	column int
}

type badLine struct {
	column int
	reason string
}

func kindOf(section string) Section {
	return Sections[slices.IndexFunc(Sections, func(s Section) bool { return s.Name == section })]
}

// words takes a line of a section apart. Where a directive takes an expression, that is one word and goes on to the
// end of the line, or to a comment outside its quotes.
func words(section, line string) ([]word, *badLine) {
	kind, _, _ := strings.Cut(section, " ")
	first, _, err := split(line, 1)
	if err == nil && len(first) == 1 && first[0].column > 1 {
		if d, ok := Lookup(kind, first[0].text); ok {
			if i := slices.IndexFunc(d.Args, func(a Arg) bool { return a.Type == Expr }); i >= 0 {
				head, rest, err := split(line, 1+i)
				if err != nil || len(head) <= i {
					return head, err
				}
				text := uncomment(line[rest:])
				lead := len(text) - len(strings.TrimLeft(text, " \t"))
				if text = strings.TrimSpace(text); text != "" {
					head = append(head, word{text, rest + lead + 1})
				}
				return head, nil
			}
		}
	}
	all, _, err := split(line, math.MaxInt)
	return all, err
}

// uncomment cuts a comment off an expression.
func uncomment(s string) string {
	var quote byte
	for i := 0; i < len(s); i++ {
		switch {
		case quote != 0 && s[i] == '\\':
			i++
		case quote != 0 && s[i] == quote:
			quote = 0
		case quote == 0 && (s[i] == '"' || s[i] == '\''):
			quote = s[i]
		case quote == 0 && s[i] == '#':
			return s[:i]
		}
	}
	return s
}

// split takes the first words of a line, and tells where the rest begins.
func split(line string, most int) (words []word, rest int, bad *badLine) {
	i := 0
	for i < len(line) && len(words) < most {
		switch c := line[i]; {
		case c == ' ' || c == '\t':
			i++
		case c == '#':
			return words, len(line), nil
		case c == '"':
			text, n := unquote(line[i:])
			if n == 0 {
				return nil, 0, &badLine{i + 1, "a quoted word does not end"}
			}
			if end := i + n; end < len(line) && !strings.ContainsRune(" \t#", rune(line[end])) {
				return nil, 0, &badLine{end + 1, "a blank must follow a quoted word"}
			}
			words = append(words, word{text, i + 1})
			i += n
		case c < ' ' || c == 0x7f:
			return nil, 0, &badLine{i + 1, fmt.Sprintf("the character %q has no place here", c)}
		default:
			end := i
			for end < len(line) && line[end] > ' ' && line[end] != '"' && line[end] != '#' && line[end] != 0x7f {
				end++
			}
			if end < len(line) && line[end] == '"' {
				return nil, 0, &badLine{end + 1, "a blank must stand before a quoted word"}
			}
			words = append(words, word{line[i:end], i + 1})
			i = end
		}
	}
	return words, i, nil
}

// unquote reads the quoted word that a text begins with and tells how many bytes it takes, 0 if it does not end.
func unquote(s string) (string, int) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '"':
			return b.String(), i + 1
		case s[i] == '\\' && i+1 < len(s) && (s[i+1] == '"' || s[i+1] == '\\'):
			i++
			b.WriteByte(s[i])
		default:
			b.WriteByte(s[i])
		}
	}
	return "", 0
}

// offer names the nearest known word.
func offer(name string, known []string) string {
	best, least := "", nearest+1
	for _, k := range known {
		if n := levenshtein.ComputeDistance(name, k); n < least {
			best, least = k, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(": is %q meant?", best)
}

// beside takes a file's name from the folder of the one that names it.
func beside(file, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(file), name)
}

// read understands an argument, or says why it can't.
func (a Arg) read(w word, file string) (value, error) {
	v := value{column: w.column, text: w.text}
	bad := fmt.Errorf("%q is no %s: %s", w.text, a.Type, a.describe())
	switch a.Type {
	case Word:
		if w.text == "" || len(w.text) > 64 || strings.ContainsFunc(w.text, func(r rune) bool {
			return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
		}) {
			return v, bad
		}
	case Choice:
		if !slices.Contains(a.Words, w.text) {
			return v, fmt.Errorf("%q is none of %s%s", w.text, strings.Join(a.Words, ", "), offer(w.text, a.Words))
		}
	case Address:
		if _, err := netip.ParseAddrPort(w.text); err != nil {
			return v, bad
		}
	case Path:
		if w.text == "" {
			return v, bad
		}
		v.text = beside(file, w.text)
	case Duration, Count, Share:
		return a.number(v, bad)
	case Expr:
		if len(w.text) > maxExpr {
			return v, fmt.Errorf("%d bytes are over the %d that an expression may have", len(w.text), maxExpr)
		}
	}
	return v, nil
}

func (a Arg) number(v value, bad error) (value, error) {
	text, factor := v.text, 1.0
	units := map[Type][]unit{Duration: durationUnits, Share: {{"%", 1}}}[a.Type]
	for _, u := range units {
		if rest, ok := strings.CutSuffix(text, u.name); ok {
			text, factor = rest, u.in
			units = nil
			break
		}
	}
	x, err := strconv.ParseFloat(text, 64)
	whole := a.Type != Count || x == math.Trunc(x)
	// ParseFloat takes exponents, signs and names of numbers; people who write settings mean none of these.
	if err != nil || len(units) > 0 || !whole || strings.Trim(text, "0123456789.") != "" {
		return v, bad
	}
	if x *= factor; x < a.Least || x > a.Most {
		return v, fmt.Errorf("%s is out of range: %s", v.text, a.describe())
	}
	if v.number = x; a.Type == Share {
		v.number = x / 100
	}
	return v, nil
}

// describe says what an argument must be.
func (a Arg) describe() string {
	switch a.Type {
	case Choice:
		return "one of " + strings.Join(a.Words, ", ")
	case Duration:
		return fmt.Sprintf("a time from %s to %s, as in 300ms", seconds(a.Least), seconds(a.Most))
	case Count:
		return fmt.Sprintf("a whole number from %.0f to %.0f", a.Least, a.Most)
	case Share:
		return fmt.Sprintf("a share from %.0f%% to %.0f%%", a.Least, a.Most)
	case Address:
		return "an IP address and a port, as in 127.0.0.1:7946"
	case Path:
		return "the name of a file"
	case Expr:
		return fmt.Sprintf("an expression of up to %d bytes, to the end of the line", maxExpr)
	default: // Word
		return "letters, digits, '-', '_' and '.', 64 at most"
	}
}

// usage shows a directive with its arguments.
func (d Directive) usage() string {
	words := []string{d.Name}
	for _, a := range d.Args {
		if a.Optional {
			words = append(words, "["+a.Name+"]")
		} else {
			words = append(words, a.Name)
		}
	}
	return strings.Join(words, " ")
}

// Has reports whether a file has a section.
func (f *File) Has(section string) bool { return f.sections[section] != nil }

// entries returns what stands in a file for a directive, or its default.
func (f *File) entries(section, name string) []Entry {
	if e := f.sections[section][name]; len(e) > 0 {
		return e
	}
	d, ok := Lookup(section, name)
	if !ok || d.Default == "" {
		return nil
	}
	v, err := d.Args[0].read(word{text: d.Default}, "")
	if err != nil {
		return nil // a test reads every default
	}
	return []Entry{{values: []value{v}}}
}

// Texts is the first argument of each entry of a directive.
func (f *File) Texts(section, name string) (list []string) {
	for _, e := range f.entries(section, name) {
		list = append(list, e.values[0].text)
	}
	return list
}

// String is the first argument of a directive, "" if it does not stand there and has no default.
func (f *File) String(section, name string) string {
	if list := f.Texts(section, name); len(list) > 0 {
		return list[0]
	}
	return ""
}

// Number is the figure that a directive gives: a Duration in seconds, a Count, or a Share as a
// part of 1.
func (f *File) Number(section, name string) (x float64, given bool) {
	if e := f.entries(section, name); len(e) > 0 {
		return e[0].values[0].number, true
	}
	return 0, false
}

// Time is the duration that a directive gives.
func (f *File) Time(section, name string) time.Duration {
	x, _ := f.Number(section, name)
	return seconds(x)
}
