package logging

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	repeatInterval  = time.Second // minimum interval between two lines with the same message
	suppressedField = "more"      // key of the number of suppressed lines
)

// RateLimited writes each message at most once per second and counts the suppressed repetitions. It keeps an entry for
// every distinct message, so a message must not contain data received from a peer. It is not safe for concurrent use.
type RateLimited struct {
	Log     logrus.FieldLogger
	written map[string]messageState // by message
}

// messageState is the rate limiting state of one message.
type messageState struct {
	writtenAt  time.Duration
	suppressed int // repetitions since writtenAt
}

// Warn writes a warning, unless the same message was written less than repeatInterval ago. The line carries the number
// of repetitions suppressed since the last one as "more", and err unless it is nil. now is the time of the event loop.
func (r *RateLimited) Warn(now time.Duration, message string, err error) {
	last, seen := r.written[message]
	if seen && now-last.writtenAt < repeatInterval {
		last.suppressed++
		r.written[message] = last
		return
	}
	if r.written == nil {
		r.written = map[string]messageState{}
	}
	r.written[message] = messageState{writtenAt: now}
	entry := r.Log.WithField(suppressedField, last.suppressed)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Warn(message)
}
