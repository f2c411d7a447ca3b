package testbed

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// Log collects what the processes of a scheduler write, one after the other.
type Log struct {
	mu          sync.Mutex
	text        bytes.Buffer
	latestStart int // where the latest process began to write, in bytes
}

// Write implements io.Writer.
func (l *Log) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(text)
}

// String is all so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startProcess notes that another process writes from now on.
func (l *Log) startProcess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestStart = l.text.Len()
}

// Line is a line of a scheduler's log, by its fields.
type Line map[string]any

// Lines is the lines so far, those that are no JSON left out.
func (l *Log) Lines() []Line { return parseLog(l.String()) }

// Latest is the lines of the latest process.
func (l *Log) Latest() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return parseLog(l.text.String()[l.latestStart:])
}

// parseLog parses lines of JSON.
func parseLog(log string) []Line {
	var lines []Line
	for text := range strings.SplitSeq(log, "\n") {
		var line Line
		if json.Unmarshal([]byte(text), &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// Text is a field as text; empty without it.
func (l Line) Text(name string) string {
	text, _ := l[name].(string)
	return text
}

// Number is a field as a number; 0 without it.
func (l Line) Number(name string) float64 {
	number, _ := l[name].(float64)
	return number
}

// Time is when the line was written; the zero time where it doesn't say.
func (l Line) Time() time.Time {
	at, _ := time.Parse("2006-01-02T15:04:05.000Z07:00", l.Text("time"))
	return at
}
