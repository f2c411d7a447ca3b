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

// maxAnswerLineBytes is the longest line that an agent may write.
const maxAnswerLineBytes = 4 << 10

// An answer is a line of two to four words: call id, status, fields, and the length of the body that follows.
const (
	minAnswerWords = 2
	maxAnswerWords = 4
)

// The statuses of answers. Those of attempts are followed by a body, those of health checks need none.
const (
	statusOK    = "OK"
	statusMiss  = "MISS" // the function is not loaded there
	statusBusy  = "BUSY" // the worker sheds load
	statusError = "ERR"
	statusVoid  = "VOID" // the attempt was not run

	statusHealthy = "UP"
	statusDown    = "DOWN"
)

// answer is one answer of an agent.
type answer struct {
	id                  string
	status              string
	inFlightForFunction int // 0 if absent
	loadReport          *routing.LoadReport
	body                []byte
}

// errMalformedAnswer is wrapped by all errors of parseAnswer.
var errMalformedAnswer = errors.New("answer cannot be read")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformedAnswer, fmt.Sprintf(format, args...))
}

// parseAnswer parses the answer at the start of a buffer and returns its size in bytes, 0 if it is not complete.
// The body is part of the buffer and at most maxBody bytes long. After an error the connection is of no use.
//
// It guards against agents that write without end, or garbage: lines and bodies are bounded and every word must be
// valid. Garbage that runs into the next line must not be taken for an unknown id, or the answer on that line would be
// lost.
func parseAnswer(buffer []byte, maxBody int) (ans answer, size int, err error) {
	lineEnd := bytes.Index(buffer[:min(len(buffer), maxAnswerLineBytes)], crlf)
	if lineEnd < 0 {
		if len(buffer) >= maxAnswerLineBytes {
			return answer{}, 0, malformed("no line end in %d bytes", maxAnswerLineBytes)
		}
		return answer{}, 0, nil
	}
	words, err := splitAnswerLine(buffer[:lineEnd])
	if err != nil {
		return answer{}, 0, err
	}
	ans.id = words[0]
	ans.status = words[1]
	if len(words) > minAnswerWords {
		if err := ans.parseFields(words[2]); err != nil {
			return answer{}, 0, err
		}
	}
	bodyStart := lineEnd + len(crlf)
	if len(words) < maxAnswerWords {
		return ans, bodyStart, nil
	}
	length, err := strconv.ParseUint(words[3], 10, 32)
	if err != nil || length > uint64(maxBody) {
		return answer{}, 0, malformed("length %.20q", words[3])
	}
	bodyEnd := bodyStart + int(length)
	size = bodyEnd + len(crlf)
	if len(buffer) < size {
		return answer{}, 0, nil
	}
	if !bytes.Equal(buffer[bodyEnd:size], crlf) {
		return answer{}, 0, malformed("body of %d bytes runs on", length)
	}
	ans.body = buffer[bodyStart:bodyEnd]
	return ans, size, nil
}

// splitAnswerLine splits a line into words and checks their number against the status.
func splitAnswerLine(line []byte) ([]string, error) {
	if bytes.ContainsFunc(line, func(c rune) bool { return c < ' ' || c > '~' }) {
		return nil, malformed("%.20q", line)
	}
	words := strings.Split(string(line), " ")
	if len(words) < minAnswerWords || len(words) > maxAnswerWords || words[0] == "" {
		return nil, malformed("%d words", len(words))
	}
	switch status := words[1]; status {
	case statusOK, statusMiss, statusBusy, statusError, statusVoid:
		if len(words) != maxAnswerWords {
			return nil, malformed("%s of %d words", status, len(words))
		}
	case statusHealthy, statusDown:
	default:
		return nil, malformed("word %.20q", status)
	}
	return words, nil
}

// parseFields parses name=value,name=value, or - for none. Unknown names are skipped.
func (a *answer) parseFields(list string) error {
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
			a.inFlightForFunction = int(inFlight)
		case "l":
			report, err := parseLoadReport(value)
			if err != nil {
				return err
			}
			a.loadReport = report
		}
	}
	return nil
}

// unknownFigure is the value of a figure that a load report lacks.
const unknownFigure = -1

// parseLoadReport parses a load report, as in inflight:7;util:0.61. Unknown names are skipped.
func parseLoadReport(list string) (*routing.LoadReport, error) {
	report := &routing.LoadReport{
		InFlight:                    unknownFigure,
		QueueLength:                 unknownFigure,
		Utilization:                 unknownFigure,
		UnreclaimableMemoryFraction: unknownFigure,
		LoadsInProgress:             unknownFigure,
	}
	figures := map[string]*float64{
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
			return nil, malformed("report %.20q", field)
		}
		if figure := figures[name]; figure != nil {
			*figure = value
		}
	}
	return report, nil
}
