package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"calicohill/routing"
)

// Encoder writes replies. Write errors are reported by Flush.
type Encoder struct{ writer *bufio.Writer }

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{writer: bufio.NewWriterSize(w, bufferSize)} }

// Instance names the instance that the actions after it belong to.
func (e *Encoder) Instance(number int) { e.writeLine("instance", strconv.Itoa(number)) }

// singleLine replaces the characters that a value must not contain.
var singleLine = strings.NewReplacer("\n", " ", separator, " ", "\r", " ")

// InstanceFailed reports that an instance has failed and takes no more events.
func (e *Encoder) InstanceFailed(reason string) { e.writeLine("give_in", singleLine.Replace(reason)) }

// Action writes one action. The error is about an action that the protocol has no message for.
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
		return fmt.Errorf("wire: no message for action %T", action)
	}
	return nil
}

// Flush ends the reply to the batch with a number, and sends it. It returns the first error of any write.
func (e *Encoder) Flush(number string) error {
	e.writeLine("ok", number)
	return e.writer.Flush()
}

// writeLine writes values with their separators. bufio.Writer keeps the first write error for Flush to return.
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
