package operatorfile

import (
	"fmt"
	"strings"

	"calicohill/internal/rules/match"

	"github.com/agnivade/levenshtein"
)

const (
	// maxErrors limits the reported errors, because a file of a different format would cause thousands.
	maxErrors = 100
	// maxSuggestionDistance is the maximum edit distance between an unknown word and the known word suggested for it.
	maxSuggestionDistance = 2
)

// ParseError is an error in an operator's file. Line and Column count from 1; they are 0 if the error concerns the
// whole file. Directive is "" if the error is not in a directive.
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

// ParseErrors contains the errors in an operator's file, in the order of detection. Read and Compile return errors of
// this type.
type ParseErrors []ParseError

// Error returns the errors, one per line.
func (e ParseErrors) Error() string {
	lines := make([]string, len(e))
	for i, parseError := range e {
		lines[i] = parseError.Error()
	}
	return strings.Join(lines, "\n")
}

// add appends an error unless there are already maxErrors errors.
func (e *ParseErrors) add(position match.Position, directive, format string, args ...any) {
	if len(*e) < maxErrors {
		*e = append(*e, ParseError{Position: position, Directive: directive, Reason: fmt.Sprintf(format, args...)})
	}
}

// suggestion returns a suffix for an error message that suggests the most similar known word, or "" if none is similar.
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
