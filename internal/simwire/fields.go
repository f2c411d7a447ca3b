package simwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"calicohill/routing"
)

const (
	separator = "\t"
	absent    = "-" // stands for a value that is absent
)

// fields parses the values of a line one by one and keeps the first error. After an error the values are meaningless.
type fields struct {
	name  string // first value of the line, the message
	left  string // values that have not been parsed
	more  bool   // whether there are any
	count int    // of values parsed
	err   error
}

// splitLine separates the name of a line's message from its values.
func splitLine(line string) *fields {
	f := &fields{}
	f.name, f.left, f.more = strings.Cut(line, separator)
	return f
}

// fail records an error, unless there has been one.
func (f *fields) fail(what string) {
	if f.err == nil {
		f.err = errors.New(what)
	}
}

// failValue records that the value parsed last is not what was expected.
func (f *fields) failValue(value, expected string) {
	f.fail(fmt.Sprintf("value %d: %q: expected %s", f.count, value, expected))
}

// failMissing records that the line has too few values.
func (f *fields) failMissing() { f.fail(fmt.Sprintf("value %d is missing", f.count+1)) }

// next returns the next value.
func (f *fields) next() string {
	if !f.more {
		f.failMissing()
		return ""
	}
	var value string
	value, f.left, f.more = strings.Cut(f.left, separator)
	f.count++
	return value
}

// rest returns all values that have not been parsed, with their separators.
func (f *fields) rest() string {
	if !f.more {
		f.failMissing()
	}
	f.more = false
	return f.left
}

// end returns the first error; values that have not been parsed are one.
func (f *fields) end() error {
	if f.err == nil && f.more {
		f.fail(fmt.Sprintf("more than the %d values expected", f.count))
	}
	return f.err
}

// text returns a value that must not be empty.
func (f *fields) text() string {
	value := f.next()
	if value == "" {
		f.fail(fmt.Sprintf("value %d: empty", f.count))
	}
	return value
}

func (f *fields) unsigned() uint64 {
	value := f.next()
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.failValue(value, "a whole number")
	}
	return number
}

func (f *fields) integer() int { return f.parseInteger(f.next()) }

// optionalInteger returns 0 for an absent value.
func (f *fields) optionalInteger() int {
	value := f.next()
	if value == absent {
		return 0
	}
	return f.parseInteger(value)
}

func (f *fields) parseInteger(value string) int {
	number, err := strconv.Atoi(value)
	if err != nil {
		f.failValue(value, "an integer")
	}
	return number
}

// optionalNumber returns a default for an absent value.
func (f *fields) optionalNumber(defaultNumber float64) float64 {
	value := f.next()
	if value == absent {
		return defaultNumber
	}
	return f.parseNumber(value)
}

// parseNumber parses a finite number.
func (f *fields) parseNumber(value string) float64 {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.failValue(value, "a number")
		return 0
	}
	return number
}

// millis returns a time that is given in milliseconds.
func (f *fields) millis() time.Duration { return fromMillis(f.parseNumber(f.next())) }

// optionalMillis returns 0 for an absent value.
func (f *fields) optionalMillis() time.Duration { return fromMillis(f.optionalNumber(0)) }

func (f *fields) boolean() bool {
	value := f.next()
	if value != "0" && value != "1" {
		f.failValue(value, "0 or 1")
	}
	return value == "1"
}

var outcomeByName = map[string]routing.Outcome{
	"delivered":   routing.Served,
	"app_error":   routing.Errored,
	"shed":        routing.Shed,
	"expired":     routing.TimedOut,
	"dial_failed": routing.ConnectFailed,
	"dropped":     routing.ConnectionReset,
	"revoked":     routing.Canceled,
	"unused":      routing.NotSent,
	"empty":       routing.NotLoaded,
}

func (f *fields) outcome() routing.Outcome {
	value := f.next()
	outcome, ok := outcomeByName[value]
	if !ok {
		f.failValue(value, "an outcome")
	}
	return outcome
}

// loadReport returns a worker's load report; nil if the value is absent or empty. Figures that are not known here are
// skipped, and those that the report lacks are unknownCount.
func (f *fields) loadReport() *routing.LoadReport {
	value := f.next()
	if value == absent || value == "" {
		return nil
	}
	report := &routing.LoadReport{
		InFlight:                    unknownCount,
		QueueLength:                 unknownCount,
		Utilization:                 unknownCount,
		UnreclaimableMemoryFraction: unknownCount,
		LoadsInProgress:             unknownCount,
	}
	for figure := range strings.SplitSeq(value, ",") {
		name, text, ok := strings.Cut(figure, ":")
		if !ok {
			f.failValue(figure, "name:value")
			return nil
		}
		if text == absent {
			continue
		}
		setLoadFigure(report, name, f.parseNumber(text))
	}
	return report
}

func setLoadFigure(report *routing.LoadReport, name string, number float64) {
	switch name {
	case "inflight":
		report.InFlight = number
	case "queue":
		report.QueueLength = number
	case "util":
		report.Utilization = number
	case "x0":
		report.UnreclaimableMemoryFraction = number
	case "x1":
		report.LoadsInProgress = number
	}
}

// fromMillis converts milliseconds to a time, rounded to a nanosecond.
func fromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// toMillis formats a time in milliseconds, exactly.
func toMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
