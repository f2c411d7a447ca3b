// Package logging writes the program's log with logrus. Each line names the component that wrote it, and each component
// has a level that can be changed at run time.
package logging

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

const (
	timeFormat     = "2006-01-02T15:04:05.000Z07:00"
	componentField = "part" // key of the component in a log line
)

// Components lists the components of the program. Each has its own logger and level.
var Components = []string{"scheduler", "agent", "bulletin", "clients", "gossip", "routing", "rules"}

// Settings configures the format and the levels of the log.
type Settings struct {
	JSON   bool              // write one JSON object per line instead of key=value pairs
	Level  string            // default level, for components not listed in Levels
	Levels map[string]string // level by component
}

// Loggers holds the loggers of all components. Its methods are safe for concurrent use.
type Loggers struct {
	byComponent map[string]*logrus.Logger
}

// New returns loggers for all Components that write to out. It returns an error if Apply rejects the settings.
func New(out io.Writer, settings Settings) (*Loggers, error) {
	loggers := &Loggers{byComponent: map[string]*logrus.Logger{}}
	for _, component := range Components {
		logger := logrus.New()
		logger.SetOutput(out)
		loggers.byComponent[component] = logger
	}
	return loggers, loggers.Apply(settings)
}

// Apply sets the format and the level of each component. It returns an error for a level that logrus does not define;
// some components may have their new format and level by then.
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

// Component returns the logger of a component. It panics if the name is not in Components, which is a programming error
// that every test of the whole program detects.
func (l *Loggers) Component(name string) *logrus.Entry {
	logger := l.byComponent[name]
	if logger == nil {
		panic("logging: unknown component " + name)
	}
	return logger.WithField(componentField, name)
}
