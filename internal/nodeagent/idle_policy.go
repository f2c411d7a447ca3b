package nodeagent

import "time"

// idleCloseFraction is the fraction of Options.IdleCloseAfter after which an idle connection is closed. The margin
// keeps commands from being written just as the agent closes the connection, when they may or may not run.
const idleCloseFraction = 0.85

// idlePolicy decides how long connections may be idle. It belongs to a Pool and is used only on the event loop.
type idlePolicy struct {
	closeAfter time.Duration // time after which agents close an idle connection
	resets     idleResetDetector
	limit      time.Duration // connections idle for this long are not used; 0 means no limit
}

// record records whether the first use of a connection after an idle time met a reset. It reports whether the limit
// changed.
func (p *idlePolicy) record(now, idle time.Duration, reset bool) (changed bool) {
	p.resets.record(now, idle, reset)
	before := p.limit
	p.limit = p.resets.maxIdle(before)
	return p.limit != before
}

// unlimited reports whether connections may be used after any idle time.
func (p *idlePolicy) unlimited() bool { return p.limit == 0 }

// allowsUse reports whether a connection may be used after the given idle time.
func (p *idlePolicy) allowsUse(idle time.Duration) bool { return p.unlimited() || idle < p.limit }

// timeout returns the idle time after which a connection is closed.
func (p *idlePolicy) timeout() time.Duration {
	timeout := time.Duration(idleCloseFraction * float64(p.closeAfter))
	if p.limit > 0 {
		timeout = min(timeout, p.limit)
	}
	return timeout
}
