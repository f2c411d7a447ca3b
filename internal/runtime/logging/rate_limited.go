package logging

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	repeatInterval  = time.Second // how often RateLimited writes the same message
	suppressedField = "more"      // field of a line that counts the messages suppressed before it
)

// RateLimited writes each message once a second at most and counts those that it suppresses. Messages must not contain
// what a peer sends, since every distinct message is remembered. It is not safe for concurrent use.
type RateLimited struct {
	Log     logrus.FieldLogger
	written map[string]repeats // by message
}

// repeats is what is remembered of a message.
type repeats struct {
	writtenAt  time.Duration
	suppressed int // since writtenAt
}

// Warn writes a warning, with the number of equal ones suppressed since the last as "more" and the error if there is
// one. now is the time of the event loop.
func (r *RateLimited) Warn(now time.Duration, message string, err error) {
	last, seen := r.written[message]
	if seen && now-last.writtenAt < repeatInterval {
		last.suppressed++
		r.written[message] = last
		return
	}
	if r.written == nil {
		r.written = map[string]repeats{}
	}
	r.written[message] = repeats{writtenAt: now}
	entry := r.Log.WithField(suppressedField, last.suppressed)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Warn(message)
}
