package operatorfile

import (
	"fmt"
	"math"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxIdentifierBytes = 64
	maxExpressionBytes = 2048
	perCent            = 100

	secondsPerMinute = 60
	secondsPerHour   = 60 * secondsPerMinute
	secondsPerDay    = 24 * secondsPerHour
)

// value is a parsed argument of a directive.
type value struct {
	column int
	text   string
	number float64 // of a Duration in seconds, a Count, or a Percentage as a fraction of 1
}

// unit is a unit of measurement that follows a number.
type unit struct {
	suffix string
	factor float64
}

// durationUnits are the units of a Duration with their factors in seconds. A unit that is a suffix of other units
// follows them, because the first matching suffix is used.
var durationUnits = []unit{{"d", secondsPerDay}, {"h", secondsPerHour}, {"m", secondsPerMinute}, {"ms", 1e-3}, {"us", 1e-6}, {"s", 1}}

// percentageUnits are the units of a Percentage.
var percentageUnits = []unit{{"%", 1}}

// seconds converts a number of seconds into a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// parse validates and converts an argument. file is the file that contains the argument.
func (a Arg) parse(tok token, file string) (value, error) {
	parsed := value{column: tok.column, text: tok.text}
	switch a.Type {
	case Identifier:
		if !isIdentifier(tok.text) {
			return value{}, a.mismatch(tok)
		}
	case Choice:
		if !slices.Contains(a.Choices, tok.text) {
			return value{}, fmt.Errorf("%q is not one of %s%s", tok.text, strings.Join(a.Choices, ", "), suggestion(tok.text, a.Choices))
		}
	case Address:
		if _, err := netip.ParseAddrPort(tok.text); err != nil {
			return value{}, a.mismatch(tok)
		}
	case Path:
		if tok.text == "" {
			return value{}, a.mismatch(tok)
		}
		parsed.text = resolvePath(file, tok.text)
	case Duration, Count, Percentage:
		number, err := a.parseNumber(tok)
		parsed.number = number
		return parsed, err
	case Expr:
		if len(tok.text) > maxExpressionBytes {
			return value{}, fmt.Errorf("expression of %d bytes exceeds the maximum of %d", len(tok.text), maxExpressionBytes)
		}
	}
	return parsed, nil
}

// mismatch returns the error for an argument that is not valid for its type.
func (a Arg) mismatch(tok token) error {
	return fmt.Errorf("%q is not a valid %s: expected %s", tok.text, a.Type, a.validValues())
}

// isIdentifier reports whether text is a valid Identifier.
func isIdentifier(text string) bool {
	return text != "" && len(text) <= maxIdentifierBytes && !strings.ContainsFunc(text, func(r rune) bool { return !isIdentifierRune(r) })
}

func isIdentifierRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune("-_.", r)
	}
}

// parseNumber parses a Duration, Count or Percentage to the unit of value.number.
func (a Arg) parseNumber(tok token) (float64, error) {
	digits, factor, ok := a.cutUnit(tok.text)
	number, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil {
		return 0, a.mismatch(tok)
	}
	// ParseFloat also accepts exponents, signs, "inf" and "nan", which are not valid in a setting.
	if strings.Trim(digits, "0123456789.") != "" {
		return 0, a.mismatch(tok)
	}
	if a.Type == Count && number != math.Trunc(number) {
		return 0, a.mismatch(tok)
	}
	number *= factor
	if number < a.Min || number > a.Max {
		return 0, fmt.Errorf("%s is out of range: expected %s", tok.text, a.validValues())
	}
	if a.Type == Percentage {
		number /= perCent
	}
	return number, nil
}

// cutUnit removes the unit from a number and returns the factor of the unit. It returns false if a required unit is
// missing.
func (a Arg) cutUnit(text string) (digits string, factor float64, ok bool) {
	var units []unit
	switch a.Type {
	case Duration:
		units = durationUnits
	case Percentage:
		units = percentageUnits
	default:
		return text, 1, true
	}
	for _, candidate := range units {
		if digits, ok := strings.CutSuffix(text, candidate.suffix); ok {
			return digits, candidate.factor, true
		}
	}
	return text, 1, false
}

// resolvePath resolves a file name relative to the directory of the file that contains the name.
func resolvePath(namedIn, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(namedIn), name)
}

// validValues describes the valid values of an argument for error messages and documentation.
func (a Arg) validValues() string {
	switch a.Type {
	case Choice:
		return "one of " + strings.Join(a.Choices, ", ")
	case Duration:
		return fmt.Sprintf("a duration from %s to %s, such as 300ms", seconds(a.Min), seconds(a.Max))
	case Count:
		return fmt.Sprintf("a whole number from %.0f to %.0f", a.Min, a.Max)
	case Percentage:
		return fmt.Sprintf("a percentage from %.0f%% to %.0f%%", a.Min, a.Max)
	case Address:
		return "an IP address and a port, such as 127.0.0.1:7946"
	case Path:
		return "the path of a file"
	case Expr:
		return fmt.Sprintf("an expression of up to %d bytes, to the end of the line", maxExpressionBytes)
	default: // Identifier
		return fmt.Sprintf("letters, digits, '-', '_' and '.', at most %d bytes", maxIdentifierBytes)
	}
}

// usage returns the syntax of a directive with the placeholders of its arguments.
func (d Directive) usage() string {
	words := []string{d.Name}
	for _, arg := range d.Args {
		if arg.Optional {
			words = append(words, "["+arg.Name+"]")
		} else {
			words = append(words, arg.Name)
		}
	}
	return strings.Join(words, " ")
}
