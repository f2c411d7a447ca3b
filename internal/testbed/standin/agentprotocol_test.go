package standin_test

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"strings"
	"testing"

	"calicohill/internal/testbed/standin"
)

// Guards against commands on one connection that are misread, or that lose fields or part of a body with line ends.
func TestReadAgentCommand(t *testing.T) {
	t.Parallel()
	reader := bufio.NewReader(strings.NewReader("go 1 sort=consulta,asset=f,op=a=b 10\r\ntwo\r\nlines\r\nhalt 1\r\nstat p1\r\nping p2\r\n"))
	for _, want := range []standin.AgentCommand{
		{Verb: standin.AgentStart, ID: "1", Fields: map[string]string{"sort": "consulta", "asset": "f", "op": "a=b"}, Body: "two\r\nlines"},
		{Verb: standin.AgentCancel, ID: "1"},
		{Verb: standin.AgentStatus, ID: "p1"},
		{Verb: standin.AgentPing, ID: "p2"},
	} {
		got, err := standin.ReadAgentCommand(reader)
		if err != nil {
			t.Fatal(err)
		}
		if got.Verb != want.Verb || got.ID != want.ID || got.Body != want.Body || !maps.Equal(got.Fields, want.Fields) {
			t.Errorf("read %+v, want %+v", got, want)
		}
	}
	if _, err := standin.ReadAgentCommand(reader); !errors.Is(err, io.EOF) {
		t.Errorf("after the last command: %v, want %v", err, io.EOF)
	}
}

// Guards against malformed commands that are accepted, and against a truncated connection reported as a malformed
// command.
func TestReadMalformedAgentCommand(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		text string
		want error
	}{
		{"no CRLF after the body", "go 1 sort=a 2\r\nokXX", standin.ErrMalformedCommand},
		{"no CR before the line end", "halt 1\n", standin.ErrMalformedCommand},
		{"unknown verb", "run 1\r\n", standin.ErrMalformedCommand},
		{"no ID", "halt\r\n", standin.ErrMalformedCommand},
		{"too few words", "go 1 2\r\nok\r\n", standin.ErrMalformedCommand},
		{"too many words", "halt 1 2\r\n", standin.ErrMalformedCommand},
		{"negative size", "go 1 sort=a -2\r\nok\r\n", standin.ErrMalformedCommand},
		{"size over the limit", "go 1 sort=a 16385\r\n" + strings.Repeat("x", 16385) + "\r\n", standin.ErrMalformedCommand},
		{"line cut off", "halt 1", io.EOF},
		{"body cut off", "go 1 sort=a 2\r\nok", io.ErrUnexpectedEOF},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if command, err := standin.ReadAgentCommand(bufio.NewReader(strings.NewReader(tt.text))); !errors.Is(err, tt.want) {
				t.Errorf("read %+v, %v, want %v", command, err, tt.want)
			}
		})
	}
}
