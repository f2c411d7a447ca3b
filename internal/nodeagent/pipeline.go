package nodeagent

import (
	"maps"
	"time"
)

const (
	// unresponsiveTimeout is how long a call may be in flight with nothing received since until new calls go to other
	// connections: a machine that was cut off gives no sign on the old one.
	unresponsiveTimeout = time.Second
	// lateAnswerWindow is how long after a call was canceled, or answered, another answer to it may still come.
	lateAnswerWindow = 3 * time.Second
)

// pipeline holds the calls in flight on one connection and the ids of those that ended lately. It belongs to a conn and is
// used on the event loop only. At most depth calls are in flight; ids of ended calls that have expired are deleted when
// there are as many.
type pipeline struct {
	depth         int
	inFlight      map[string]*call         // by call id
	recentlyEnded map[string]time.Duration // when a call ended, by its id: another answer may still come
}

func newPipeline(depth int) pipeline {
	return pipeline{depth: depth, inFlight: map[string]*call{}, recentlyEnded: map[string]time.Duration{}}
}

// len is the number of calls in flight.
func (p *pipeline) len() int { return len(p.inFlight) }

// isFull reports whether as many calls are in flight as may be.
func (p *pipeline) isFull() bool { return len(p.inFlight) >= p.depth }

// add adds a call that was written.
func (p *pipeline) add(written *call) { p.inFlight[written.ID] = written }

// take removes the call that an answer is for; nil if there is none.
func (p *pipeline) take(id string) *call {
	taken := p.inFlight[id]
	delete(p.inFlight, id)
	return taken
}

// abandon removes a call that was canceled.
func (p *pipeline) abandon(id string, now time.Duration) {
	delete(p.inFlight, id)
	p.recordEnded(id, now)
}

// recordEnded remembers the id of an ended call for as long as a late answer could be taken for that of another
// attempt. Once there are as many ids as the pipeline is deep, expired ones are deleted.
func (p *pipeline) recordEnded(id string, now time.Duration) {
	if len(p.recentlyEnded) >= p.depth {
		maps.DeleteFunc(p.recentlyEnded, func(_ string, endedAt time.Duration) bool {
			return now-endedAt >= lateAnswerWindow
		})
	}
	p.recentlyEnded[id] = now
}

// knowsID reports whether an answer with this id could be meant for another call. Two attempts of one request cannot
// be told apart on one connection, and one that was canceled or answered may be answered there once more.
func (p *pipeline) knowsID(id string, now time.Duration) bool {
	if _, inFlight := p.inFlight[id]; inFlight {
		return true
	}
	endedAt, ended := p.recentlyEnded[id]
	return ended && now-endedAt < lateAnswerWindow
}

// unresponsive reports whether some call is in flight for long with nothing received since it was written.
func (p *pipeline) unresponsive(lastReadAt, now time.Duration) bool {
	for _, waiting := range p.inFlight {
		if waiting.writtenAt > lastReadAt && now-waiting.writtenAt > unresponsiveTimeout {
			return true
		}
	}
	return false
}

// drop removes all calls in flight, each before it is passed to dropped.
func (p *pipeline) drop(dropped func(*call)) {
	for id, lost := range p.inFlight {
		delete(p.inFlight, id)
		dropped(lost)
	}
}
