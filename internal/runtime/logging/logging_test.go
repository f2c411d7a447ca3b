package logging_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"calicohill/internal/runtime/logging"
)

// line contains the fields of a JSON log line that the tests compare.
type line struct {
	Level         string `json:"level"`
	Message       string `json:"msg"`
	ComponentName string `json:"part"`
	Suppressed    int    `json:"more"`
	Error         string `json:"error"`
}

func newLoggers(t *testing.T, out *bytes.Buffer, settings logging.Settings) *logging.Loggers {
	t.Helper()
	loggers, err := logging.New(out, settings)
	if err != nil {
		t.Fatal(err)
	}
	return loggers
}

// readLines decodes the JSON lines written so far and removes them from out.
func readLines(t *testing.T, out *bytes.Buffer) []line {
	t.Helper()
	var lines []line
	decoder := json.NewDecoder(out)
	for decoder.More() {
		var l line
		if err := decoder.Decode(&l); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l)
	}
	return lines
}

// A component's own level must override the default level, and only for that component.
func TestLevels(t *testing.T) {
	levels := map[string]string{"gossip": "debug"}
	cases := map[string]struct {
		settings  logging.Settings
		component string
		written   bool // whether an info line is written
	}{
		"default level":              {logging.Settings{JSON: true, Level: "info"}, "agent", true},
		"below the default level":    {logging.Settings{JSON: true, Level: "warning"}, "agent", false},
		"level of the component":     {logging.Settings{JSON: true, Level: "warning", Levels: levels}, "gossip", true},
		"level of another component": {logging.Settings{JSON: true, Level: "warning", Levels: levels}, "agent", false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			newLoggers(t, &out, tt.settings).Component(tt.component).Info("hello")
			lines := readLines(t, &out)
			if !tt.written {
				if len(lines) != 0 {
					t.Errorf("wrote %v", lines)
				}
				return
			}
			if want := (line{Level: "info", Message: "hello", ComponentName: tt.component}); len(lines) != 1 ||
				lines[0] != want {
				t.Errorf("wrote %+v, want %+v", lines, want)
			}
		})
	}
}

// Apply must change the format and level of loggers that are already in use.
func TestApplyChangesRunningLoggers(t *testing.T) {
	var out bytes.Buffer
	loggers := newLoggers(t, &out, logging.Settings{Level: "warning"})
	entry := loggers.Component("agent")
	entry.Info("not written")
	entry.Warn("as text")
	text := out.String()
	if !strings.Contains(text, `level=warning msg="as text" part=agent`) || strings.Contains(text, "not written") {
		t.Errorf("wrote %q", text)
	}
	out.Reset()
	if err := loggers.Apply(logging.Settings{JSON: true, Level: "info"}); err != nil {
		t.Fatal(err)
	}
	entry.Info("as JSON")
	if lines := readLines(t, &out); len(lines) != 1 || lines[0].Message != "as JSON" {
		t.Errorf("wrote %+v", lines)
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := logging.New(&bytes.Buffer{}, logging.Settings{Level: "loud"}); err == nil ||
		!strings.HasPrefix(err.Error(), "log level: ") {
		t.Errorf("error %v", err)
	}
}

// An unknown component must panic rather than log without a configured level.
func TestUnknownComponent(t *testing.T) {
	var out bytes.Buffer
	loggers := newLoggers(t, &out, logging.Settings{Level: "info"})
	defer func() {
		if recover() == nil {
			t.Error("Component returned a logger for an unknown component")
		}
	}()
	loggers.Component("nobody")
}

func TestRateLimited(t *testing.T) {
	var out bytes.Buffer
	limited := logging.RateLimited{Log: newLoggers(t, &out, logging.Settings{JSON: true, Level: "info"}).Component("agent")}
	calls := []struct {
		now     time.Duration
		message string
		err     error
	}{
		{0, "a", nil},
		{time.Millisecond, "a", nil},
		{time.Millisecond, "b", errors.New("broken")}, // each message is limited separately
		{time.Second - 1, "a", nil},
		{time.Second, "a", nil},
		{2 * time.Second, "a", nil},
	}
	for _, call := range calls {
		limited.Warn(call.now, call.message, call.err)
	}
	want := []line{
		{Level: "warning", Message: "a", ComponentName: "agent"},
		{Level: "warning", Message: "b", ComponentName: "agent", Error: "broken"},
		{Level: "warning", Message: "a", ComponentName: "agent", Suppressed: 2},
		{Level: "warning", Message: "a", ComponentName: "agent"},
	}
	got := readLines(t, &out)
	if len(got) != len(want) {
		t.Fatalf("wrote %+v, want %+v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("line %d is %+v, want %+v", i+1, got[i], want[i])
		}
	}
}
