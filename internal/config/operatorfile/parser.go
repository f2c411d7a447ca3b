// Package operatorfile reads the operator's file, which contains the settings of an installation that are not in the
// platform's file.
//
// A section begins with an unindented heading. Its directives follow on indented lines, each with a name and arguments.
// '#' begins a comment, and "..." quotes a word that contains blanks, with \" and \\ as escapes. An unindented line
// "include FILE" is replaced by the lines of that file. directives.go declares all sections and directives; the
// commented example and the reference page are generated from it.
//
// Read returns all errors of all files at once. A file with an error yields no settings.
package operatorfile

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"calicohill/internal/rules/match"
)

const (
	maxFileBytes    = 1 << 20
	maxIncludeDepth = 16
	maxFiles        = 64 // total number of files, including the first
)

// includeDirective is the unindented directive that includes another file.
const includeDirective = "include"

// parser reads a file and its included files into a document and collects their errors.
type parser struct {
	document  *document
	errors    ParseErrors
	filesRead int
}

// parse reads a file and its included files. The error has type ParseErrors and contains the errors of all files.
func parse(path string) (*document, error) {
	p := parser{document: newDocument()}
	p.parseFile(path, match.Position{File: path}, "", nil)
	p.checkRequired()
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.document, nil
}

// parseFile reads a file. position and directive describe the line that includes the file, and ancestors are the
// including files, outermost first.
func (p *parser) parseFile(path string, position match.Position, directive string, ancestors []string) {
	if slices.Contains(ancestors, path) {
		p.errors.add(position, directive, "%s includes itself", path)
		return
	}
	p.filesRead++
	if len(ancestors) >= maxIncludeDepth || p.filesRead > maxFiles {
		p.errors.add(position, directive, "too many included files: at most %d in all, nested at most %d deep", maxFiles-1, maxIncludeDepth-1)
		return
	}
	text, err := readFile(path)
	if err != nil {
		p.errors.add(position, directive, "%v", err)
		return
	}
	fp := fileParser{parser: p, path: path, ancestors: ancestors}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		fp.parseLine(strings.TrimSuffix(line, "\r"), match.Position{File: path, Line: number})
	}
}

// readFile reads a regular file. It returns an error for a file larger than maxFileBytes.
func readFile(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if !info.Mode().IsRegular() {
		return "", errors.New("not a regular file")
	}
	if info.Size() > maxFileBytes {
		return "", fmt.Errorf("file of %d bytes exceeds the maximum of %d", info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	return string(text), err
}

// checkRequired reports sections without a required directive, unless an error in a directive with this name is already
// reported.
func (p *parser) checkRequired() {
	byHeading := func(a, b sectionKey) int { return strings.Compare(a.String(), b.String()) }
	keys := slices.SortedFunc(maps.Keys(p.document.sections), byHeading)
	for _, directive := range Directives {
		if !directive.Required {
			continue
		}
		for _, key := range keys {
			if key.kind != directive.Section || len(p.document.occurrences(key, directive.Name)) > 0 || p.hasErrorIn(directive.Name) {
				continue
			}
			p.errors.add(p.document.sections[key].position, directive.Name, "required in section %s: %s", key, directive.usage())
		}
	}
}

// hasErrorIn reports whether there is already an error in a directive with this name.
func (p *parser) hasErrorIn(directive string) bool {
	return slices.ContainsFunc(p.errors, func(e ParseError) bool { return e.Directive == directive })
}

// fileParser reads the lines of one file.
type fileParser struct {
	*parser
	path      string
	ancestors []string

	// current is the section that contains the following directives, or the zero key before the first heading.
	current sectionKey
	// skipping is true after an invalid heading. The heading is reported as an error, and directives below it are
	// skipped.
	skipping bool
}

// parseLine parses a line. position contains the file and line number; parseLine sets the column.
func (p *fileParser) parseLine(line string, position match.Position) {
	tokens, err := splitLine(p.current.kind, line)
	var lexical *lexicalError
	if errors.As(err, &lexical) {
		position.Column = lexical.column
		p.errors.add(position, "", "%s", lexical.reason)
		return
	}
	if len(tokens) == 0 {
		return
	}
	position.Column = tokens[0].column
	switch {
	case tokens[0].column > 1:
		p.parseDirective(tokens, position)
	case tokens[0].text == includeDirective:
		p.parseInclude(tokens, position)
	default:
		p.parseHeading(tokens, position)
	}
}

// parseInclude parses an include directive and reads the included file.
func (p *fileParser) parseInclude(tokens []token, position match.Position) {
	arguments := tokens[1:]
	if len(arguments) != 1 {
		p.errors.add(position, includeDirective, "takes one argument: include FILE")
		return
	}
	ancestors := append(slices.Clone(p.ancestors), p.path)
	p.parseFile(resolvePath(p.path, arguments[0].text), position, includeDirective, ancestors)
}

// parseHeading parses a section heading. The section becomes the current one.
func (p *fileParser) parseHeading(tokens []token, position match.Position) {
	kind, arguments := tokens[0].text, tokens[1:]
	declared, known := lookupSection(kind)
	p.current = sectionKey{}
	p.skipping = true
	switch {
	case !known:
		names := []string{includeDirective}
		for _, s := range Sections {
			names = append(names, s.Name)
		}
		p.errors.add(position, "", "unknown section %q; directives must be indented%s", kind, suggestion(kind, names))
	case declared.Named == "":
		p.beginUnnamedSection(kind, arguments, position)
	case len(arguments) != 1:
		p.errors.add(position, "", "section %s needs a name: %s %s", kind, kind, declared.Named)
	default:
		p.beginNamedSection(kind, arguments[0], position)
	}
}

// beginUnnamedSection begins an unnamed section, which may appear once. It becomes the current section even if its
// heading is invalid.
func (p *fileParser) beginUnnamedSection(kind string, arguments []token, position match.Position) {
	key := unnamedKey(kind)
	previous := p.document.sections[key]
	switch {
	case len(arguments) > 0:
		position.Column = arguments[0].column
		p.errors.add(position, "", "section %s takes no arguments", kind)
	case previous != nil:
		p.errors.add(position, "", "duplicate section %s, first in %s:%d", kind, previous.position.File, previous.position.Line)
	}
	p.beginSection(key, position)
}

// beginNamedSection begins a named section. The name must be unique among sections of its kind.
func (p *fileParser) beginNamedSection(kind string, name token, position match.Position) {
	if _, err := (Arg{Type: Identifier}).parse(name, position.File); err != nil {
		position.Column = name.column
		p.errors.add(position, "", "section %s: %v", kind, err)
		return
	}
	key := sectionKey{kind: kind, name: name.text}
	if previous := p.document.sections[key]; previous != nil {
		p.errors.add(position, "", "duplicate section %s, first in %s:%d", key, previous.position.File, previous.position.Line)
	} else {
		p.document.names[kind] = append(p.document.names[kind], name.text)
	}
	p.beginSection(key, position)
}

// beginSection sets the current section. It adds the section to the document, or updates its position if it exists.
func (p *fileParser) beginSection(key sectionKey, position match.Position) {
	p.current = key
	p.skipping = false
	if s := p.document.sections[key]; s != nil {
		s.position = position
		return
	}
	p.document.sections[key] = &section{position: position, entries: map[string][]entry{}}
}

// parseDirective parses a directive of the current section.
func (p *fileParser) parseDirective(tokens []token, position match.Position) {
	name := tokens[0].text
	if p.skipping {
		return // the heading is already reported
	}
	if p.current == (sectionKey{}) {
		p.errors.add(position, name, "directive outside any section")
		return
	}
	directive, ok := Lookup(p.current.kind, name)
	if !ok {
		p.reportUnknownDirective(name, position)
		return
	}
	entries := p.document.sections[p.current].entries
	if previous := entries[name]; len(previous) > 0 && !directive.Repeated {
		p.errors.add(position, name, "duplicate directive, first in %s:%d", previous[0].position.File, previous[0].position.Line)
		return
	}
	values, ok := p.parseArguments(directive, tokens[1:], position)
	if ok {
		entries[name] = append(entries[name], entry{position: position, directive: name, values: values})
	}
}

func (p *fileParser) reportUnknownDirective(name string, position match.Position) {
	var known []string
	for _, directive := range directivesOf(p.current.kind) {
		known = append(known, directive.Name)
	}
	p.errors.add(position, name, "unknown directive in section %s%s", p.current.kind, suggestion(name, known))
}

// parseArguments parses the arguments of a directive and reports whether they are valid.
func (p *fileParser) parseArguments(directive Directive, tokens []token, position match.Position) ([]value, bool) {
	var values []value
	for i, arg := range directive.Args {
		if i >= len(tokens) {
			if !arg.Optional {
				p.errors.add(position, directive.Name, "missing argument %s: %s", arg.Name, arg.validValues())
				return nil, false
			}
			break
		}
		parsed, err := arg.parse(tokens[i], position.File)
		if err != nil {
			position.Column = tokens[i].column
			p.errors.add(position, directive.Name, "%v", err)
			return nil, false
		}
		values = append(values, parsed)
	}
	if len(tokens) > len(directive.Args) {
		extra := tokens[len(directive.Args)]
		position.Column = extra.column
		p.errors.add(position, directive.Name, "unexpected argument %q; usage: %s", extra.text, directive.usage())
		return nil, false
	}
	return values, true
}
