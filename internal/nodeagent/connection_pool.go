package nodeagent

import (
	"maps"
	"slices"
	"time"

	"calicohill/routing"
)

const (
	// maxConnsPerWorker is how many connections to one worker may be open, unresponsive ones included.
	maxConnsPerWorker = 8
	// preferredConnsPerWorker is how many connections to one worker are used side by side, as far as there are calls
	// for them. A connection that breaks, by one malformed answer, takes along all calls in flight on it.
	preferredConnsPerWorker = 4
	// schedulersPerInFlight is how many schedulers there are for each call that a connection carries before another
	// one is opened beside it (bounded by preferredConnsPerWorker calls): agents accept only a limited number of
	// connections of all schedulers together.
	schedulersPerInFlight = 3
	// dialBackoff is how long no extra connection is added to those of a worker after a dial has failed.
	dialBackoff = time.Second
	// descriptorsPerDial is how many file descriptors a dial holds for a moment.
	descriptorsPerDial = 2
)

// assign writes a call to a connection, or queues it and dials. If neither is possible, it ends the call as failed.
func (p *Pool) assign(outgoing *call) {
	target := outgoing.target
	if target == nil || target.state != routing.Ready {
		p.finish(outgoing, withoutAnswer(routing.NotSent))
		return
	}
	if picked, usable := p.pickConn(outgoing); picked != nil {
		if len(picked.inFlight) >= p.extraConnThreshold() && usable < preferredConnsPerWorker {
			p.addConn(target)
		}
		picked.write(outgoing)
		return
	}
	if p.atConnLimit(target) && target.dialsInProgress == 0 && !p.evictIdleConn(target) {
		p.finish(outgoing, withoutAnswer(routing.ConnectFailed))
		return
	}
	target.pending = append(target.pending, outgoing)
	if (len(target.pending)-1)/p.options.PipelineDepth >= target.dialsInProgress {
		p.dial(target)
	}
}

// extraConnThreshold is how many calls in flight on the least loaded connection call for another one beside it.
func (p *Pool) extraConnThreshold() int {
	return min(max(p.options.Schedulers/schedulersPerInFlight, 1), preferredConnsPerWorker)
}

// atConnLimit reports whether a worker, or all workers together, have as many connections and dials as allowed.
func (p *Pool) atConnLimit(w *worker) bool {
	return w.atConnLimit() || p.conns.Len()+p.dialsInProgress >= p.options.MaxConns
}

func (w *worker) atConnLimit() bool {
	return len(w.conns)+w.dialsInProgress >= maxConnsPerWorker
}

// pickConn picks the least loaded of a worker's connections that may carry a call, or nil. It also returns how many
// connections are usable, whether or not they may carry this call.
func (p *Pool) pickConn(outgoing *call) (best *conn, usable int) {
	now := p.loop.Now()
	for _, candidate := range outgoing.target.conns {
		if !candidate.usable(now) {
			continue
		}
		usable++
		if candidate.knowsID(outgoing.ID, now) {
			continue
		}
		if best == nil || len(candidate.inFlight) < len(best.inFlight) {
			best = candidate
		}
	}
	return best, usable
}

// addConn adds a connection to those of a worker, for the calls to come. Half of all connections allowed are reserved
// for workers that have none.
func (p *Pool) addConn(w *worker) {
	if w.dialsInProgress > 0 || len(w.conns) >= maxConnsPerWorker || p.loop.Now() < w.noExtraConnUntil {
		return
	}
	// Where connections do not survive a short idle time, more of them are idle for longer and are of no use.
	if p.maxIdle != 0 {
		return
	}
	if 2*(p.conns.Len()+p.dialsInProgress) < p.options.MaxConns {
		p.dial(w)
	}
}

// evictIdleConn closes the connection that has been idle for longest, to make a dial possible: among the worker's own
// if the worker is at its limit, else among all. It reports false if all have calls in flight.
func (p *Pool) evictIdleConn(w *worker) bool {
	candidates := maps.Values(p.workers)
	if w.atConnLimit() {
		candidates = slices.Values([]*worker{w})
	}
	var longest *conn
	for owner := range candidates {
		for _, c := range owner.conns {
			if len(c.inFlight) == 0 && (longest == nil || c.lastActivity() < longest.lastActivity()) {
				longest = c
			}
		}
	}
	if longest == nil {
		return false
	}
	longest.close()
	return true
}

// dial opens a connection to a worker, or queues the dial until there are file descriptors for it. Without that bound
// the program could run out of descriptors, and gnet ends its event loop when it cannot accept a client.
func (p *Pool) dial(w *worker) {
	if !p.hasDescriptorsForDial() {
		if !slices.Contains(p.dialQueue, w) {
			p.dialQueue = append(p.dialQueue, w)
		}
		return
	}
	w.dialsInProgress++
	p.dialsInProgress++
	c := &conn{pool: p, target: w, inFlight: map[string]*call{}, recentlyEnded: map[string]time.Duration{}}
	p.loop.Dial(w.addr, p.options.ConnectTimeout, c, func(err error) { p.dialFailed(w, err) })
}

// dialFailed ends the calls that no other connection can carry, if no other dial to the worker is in progress.
func (p *Pool) dialFailed(w *worker, err error) {
	w.dialsInProgress--
	p.dialsInProgress--
	w.noExtraConnUntil = p.loop.Now() + dialBackoff
	p.log.WithError(err).WithField("worker", w.id).Warn("agent not reached")
	if w.dialsInProgress == 0 {
		p.writePending(w) // other connections may have become usable meanwhile
		p.failPending(w, routing.ConnectFailed)
	}
	p.startQueuedDials()
}

func (p *Pool) hasDescriptorsForDial() bool {
	return p.conns.Len()+descriptorsPerDial*(p.dialsInProgress+1) <= p.options.MaxDescriptors
}

// startQueuedDials starts the dials that waited for file descriptors, as far as they are still needed.
func (p *Pool) startQueuedDials() {
	for len(p.dialQueue) > 0 && p.hasDescriptorsForDial() {
		next := p.dialQueue[0]
		p.dialQueue = p.dialQueue[1:]
		if len(next.pending) > 0 && next.dialsInProgress == 0 {
			p.dial(next)
		}
	}
}
