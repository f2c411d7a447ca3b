// Package logging writes the program's log with logrus. Each line names the component of the program that wrote it, and
// the level of each component can be changed while the program runs.
package logging

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

const (
	timeFormat     = "2006-01-02T15:04:05.000Z07:00"
	componentField = "part" // field of a line that names the component
)

// Components lists the components of the program that log lines name and whose level can be set separately.
var Components = []string{"scheduler", "agent", "bulletin", "clients", "gossip", "routing", "rules"}

// Settings says how lines are formatted and which are written.
type Settings struct {
	JSON   bool              // one JSON object a line; otherwise name=value pairs
	Level  string            // of components that Levels does not list
	Levels map[string]string // level by component
}

// Loggers holds the loggers of all components of the program. Its methods are safe for concurrent use once New has returned.
type Loggers struct {
	byComponent map[string]*logrus.Logger
}

// New returns loggers for Components that all write to out. The error is that of Apply.
func New(out io.Writer, settings Settings) (*Loggers, error) {
	loggers := &Loggers{byComponent: map[string]*logrus.Logger{}}
	for _, component := range Components {
		logger := logrus.New()
		logger.SetOutput(out)
		loggers.byComponent[component] = logger
	}
	return loggers, loggers.Apply(settings)
}

// Apply sets the format and the levels of all components. It returns an error for a level that logrus does not know; the
// components reached before it have their new level then.
func (l *Loggers) Apply(settings Settings) error {
	format := newFormatter(settings.JSON)
	for component, logger := range l.byComponent {
		name, ok := settings.Levels[component]
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

// Component returns the logger of one of Components. It panics for any other name, which is a programming error that
// every test that starts the program finds.
func (l *Loggers) Component(name string) *logrus.Entry {
	logger := l.byComponent[name]
	if logger == nil {
		panic("logging: unknown component " + name)
	}
	return logger.WithField(componentField, name)
}
