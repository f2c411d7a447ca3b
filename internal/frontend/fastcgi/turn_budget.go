package fastcgi

import "time"

const (
	// minTurnRecords is the number of records that a connection may have handled in any turn, besides those that the
	// event loop has read already.
	minTurnRecords = 32
	// maxTurnRecords is the number for a connection that was quiet before: as many as a client sends for all requests
	// that it may have open, with their withdrawals. After a stall, a withdrawal must not be left for a later turn than
	// its request, which is sent to a worker meanwhile.
	maxTurnRecords = 6 * maxRequestsPerConn
	// turnRecordsPerSecond is the rate at which a connection regains the difference.
	turnRecordsPerSecond = 1000
)

// turnBudget is a token bucket for the records of a connection that are handled in its turns.
type turnBudget struct {
	left      int // records that may be handled in the current turn
	refilled  time.Duration
	remainder time.Duration // time that has not been counted in left
}

// startTurn adds what the connection has regained.
func (b *turnBudget) startTurn(now time.Duration) {
	const perRecord = time.Second / turnRecordsPerSecond
	elapsed := now - b.refilled + b.remainder
	b.refilled = now
	b.remainder = elapsed % perRecord
	b.left = min(max(b.left, 0)+int(elapsed/perRecord), maxTurnRecords)
	b.left = max(b.left, minTurnRecords)
}
