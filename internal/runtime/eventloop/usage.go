package eventloop

import "time"

// Usage is how the loop's time has been used since the start.
type Usage struct {
	Turns         int           // of connections
	TurnBytes     int           // handled in them
	LongestTurn   time.Duration // that one connection took of a pass
	LongestPass   time.Duration // that a posted function waited for the connections that were ready before it
	LongestAccept time.Duration // from the accept of a connection until it was registered
}

// Usage returns how the loop's time has been used. It must be called on the loop.
func (l *Loop) Usage() Usage { return l.usage }

// addTurn records a turn of a connection.
func (u *Usage) addTurn(took time.Duration, bytes int) {
	u.Turns++
	u.TurnBytes += bytes
	u.LongestTurn = max(u.LongestTurn, took)
}
