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

// The node agents' protocol, as an agent sees it: it reads commands (ReadAgentCommand) and writes answers (AgentAnswer).
// Lines and bodies end with CRLF. Worker and the scripted agents of cmd/calicohill's tests use the same functions.

// maxCommandBody is the longest body of a command that the protocol allows, in bytes.
const maxCommandBody = 16 << 10

const lineEnd = "\r\n"

// AgentVerb is the first word of a command.
type AgentVerb string

// The verbs of the protocol.
const (
	AgentStart  AgentVerb = "go"   // run a request; it alone has fields and a body
	AgentCancel AgentVerb = "halt" // cancel a request; it has no answer
	AgentPing   AgentVerb = "ping" // answer whether the agent is up
	AgentStatus AgentVerb = "stat" // the same, with a load report
)

// The fields of AgentStart that the stand-ins read.
const (
	fieldClass    = "sort"
	fieldFunction = "asset"
	fieldTimeout  = "patience" // in milliseconds
)

// The words of a line.
const (
	startWords = 4 // verb, ID, fields and the size of the body
	otherWords = 2 // verb and ID
)

// AgentCommand is a command that a scheduler sent to a node agent.
type AgentCommand struct {
	Verb   AgentVerb
	ID     string            // of the request; a tag for AgentPing and AgentStatus
	Fields map[string]string // by name; nil except with AgentStart
	Body   string
}

// Class returns the class of the request that is to be run.
func (c AgentCommand) Class() string { return c.Fields[fieldClass] }

// Function returns the function that is to be run.
func (c AgentCommand) Function() string { return c.Fields[fieldFunction] }

// Timeout returns how long the scheduler waits for the answer; 0 if the command does not say.
func (c AgentCommand) Timeout() time.Duration {
	milliseconds, err := strconv.Atoi(c.Fields[fieldTimeout])
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// ErrMalformedCommand is the error of ReadAgentCommand for bytes that are no command.
var ErrMalformedCommand = errors.New("not a command of the node agents' protocol")

// ReadAgentCommand reads the next command of a connection with its body. The error is ErrMalformedCommand, or that of
// reading.
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
	if !verb.takesWords(len(words)) {
		return AgentCommand{}, fmt.Errorf("%w: %q", ErrMalformedCommand, line)
	}
	command := AgentCommand{Verb: verb, ID: words[1]}
	if verb == AgentStart {
		command.Fields = parseFields(words[2])
		command.Body, err = readCommandBody(reader, words[3])
	}
	return command, err
}

// takesWords reports whether a line with this verb has that many words. No number is right for an unknown verb.
func (v AgentVerb) takesWords(words int) bool {
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

// readCommandBody reads the body of a command, whose size the line gave, and the line end after it.
func readCommandBody(reader io.Reader, sizeText string) (string, error) {
	size, err := strconv.Atoi(sizeText)
	if err != nil || size < 0 || size > maxCommandBody {
		return "", fmt.Errorf("%w: body of %q bytes", ErrMalformedCommand, sizeText)
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

// The status words that the stand-ins answer with.
const (
	AnswerOK    AnswerStatus = "OK"   // served, with a body
	AnswerError AnswerStatus = "ERR"  // failed; the function may have run
	AnswerBusy  AnswerStatus = "BUSY" // rejected: the queue is full, or the agent drains
	AnswerUp    AnswerStatus = "UP"   // answers AgentPing and AgentStatus
	AnswerDown  AnswerStatus = "DOWN" // answers these while the agent drains
)

// AgentAnswer is the answer of a node agent to a command.
type AgentAnswer struct {
	ID     string // of the command
	Status AnswerStatus
	Fields string // of the form "name=value,name=value"; "" for none
	Body   string
}

// String returns the answer as it goes over the connection.
func (a AgentAnswer) String() string {
	fields := a.Fields
	if fields == "" {
		fields = "-"
	}
	return fmt.Sprintf("%s %s %s %d"+lineEnd+"%s"+lineEnd, a.ID, a.Status, fields, len(a.Body), a.Body)
}
