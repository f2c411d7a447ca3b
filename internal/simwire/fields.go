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
	absent    = "-" // denotes an absent value
)

// fields parses the values of a line one at a time and keeps the first error. Values returned after an error are
// meaningless.
type fields struct {
	name      string // message name, the first value of the line
	remaining string // values not parsed yet
	hasMore   bool   // whether remaining contains values
	parsed    int    // number of values parsed
	err       error
}

// splitLine separates the message name of a line from the values.
func splitLine(line string) *fields {
	f := &fields{}
	f.name, f.remaining, f.hasMore = strings.Cut(line, separator)
	return f
}

// fail records an error, unless one is recorded already.
func (f *fields) fail(what string) {
	if f.err == nil {
		f.err = errors.New(what)
	}
}

// failValue records that the last value parsed is invalid.
func (f *fields) failValue(value, expected string) {
	f.fail(fmt.Sprintf("value %d: %q: expected %s", f.parsed, value, expected))
}

// failMissing records that the next value is missing.
func (f *fields) failMissing() { f.fail(fmt.Sprintf("value %d is missing", f.parsed+1)) }

// next returns the next value.
func (f *fields) next() string {
	if !f.hasMore {
		f.failMissing()
		return ""
	}
	var value string
	value, f.remaining, f.hasMore = strings.Cut(f.remaining, separator)
	f.parsed++
	return value
}

// rest returns all values not parsed yet, including separators.
func (f *fields) rest() string {
	if !f.hasMore {
		f.failMissing()
	}
	f.hasMore = false
	return f.remaining
}

// end returns the first error. Values not parsed yet count as an error.
func (f *fields) end() error {
	if f.err == nil && f.hasMore {
		f.fail(fmt.Sprintf("more than the %d values expected", f.parsed))
	}
	return f.err
}

// text returns the next value, which must not be empty.
func (f *fields) text() string {
	value := f.next()
	if value == "" {
		f.fail(fmt.Sprintf("value %d: empty", f.parsed))
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

// optionalInteger returns the next value as an integer, or 0 if it is absent.
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

// optionalNumber returns the next value as a number, or defaultNumber if it is absent.
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

// millis returns the next value, in milliseconds, as a duration.
func (f *fields) millis() time.Duration { return fromMillis(f.parseNumber(f.next())) }

// optionalMillis returns the next value, in milliseconds, as a duration, or 0 if it is absent.
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

// loadReport returns the next value as the load report of a worker, or nil if it is absent or empty. Unknown metrics
// are skipped. Metrics missing from the report are set to unknownMetric.
func (f *fields) loadReport() *routing.LoadReport {
	value := f.next()
	if value == absent || value == "" {
		return nil
	}
	report := &routing.LoadReport{
		InFlight:                    unknownMetric,
		QueueLength:                 unknownMetric,
		Utilization:                 unknownMetric,
		UnreclaimableMemoryFraction: unknownMetric,
		LoadsInProgress:             unknownMetric,
	}
	for metric := range strings.SplitSeq(value, ",") {
		name, text, ok := strings.Cut(metric, ":")
		if !ok {
			f.failValue(metric, "name:value")
			return nil
		}
		if text == absent {
			continue
		}
		setLoadMetric(report, name, f.parseNumber(text))
	}
	return report
}

func setLoadMetric(report *routing.LoadReport, name string, number float64) {
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

// fromMillis converts milliseconds to a duration, rounded to a nanosecond.
func fromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// toMillis formats a duration in milliseconds, without rounding.
func toMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
