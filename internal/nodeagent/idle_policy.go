package nodeagent

import "time"

// idleCloseFraction is the part of Options.IdleCloseAfter for which an idle connection is kept: a command that is written
// just as the agent closes it may or may not have run.
const idleCloseFraction = 0.85

// idlePolicy decides how long connections may be idle. It belongs to a Pool and is used on the event loop only.
type idlePolicy struct {
	closeAfter time.Duration // after which the agents close an idle connection
	resets     idleResetDetector
	limit      time.Duration // how long a connection may be idle and still be used; 0 means no limit
}

// record records whether a connection survived its first use after being idle, and reports whether that changed the limit.
func (p *idlePolicy) record(now, idle time.Duration, reset bool) (changed bool) {
	p.resets.record(now, idle, reset)
	before := p.limit
	p.limit = p.resets.maxIdle(before)
	return p.limit != before
}

// survivesAny reports whether connections may be used whatever time they were idle.
func (p *idlePolicy) survivesAny() bool { return p.limit == 0 }

// allowsUse reports whether a connection may be used after being idle for a time.
func (p *idlePolicy) allowsUse(idle time.Duration) bool { return p.survivesAny() || idle < p.limit }

// timeout is how long a connection may be idle until it is closed.
func (p *idlePolicy) timeout() time.Duration {
	timeout := time.Duration(idleCloseFraction * float64(p.closeAfter))
	if p.limit > 0 {
		timeout = min(timeout, p.limit)
	}
	return timeout
}
