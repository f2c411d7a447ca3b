package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"calicohill/routing"
)

// Encoder encodes replies. Flush reports write errors.
type Encoder struct{ writer *bufio.Writer }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{writer: bufio.NewWriterSize(w, bufferSize)} }

// Instance writes the number of the instance to which the following actions belong.
func (e *Encoder) Instance(number int) { e.writeLine("instance", strconv.Itoa(number)) }

// singleLine replaces characters that are not allowed in a value by blanks.
var singleLine = strings.NewReplacer("\n", " ", separator, " ", "\r", " ")

// InstanceFailed reports that the instance has failed and processes no more events.
func (e *Encoder) InstanceFailed(reason string) { e.writeLine("give_in", singleLine.Replace(reason)) }

// Action writes one action. It returns an error for an action without a message in the protocol.
func (e *Encoder) Action(action routing.Action) error {
	switch action := action.(type) {
	case routing.Send:
		e.writeLine("try", action.ID, toMillis(action.Timeout), action.Worker)
	case routing.Cancel:
		e.writeLine("recall", action.ID, strconv.Itoa(action.Attempt))
	case routing.Reject:
		e.writeLine("say_no", action.ID, toMillis(action.RetryAfter))
	case routing.Fail:
		e.writeLine("surrender", action.ID)
	case routing.SetTimer:
		e.writeLine("arm", toMillis(action.After), strconv.FormatUint(action.Token, 10))
	case routing.Probe:
		e.writeLine("ping", action.Worker)
	case routing.Load:
		e.writeLine("pin_up", action.Worker, action.Function, strconv.Itoa(action.Instances))
	case routing.Unload:
		e.writeLine("unmount", action.Worker, action.Function)
	case routing.Subscribe:
		e.writeLine("observe", formatBoolean(action.On))
	case routing.FetchList:
		e.writeLine("resolve")
	default:
		return fmt.Errorf("simwire: no message for action type %T", action)
	}
	return nil
}

// Flush ends and sends the reply to the batch with the given number. It returns the first write error.
func (e *Encoder) Flush(number string) error {
	e.writeLine("ok", number)
	return e.writer.Flush()
}

// writeLine writes values separated by tabs. bufio.Writer keeps the first write error, and Flush returns it.
func (e *Encoder) writeLine(values ...string) {
	_, _ = e.writer.WriteString(strings.Join(values, separator))
	_ = e.writer.WriteByte('\n')
}

func formatBoolean(value bool) string {
	if value {
		return "1"
	}
	return "0"
}
