package operatorfile

import (
	"fmt"
	"strings"

	"calicohill/internal/rules/match"

	"github.com/agnivade/levenshtein"
)

const (
	// maxErrors is how many errors are reported; a file of another format would yield thousands.
	maxErrors = 100
	// maxSuggestionDistance is the edit distance up to which a known word is suggested for an unknown one.
	maxSuggestionDistance = 2
)

// ParseError is one error in an operator's file. Line and Column count from 1, and are 0 where the file as a whole is
// meant. Directive is "" where the error is not in a directive.
type ParseError struct {
	match.Position
	Directive string
	Reason    string
}

// Error returns the position, the directive if there is one, and the reason.
func (e ParseError) Error() string {
	if e.Directive == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Reason)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Directive, e.Reason)
}

// ParseErrors is all the errors in an operator's file, in the order in which they were found. It is the error of Read and
// Compile.
type ParseErrors []ParseError

// Error returns the errors, a line each.
func (e ParseErrors) Error() string {
	lines := make([]string, len(e))
	for i, parseError := range e {
		lines[i] = parseError.Error()
	}
	return strings.Join(lines, "\n")
}

// add appends an error, unless there are maxErrors already.
func (e *ParseErrors) add(position match.Position, directive, format string, args ...any) {
	if len(*e) < maxErrors {
		*e = append(*e, ParseError{Position: position, Directive: directive, Reason: fmt.Sprintf(format, args...)})
	}
}

// suggestion returns the end of a message that suggests the most similar of the known words, or "" if none is similar.
func suggestion(unknown string, known []string) string {
	best := ""
	bestDistance := maxSuggestionDistance + 1
	for _, candidate := range known {
		if distance := levenshtein.ComputeDistance(unknown, candidate); distance < bestDistance {
			best = candidate
			bestDistance = distance
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}
