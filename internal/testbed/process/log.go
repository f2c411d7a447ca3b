package process

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

// String returns the text so far.
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

// Lines returns the lines so far that are JSON.
func (l *Log) Lines() []Line { return parseLog(l.String()) }

// Latest returns those lines that the latest process wrote.
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

// Text returns a field as text; empty without it.
func (l Line) Text(name string) string {
	text, _ := l[name].(string)
	return text
}

// Number returns a field as a number; 0 without it.
func (l Line) Number(name string) float64 {
	number, _ := l[name].(float64)
	return number
}

// Time returns when the line was written; the zero time where it doesn't say.
func (l Line) Time() time.Time {
	at, _ := time.Parse("2006-01-02T15:04:05.000Z07:00", l.Text("time"))
	return at
}
