// Package logging writes the program's log with logrus. Each line names the part of the program that wrote it, and the
// level of each part can be changed while the program runs.
package logging

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

const (
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
	partField  = "part" // field of a line that names the part of the program
)

// Parts lists the parts of the program that log lines name and whose level can be set separately.
var Parts = []string{"scheduler", "agent", "bulletin", "clients", "gossip", "rules"}

// Settings says how lines are formatted and which are written.
type Settings struct {
	JSON   bool              // one JSON object a line; otherwise name=value pairs
	Level  string            // of parts that Levels does not list
	Levels map[string]string // level by part
}

// Loggers holds the loggers of all parts of the program. Its methods are safe for concurrent use once New has returned.
type Loggers struct {
	byPart map[string]*logrus.Logger
}

// New returns loggers for Parts that all write to out. The error is that of Apply.
func New(out io.Writer, settings Settings) (*Loggers, error) {
	loggers := &Loggers{byPart: map[string]*logrus.Logger{}}
	for _, part := range Parts {
		logger := logrus.New()
		logger.SetOutput(out)
		loggers.byPart[part] = logger
	}
	return loggers, loggers.Apply(settings)
}

// Apply sets the format and the levels of all parts. It returns an error for a level that logrus does not know; the
// parts reached before it have their new level then.
func (l *Loggers) Apply(settings Settings) error {
	format := newFormatter(settings.JSON)
	for part, logger := range l.byPart {
		name, ok := settings.Levels[part]
		if !ok {
			name = settings.Level
		}
		level, err := logrus.ParseLevel(name)
		if err != nil {
			return fmt.Errorf("log level: %w", err)
		}
		logger.SetFormatter(format)
		logger.SetLevel(level)
	}
	return nil
}

func newFormatter(asJSON bool) logrus.Formatter {
	if asJSON {
		return &logrus.JSONFormatter{TimestampFormat: timeFormat}
	}
	return &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat}
}

// Part returns the logger of one of Parts. It panics for any other name, which is a programming error that
// every test that starts the program finds.
func (l *Loggers) Part(name string) *logrus.Entry {
	logger := l.byPart[name]
	if logger == nil {
		panic("logging: unknown part " + name)
	}
	return logger.WithField(partField, name)
}
