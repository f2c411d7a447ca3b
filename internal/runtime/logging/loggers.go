// Package logging writes the program's log: lines of logrus, each with the part of the program that wrote it, at
// levels that can be changed while it runs.
package logging

import (
	"fmt"
	"io"
	"time"

	"calicohill/internal/config/operatorfile"

	"github.com/sirupsen/logrus"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Loggers is the loggers of all parts. Its methods are safe for concurrent use once New has returned.
type Loggers struct {
	parts map[string]*logrus.Logger
}

// New returns loggers for operator.Parts that write to one place.
func New(out io.Writer, settings operatorfile.Log) (*Loggers, error) {
	s := &Loggers{parts: map[string]*logrus.Logger{}}
	for _, name := range operatorfile.Parts {
		l := logrus.New()
		l.SetOutput(out)
		s.parts[name] = l
	}
	return s, s.Apply(settings)
}

// Apply changes the form and the levels of all parts.
func (s *Loggers) Apply(settings operatorfile.Log) error {
	var format logrus.Formatter = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat}
	if settings.JSON {
		format = &logrus.JSONFormatter{TimestampFormat: timeFormat}
	}
	for name, l := range s.parts {
		text := settings.Level
		if own, ok := settings.Parts[name]; ok {
			text = own
		}
		level, err := logrus.ParseLevel(text)
		if err != nil {
			return fmt.Errorf("log level: %w", err)
		}
		l.SetFormatter(format)
		l.SetLevel(level)
	}
	return nil
}

// Part is the logger of a part that operator.Parts names.
func (s *Loggers) Part(name string) *logrus.Entry {
	l := s.parts[name]
	if l == nil {
		panic("logs: no part " + name) // a fault of the program, met by every test that starts it
	}
	return l.WithField("part", name)
}

// every is how often RateLimited lets a message through.
const every = time.Second

// RateLimited lets each message through once a second at most and counts the others. Messages must not hold what a peer
// sends. It is not safe for concurrent use.
type RateLimited struct {
	Log  logrus.FieldLogger
	last map[string]kept
}

type kept struct {
	at   time.Duration
	more int
}

// Warn logs a message, with the number of those left out since the last as "more".
func (t *RateLimited) Warn(now time.Duration, message string, err error) {
	k, seen := t.last[message]
	if seen && now-k.at < every {
		k.more++
		t.last[message] = k
		return
	}
	if t.last == nil {
		t.last = map[string]kept{}
	}
	t.last[message] = kept{at: now}
	e := t.Log.WithField("more", k.more)
	if err != nil {
		e = e.WithError(err)
	}
	e.Warn(message)
}
