package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The replies to a recorded input must not change.
func TestRecordedBatches(t *testing.T) {
	in, err := os.ReadFile(filepath.Join("testdata", "batches.txt"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "replies.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("replies differ from testdata/replies.txt:\n%s", out.String())
	}
}

// Malformed input must be reported with the line and message that caused the error.
func TestMalformedInput(t *testing.T) {
	for _, tt := range []struct{ name, in, want string }{
		{"not a round", "hello\n", `line 1: message "hello"`},
		{"no instance", "round\t1\t1\nexpired\tt/a\n", `line 2: message "expired"`},
		{"unknown message", "round\t1\t1\ntarget_instance\t0\nnews\n", `line 3: message "news": unknown`},
		{"value missing", "round\t1\t1\ntarget_instance\t0\nreminder\n", `line 3: message "reminder"`},
		{"extra value", "round\t1\t1\ntarget_instance\t0\nreminder\t1\t2\n", `line 3: message "reminder"`},
		{"no number", "round\tx\t1\n", `line 1: message "round"`},
		{"settings", "round\t1\t1\ntarget_instance\t0\npower_on\t1\t{\n", `line 3: message "power_on"`},
		{"incomplete batch", "round\t1\t1\ntarget_instance\t0\n", "input ended inside a batch"},
		{"incomplete line", "round\t1", "line without an end"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := run(strings.NewReader(tt.in), &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want an error with %q", err, tt.want)
			}
		})
	}
}

// Invalid settings must fail only their instance, not the program.
func TestInvalidSettingsFailTheInstance(t *testing.T) {
	var out bytes.Buffer
	in := "round\t1\t1\ntarget_instance\t0\npower_on\t1\t{}\nflush\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if want := "instance\t0\ngive_in\t"; !strings.HasPrefix(out.String(), want) {
		t.Errorf("got %q, want it to begin with %q", out.String(), want)
	}
}
