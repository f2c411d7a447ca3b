package process

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"
)

// Log collects what the processes of a scheduler write, one after the other.
type Log struct {
	mu          sync.Mutex
	text        bytes.Buffer
	latestStart int           // where the latest process began to write, in bytes
	written     chan struct{} // closed at the next write; nil while nobody waits
}

// Write implements io.Writer.
func (l *Log) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written != nil {
		close(l.written)
		l.written = nil
	}
	return l.text.Write(text)
}

// WaitFor waits until the text so far fulfills a condition. The error is that of the context, if it ends first.
func (l *Log) WaitFor(ctx context.Context, fulfilled func(text string) bool) error {
	for {
		text, written := l.snapshot()
		if fulfilled(text) {
			return nil
		}
		select {
		case <-written:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// snapshot returns the text so far, and a channel that is closed at the next write.
func (l *Log) snapshot() (text string, written <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written == nil {
		l.written = make(chan struct{})
	}
	return l.text.String(), l.written
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
