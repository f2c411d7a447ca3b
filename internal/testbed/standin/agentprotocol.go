package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// This file implements the agent's side of the node agent protocol: an agent reads commands (ReadAgentCommand) and
// writes answers (AgentAnswer). Lines and bodies end with CRLF. Worker and the scripted agents in the tests of
// cmd/calicohill share this code.

// maxCommandBody is the maximum size of a command's body in bytes.
const maxCommandBody = 16 << 10

const lineEnd = "\r\n"

// AgentVerb is the first word of a command.
type AgentVerb string

// Verbs of the protocol.
const (
	AgentStart  AgentVerb = "go"   // run a request; the only command with fields and a body
	AgentCancel AgentVerb = "halt" // cancel a request; not answered
	AgentPing   AgentVerb = "ping" // health check
	AgentStatus AgentVerb = "stat" // health check with a load report in the answer
)

// Fields of AgentStart that the stand-ins read.
const (
	fieldClass    = "sort"
	fieldFunction = "asset"
	fieldTimeout  = "patience" // in milliseconds
)

// Numbers of words in a command line.
const (
	startWords = 4 // verb, ID, fields and body size
	otherWords = 2 // verb and ID
)

// AgentCommand is a command from a scheduler to a node agent.
type AgentCommand struct {
	Verb   AgentVerb
	ID     string            // request ID; for AgentPing and AgentStatus, a tag that the answer repeats
	Fields map[string]string // by name; nil for verbs other than AgentStart
	Body   string
}

// Class returns the class of the request.
func (c AgentCommand) Class() string { return c.Fields[fieldClass] }

// Function returns the name of the function to run.
func (c AgentCommand) Function() string { return c.Fields[fieldFunction] }

// Timeout returns the scheduler's timeout for the answer, or 0 if the command has none.
func (c AgentCommand) Timeout() time.Duration {
	milliseconds, err := strconv.Atoi(c.Fields[fieldTimeout])
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// ErrMalformedCommand is returned by ReadAgentCommand for input that violates the protocol.
var ErrMalformedCommand = errors.New("malformed node agent command")

// ReadAgentCommand reads the next command of a connection, including its body. It returns ErrMalformedCommand for
// invalid input, and read errors unchanged.
func ReadAgentCommand(reader *bufio.Reader) (AgentCommand, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return AgentCommand{}, err
	}
	text, ok := strings.CutSuffix(line, lineEnd)
	if !ok {
		return AgentCommand{}, fmt.Errorf("%w: %q does not end with CRLF", ErrMalformedCommand, line)
	}
	words := strings.Split(text, " ")
	verb := AgentVerb(words[0])
	if !verb.allowsWordCount(len(words)) {
		return AgentCommand{}, fmt.Errorf("%w: %q", ErrMalformedCommand, line)
	}
	command := AgentCommand{Verb: verb, ID: words[1]}
	if verb == AgentStart {
		command.Fields = parseFields(words[2])
		command.Body, err = readCommandBody(reader, words[3])
	}
	return command, err
}

// allowsWordCount reports whether the given number of words is valid for the verb. It is false for unknown verbs.
func (v AgentVerb) allowsWordCount(words int) bool {
	switch v {
	case AgentStart:
		return words == startWords
	case AgentCancel, AgentPing, AgentStatus:
		return words == otherWords
	default:
		return false
	}
}

// parseFields parses fields of the form "name=value,name=value".
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// readCommandBody reads the body of a command and the CRLF after it. sizeText is the body size from the command line.
func readCommandBody(reader io.Reader, sizeText string) (string, error) {
	size, err := strconv.Atoi(sizeText)
	if err != nil || size < 0 || size > maxCommandBody {
		return "", fmt.Errorf("%w: invalid body size %q", ErrMalformedCommand, sizeText)
	}
	buffer := make([]byte, size+len(lineEnd))
	if _, err := io.ReadFull(reader, buffer); err != nil {
		return "", err
	}
	body, ok := strings.CutSuffix(string(buffer), lineEnd)
	if !ok {
		return "", fmt.Errorf("%w: no CRLF after a body of %d bytes", ErrMalformedCommand, size)
	}
	return body, nil
}

// AnswerStatus is the second word of an answer.
type AnswerStatus string

// Status words that the stand-ins use.
const (
	AnswerOK    AnswerStatus = "OK"   // served, with a body
	AnswerError AnswerStatus = "ERR"  // failed; the function may have run
	AnswerBusy  AnswerStatus = "BUSY" // rejected: the queue is full or the agent is draining
	AnswerUp    AnswerStatus = "UP"   // answer to AgentPing and AgentStatus
	AnswerDown  AnswerStatus = "DOWN" // answer to AgentPing and AgentStatus while the agent is draining
)

// AgentAnswer is the answer of a node agent to a command.
type AgentAnswer struct {
	ID     string // ID of the command
	Status AnswerStatus
	Fields string // of the form "name=value,name=value"; "" for none
	Body   string
}

// String returns the wire format of the answer.
func (a AgentAnswer) String() string {
	fields := a.Fields
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("%s %s %s %d"+lineEnd+"%s"+lineEnd, a.ID, a.Status, fields, len(a.Body), a.Body)
}
