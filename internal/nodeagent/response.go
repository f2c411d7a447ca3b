package nodeagent

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"calicohill/routing"
)

// maxResponseLineBytes is the maximum length of the first line of a response.
const maxResponseLineBytes = 4 << 10

// The first line of a response has two to four words: call ID, status, fields, and the length of the body that follows.
const (
	minResponseWords = 2
	maxResponseWords = 4
)

// The statuses of responses. A response to an attempt has a body. A response to a health check may omit it.
const (
	statusOK    = "OK"
	statusMiss  = "MISS" // the function is not loaded on the worker
	statusBusy  = "BUSY" // the worker sheds load
	statusError = "ERR"
	statusVoid  = "VOID" // the worker did not run the attempt

	statusHealthy = "UP"
	statusDown    = "DOWN"
)

// response is an agent's response to a call.
type response struct {
	id                  string
	status              string
	inFlightForFunction int // 0 if absent
	loadReport          *routing.LoadReport
	body                []byte // nil if it is dropped
	skippedBytes        int    // length of a body that is dropped, with its line end; 0 for any other
}

// errMalformedResponse is wrapped by all errors of parseResponse.
var errMalformedResponse = errors.New("malformed response")

// errResponseTooLong is the reason for dropping a response whose body is over the limit.
var errResponseTooLong = errors.New("too long")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformedResponse, fmt.Sprintf(format, args...))
}

// parseResponse parses the response at the start of a buffer and returns its size in bytes, or 0 if it is incomplete.
// The body aliases the buffer and has at most maxBody bytes. A longer one is not part of the size: the caller skips it
// as it is received. After an error the connection is unusable.
//
// Agents may send garbage or unbounded data, so lines and bodies are limited and every word must be valid. If garbage
// in front of a valid line were accepted as an unknown call ID, the response on that line would be lost.
func parseResponse(buffer []byte, maxBody int) (resp response, size int, err error) {
	lineEnd := bytes.Index(buffer[:min(len(buffer), maxResponseLineBytes)], crlf)
	if lineEnd < 0 {
		if len(buffer) >= maxResponseLineBytes {
			return response{}, 0, malformed("no line end in the first %d bytes", maxResponseLineBytes)
		}
		return response{}, 0, nil
	}
	words, err := splitResponseLine(buffer[:lineEnd])
	if err != nil {
		return response{}, 0, err
	}
	resp.id = words[0]
	resp.status = words[1]
	if len(words) > minResponseWords {
		if err := resp.parseFields(words[2]); err != nil {
			return response{}, 0, err
		}
	}
	bodyStart := lineEnd + len(crlf)
	if len(words) < maxResponseWords {
		return resp, bodyStart, nil
	}
	length, err := strconv.ParseUint(words[3], 10, 32)
	if err != nil {
		return response{}, 0, malformed("body length %.20q", words[3])
	}
	if length > uint64(maxBody) {
		resp.skippedBytes = int(length) + len(crlf)
		return resp, bodyStart, nil
	}
	bodyEnd := bodyStart + int(length)
	size = bodyEnd + len(crlf)
	if len(buffer) < size {
		return response{}, 0, nil
	}
	if !bytes.Equal(buffer[bodyEnd:size], crlf) {
		return response{}, 0, malformed("body of %d bytes not followed by CRLF", length)
	}
	resp.body = buffer[bodyStart:bodyEnd]
	return resp, size, nil
}

// splitResponseLine splits a line into words and checks that their number fits the status.
func splitResponseLine(line []byte) ([]string, error) {
	if bytes.ContainsFunc(line, func(c rune) bool { return c < ' ' || c > '~' }) {
		return nil, malformed("unprintable character in line %.20q", line)
	}
	words := strings.Split(string(line), " ")
	if len(words) < minResponseWords || len(words) > maxResponseWords || words[0] == "" {
		return nil, malformed("line of %d words", len(words))
	}
	switch status := words[1]; status {
	case statusOK, statusMiss, statusBusy, statusError, statusVoid:
		if len(words) != maxResponseWords {
			return nil, malformed("status %s with %d words", status, len(words))
		}
	case statusHealthy, statusDown:
	default:
		return nil, malformed("unknown status %.20q", status)
	}
	return words, nil
}

// parseFields parses a list of the form name=value,name=value, or - for an empty list. It ignores unknown names.
func (r *response) parseFields(list string) error {
	if list == "-" {
		return nil
	}
	for field := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return malformed("field %.20q", field)
		}
		switch name {
		case "depth":
			inFlight, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return malformed("depth %.20q", value)
			}
			r.inFlightForFunction = int(inFlight)
		case "l":
			report, err := parseLoadReport(value)
			if err != nil {
				return err
			}
			r.loadReport = report
		}
	}
	return nil
}

// unreportedValue is the value of a metric that a load report omits.
const unreportedValue = -1

// parseLoadReport parses a load report such as inflight:7;util:0.61. It ignores unknown names.
func parseLoadReport(list string) (*routing.LoadReport, error) {
	report := &routing.LoadReport{
		InFlight:                    unreportedValue,
		QueueLength:                 unreportedValue,
		Utilization:                 unreportedValue,
		UnreclaimableMemoryFraction: unreportedValue,
		LoadsInProgress:             unreportedValue,
	}
	metrics := map[string]*float64{
		"inflight": &report.InFlight,
		"queue":    &report.QueueLength,
		"util":     &report.Utilization,
		"x0":       &report.UnreclaimableMemoryFraction,
		"x1":       &report.LoadsInProgress,
	}
	for field := range strings.SplitSeq(list, ";") {
		name, text, ok := strings.Cut(field, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return nil, malformed("load report item %.20q", field)
		}
		if metric := metrics[name]; metric != nil {
			*metric = value
		}
	}
	return report, nil
}
