package process

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// Log collects the output of a scheduler's successive processes.
type Log struct {
	mu           sync.Mutex
	text         bytes.Buffer
	latestOffset int           // byte offset of the latest process's output
	nextWrite    chan struct{} // closed at the next write; nil without waiters
}

// Write implements io.Writer.
func (l *Log) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextWrite != nil {
		close(l.nextWrite)
		l.nextWrite = nil
	}
	return l.text.Write(text)
}

// WaitFor waits until the text so far satisfies a condition. It returns the context's error if the context ends first.
func (l *Log) WaitFor(ctx context.Context, satisfied func(text string) bool) error {
	for {
		text, nextWrite := l.snapshot()
		if satisfied(text) {
			return nil
		}
		select {
		case <-nextWrite:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// snapshot returns the text so far and a channel that is closed at the next write.
func (l *Log) snapshot() (text string, nextWrite <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextWrite == nil {
		l.nextWrite = make(chan struct{})
	}
	return l.text.String(), l.nextWrite
}

// LastLines returns the last lines of the text so far, at most count.
func (l *Log) LastLines(count int) string {
	lines := strings.Split(strings.TrimSuffix(l.String(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// String returns the text so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startProcess marks the start of a new process's output.
func (l *Log) startProcess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestOffset = l.text.Len()
}

// LogLine is a line of a scheduler's log. It maps field names to values.
type LogLine map[string]any

// Lines returns the JSON lines so far.
func (l *Log) Lines() []LogLine { return parseLog(l.String()) }

// LatestLines returns the JSON lines of the latest process.
func (l *Log) LatestLines() []LogLine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return parseLog(l.text.String()[l.latestOffset:])
}

// parseLog parses the JSON lines of a log and skips other lines.
func parseLog(log string) []LogLine {
	var lines []LogLine
	for text := range strings.SplitSeq(log, "\n") {
		var line LogLine
		if json.Unmarshal([]byte(text), &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}

// Text returns a string field, or "" if it is missing.
func (l LogLine) Text(name string) string {
	text, _ := l[name].(string)
	return text
}

// Number returns a numeric field, or 0 if it is missing.
func (l LogLine) Number(name string) float64 {
	number, _ := l[name].(float64)
	return number
}

// Time returns the line's timestamp, or the zero time if it is missing.
func (l LogLine) Time() time.Time {
	at, _ := time.Parse("2006-01-02T15:04:05.000Z07:00", l.Text("time"))
	return at
}
