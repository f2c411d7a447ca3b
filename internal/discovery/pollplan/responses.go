package pollplan

import "time"

// answered plans the next poll after a response.
func (p *Planner) answered(now time.Duration, event Answered) {
	p.confirmFromResponse(now, event)
	if p.overdue.hasNumber(event.Conn) && !p.resumeOverdue() {
		return
	}
	conn := p.current
	if !conn.hasNumber(event.Conn) || !conn.isPolling() {
		return
	}
	if p.stale {
		p.stale = conn.isLongPoll() // a poll with a timeout was made before the stall
		if !p.stale {
			p.actions = append(p.actions, MarkStale{0})
		}
	}
	p.serviceSlow = p.overdue != nil || now > conn.overdueAt
	p.closeConnection(&p.overdue)
	p.backoff.reset()
	p.hadUpdates = event.HasUpdates
	next := p.nextPoll(now, event)
	if event.ConnectionClosing {
		p.closeConnection(&p.current)
		p.dialAt = next
		return
	}
	conn.pollAt(next)
}

// confirmFromResponse confirms the list after a response. The list was complete when the poll was sent, because the
// service answered the poll later. If the response has no updates and the poll's timeout has passed, the list was
// complete at the timeout.
func (p *Planner) confirmFromResponse(now time.Duration, event Answered) {
	conn := p.current
	if p.overdue.hasNumber(event.Conn) {
		conn = p.overdue
	}
	if event.Incomplete || !conn.hasNumber(event.Conn) || !conn.isPolling() {
		return
	}
	if !event.HasUpdates && now >= conn.timeoutAt {
		p.confirm(conn.timeoutAt)
		return
	}
	p.confirm(conn.at)
}

// confirm records that the list was complete at a time.
func (p *Planner) confirm(asOf time.Duration) {
	if asOf > p.confirmedAt {
		p.confirmedAt = asOf
		p.actions = append(p.actions, Confirm{asOf})
	}
}

// resumeOverdue makes the connection of the overdue poll current again after its poll was answered. If the replacement
// poll is already in flight, it closes the overdue connection instead and returns false.
func (p *Planner) resumeOverdue() bool {
	if p.current.isPolling() {
		p.closeConnection(&p.overdue)
		p.backoff.reset()
		p.synchronized = true
		return false
	}
	p.closeConnection(&p.current)
	p.current = p.overdue
	p.overdue = nil
	return true
}

// nextPoll returns when to poll after a response on the current connection.
func (p *Planner) nextPoll(now time.Duration, event Answered) time.Duration {
	next := now
	if !event.HasUpdates && p.current.isLongPoll() {
		next = max(now, p.current.at+p.pollInterval)
	}
	p.synchronized = p.synchronized || event.HasUpdates || p.serviceSlow
	if p.synchronized && !p.stale {
		next += p.spread.afterUpdate()
	}
	return next
}
