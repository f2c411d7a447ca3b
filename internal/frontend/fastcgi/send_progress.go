package fastcgi

import "time"

const (
	// progressInterval is the interval at which connections with unsent bytes are checked.
	progressInterval = 50 * time.Millisecond
	// noProgressTimeout is the time without any byte accepted after which a client counts as not reading.
	noProgressTimeout = 3 * time.Second
	// slowWindow is the period over which the rate of a reader is measured.
	slowWindow = 500 * time.Millisecond
	// minReadRate is the rate in bytes per second below which a reader is slow. It is a fifth of that of the slowest
	// well-behaved clients.
	minReadRate = 200_000
)

// sendProgress measures how fast the system accepts the bytes of a connection while some are unsent, which is as fast as
// the client reads. The zero value is for a connection without unsent bytes.
type sendProgress struct {
	written  int // bytes written to the connection since it last had no unsent bytes
	accepted int // how many of them the system had accepted at the latest check

	started        bool          // start was called
	progressAt     time.Duration // time of the latest check that found more bytes accepted
	windowStart    time.Duration // start of the current slowWindow
	windowAccepted int           // value of accepted at windowStart
	slow           bool          // the client read less than minReadRate in the latest slowWindow
}

// start starts the measurement. Repeated calls have no effect.
func (p *sendProgress) start(now time.Duration, unsent int) {
	if p.started {
		return
	}
	p.started = true
	p.accepted = p.written - unsent
	p.progressAt = now
	p.windowStart = now
	p.windowAccepted = p.accepted
}

// check updates the measurement.
func (p *sendProgress) check(now time.Duration, unsent int) {
	if accepted := p.written - unsent; accepted > p.accepted {
		p.accepted = accepted
		p.progressAt = now
	}
	if elapsed := now - p.windowStart; elapsed >= slowWindow {
		p.slow = float64(p.accepted-p.windowAccepted) < minReadRate*elapsed.Seconds()
		p.windowStart = now
		p.windowAccepted = p.accepted
	}
}

// hasStopped reports whether the client counts as not reading.
func (p *sendProgress) hasStopped(now time.Duration) bool {
	return p.started && now-p.progressAt >= noProgressTimeout
}
