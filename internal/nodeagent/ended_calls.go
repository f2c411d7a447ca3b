package nodeagent

import "time"

const (
	// lateResponseWindow is how long after the end of a call a late or second response to it may still arrive.
	lateResponseWindow = 3 * time.Second
	// endedCallBytes is the memory for the ID of an ended call.
	endedCallBytes = 128
)

// endedCalls holds the IDs of the calls that ended on all connections within lateResponseWindow, oldest first. The IDs
// come from clients, and each withdrawn request leaves one. It belongs to a Pool and is used only on the event loop.
type endedCalls struct {
	limit int // maximum number of IDs; 0 means no limit
	calls []endedCall
}

// endedCall is a call that ended on a connection.
type endedCall struct {
	conn *conn
	id   string
	at   time.Duration
}

// maxEndedCalls returns the number of IDs that a limit on memory allows.
func maxEndedCalls(memory int) int { return memory / endedCallBytes }

// add records the end of a call. At the limit the oldest ID is forgotten before its time. Its connection is drained: a
// late response could be mistaken for the response to another attempt with the same ID there.
func (e *endedCalls) add(ended endedCall) {
	for len(e.calls) > 0 && ended.at-e.calls[0].at >= lateResponseWindow {
		e.removeOldest()
	}
	if e.limit > 0 && len(e.calls) >= e.limit {
		if oldest := e.removeOldest(); oldest.socket != nil {
			oldest.drain(drainTooManyEnded)
		}
	}
	e.calls = append(e.calls, ended)
	ended.conn.calls.recordEnded(ended.id, ended.at)
}

// removeOldest removes the oldest ID and returns its connection.
func (e *endedCalls) removeOldest() *conn {
	oldest := e.calls[0]
	e.calls[0] = endedCall{} // for the garbage collector
	e.calls = e.calls[1:]
	oldest.conn.calls.forgetEnded(oldest.id, oldest.at)
	return oldest.conn
}
