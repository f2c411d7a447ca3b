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

// maxLine is the longest line that an agent may write.
const maxAnswerLineBytes = 4 << 10

// answer is one answer of an agent.
type answer struct {
	id, status          string
	inFlightForFunction int // 0 if absent
	loadReport          *routing.LoadReport
	body                []byte
}

var errMalformedAnswer = errors.New("answer cannot be read")

// parse reads the answer that a buffer begins with and tells how many bytes it takes, 0 if it is not whole yet.
// The body is part of the buffer, and no longer than a limit.
//
// Guards against an agent that writes without end or nonsense: lines and bodies are bounded, every word must
// be as the protocol has it, and an error is for good. Noise that runs into the next line must not pass for an
// unknown id, or that line's answer would never come.
func parseAnswer(b []byte, maxBody int) (a answer, n int, err error) {
	end := bytes.Index(b[:min(len(b), maxAnswerLineBytes)], crlf)
	if end < 0 {
		if len(b) >= maxAnswerLineBytes {
			return a, 0, fmt.Errorf("%w: no line end in %d bytes", errMalformedAnswer, maxAnswerLineBytes)
		}
		return a, 0, nil
	}
	if bytes.ContainsFunc(b[:end], func(c rune) bool { return c < ' ' || c > '~' }) {
		return a, 0, fmt.Errorf("%w: %.20q", errMalformedAnswer, b[:end])
	}
	words := strings.Split(string(b[:end]), " ")
	if len(words) < 2 || len(words) > 4 || words[0] == "" {
		return a, 0, fmt.Errorf("%w: %d words", errMalformedAnswer, len(words))
	}
	a.id, a.status = words[0], words[1]
	switch a.status {
	case "OK", "MISS", "BUSY", "ERR", "VOID":
		if len(words) != 4 {
			return a, 0, fmt.Errorf("%w: %s of %d words", errMalformedAnswer, a.status, len(words))
		}
	case "UP", "DOWN": // the answers to probes need no body
	default:
		return a, 0, fmt.Errorf("%w: word %.20q", errMalformedAnswer, a.status)
	}
	if len(words) > 2 {
		if err := a.parseFields(words[2]); err != nil {
			return a, 0, err
		}
	}
	n = end + len(crlf)
	if len(words) < 4 {
		return a, n, nil
	}
	length, err := strconv.ParseUint(words[3], 10, 32)
	if err != nil || length > uint64(maxBody) {
		return a, 0, fmt.Errorf("%w: length %.20q", errMalformedAnswer, words[3])
	}
	whole := n + int(length) + len(crlf)
	if len(b) < whole {
		return a, 0, nil
	}
	if !bytes.Equal(b[whole-len(crlf):whole], crlf) {
		return a, 0, fmt.Errorf("%w: body of %d bytes runs on", errMalformedAnswer, length)
	}
	a.body = b[n : n+int(length)]
	return a, whole, nil
}

// fields reads name=value,name=value, or - for none. Names that are not known are skipped.
func (a *answer) parseFields(list string) error {
	if list == "-" {
		return nil
	}
	for f := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(f, "=")
		if !ok || name == "" {
			return fmt.Errorf("%w: field %.20q", errMalformedAnswer, f)
		}
		switch name {
		case "depth":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return fmt.Errorf("%w: depth %.20q", errMalformedAnswer, value)
			}
			a.inFlightForFunction = int(n)
		case "l":
			r, err := parseLoadReport(value)
			if err != nil {
				return err
			}
			a.loadReport = r
		}
	}
	return nil
}

// parseReport reads a load report, as in inflight:7;util:0.61.
func parseLoadReport(list string) (*routing.LoadReport, error) {
	r := &routing.LoadReport{InFlight: -1, QueueLength: -1, Utilization: -1, MemoryHeldFraction: -1, LoadsInProgress: -1}
	known := map[string]*float64{
		"inflight": &r.InFlight, "queue": &r.QueueLength, "util": &r.Utilization,
		"x0": &r.MemoryHeldFraction, "x1": &r.LoadsInProgress,
	}
	for f := range strings.SplitSeq(list, ";") {
		name, value, ok := strings.Cut(f, ":")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return nil, fmt.Errorf("%w: report %.20q", errMalformedAnswer, f)
		}
		if p := known[name]; p != nil {
			*p = x
		}
	}
	return r, nil
}
