package nodeagent

import (
	"strconv"

	"calicohill/internal/dispatch"
)

// crlf terminates each line and each body in the agent protocol.
var crlf = []byte("\r\n")

// commandBuffer builds commands in a buffer that it reuses. A command is valid until the next one is built.
type commandBuffer struct {
	classes []string // class names by class number
	buffer  []byte
}

// start returns the command that starts a call.
func (b *commandBuffer) start(outgoing *call) []byte {
	if outgoing.isHealthCheck {
		b.buffer = appendHealthCheck(b.buffer[:0], outgoing.ID)
	} else {
		b.buffer = appendStart(b.buffer[:0], &outgoing.Attempt, b.classes[outgoing.Class])
	}
	return b.buffer
}

// cancel returns the command that cancels an attempt.
func (b *commandBuffer) cancel(id string) []byte {
	b.buffer = appendCancel(b.buffer[:0], id)
	return b.buffer
}

// appendStart appends the command that starts an attempt. The timeout is sent in whole milliseconds, at least 1.
func appendStart(buffer []byte, attempt *dispatch.Attempt, class string) []byte {
	buffer = append(buffer, "go "...)
	buffer = append(buffer, attempt.ID...)
	buffer = append(buffer, " sort="...)
	buffer = append(buffer, class...)
	buffer = append(buffer, ",asset="...)
	buffer = append(buffer, attempt.Function...)
	buffer = append(buffer, ",patience="...)
	buffer = strconv.AppendInt(buffer, max(attempt.Timeout.Milliseconds(), 1), 10)
	if attempt.IdempotencyKey != "" {
		buffer = append(buffer, ",op="...)
		buffer = append(buffer, attempt.IdempotencyKey...)
	}
	buffer = append(buffer, ' ')
	buffer = strconv.AppendInt(buffer, int64(len(attempt.Body)), 10)
	buffer = append(buffer, crlf...)
	buffer = append(buffer, attempt.Body...)
	return append(buffer, crlf...)
}

// appendCancel appends the command that cancels an attempt. The agent does not respond to it.
func appendCancel(buffer []byte, id string) []byte {
	return appendCommand(buffer, "halt ", id)
}

// appendHealthCheck appends the command that requests a worker's health and load report.
func appendHealthCheck(buffer []byte, id string) []byte {
	return appendCommand(buffer, "stat ", id)
}

func appendCommand(buffer []byte, verb, id string) []byte {
	buffer = append(buffer, verb...)
	buffer = append(buffer, id...)
	return append(buffer, crlf...)
}
