package nodeagent

import "time"

// unresponsiveTimeout is how long a call may be in flight, with nothing received since it was written, before new calls
// use other connections. If a machine loses its network, its connections stay open but silent.
const unresponsiveTimeout = time.Second

// pipeline holds the calls in flight on one connection, at most depth, and the IDs of recently ended calls. It belongs
// to a conn and is used only on the event loop.
type pipeline struct {
	depth         int
	inFlight      map[string]*call         // by call ID
	recentlyEnded map[string]time.Duration // end times by call ID; maintained by endedCalls
}

func newPipeline(depth int) pipeline {
	return pipeline{depth: depth, inFlight: map[string]*call{}, recentlyEnded: map[string]time.Duration{}}
}

// len returns the number of calls in flight.
func (p *pipeline) len() int { return len(p.inFlight) }

// isFull reports whether the maximum number of calls is in flight.
func (p *pipeline) isFull() bool { return len(p.inFlight) >= p.depth }

// add adds a written call.
func (p *pipeline) add(written *call) { p.inFlight[written.ID] = written }

// take removes and returns the call with the ID of a response. It returns nil if there is none.
func (p *pipeline) take(id string) *call {
	taken := p.inFlight[id]
	delete(p.inFlight, id)
	return taken
}

// recordEnded records the ID of an ended call. For lateResponseWindow, a late response could be mistaken for the
// response to another attempt.
func (p *pipeline) recordEnded(id string, endedAt time.Duration) { p.recentlyEnded[id] = endedAt }

// forgetEnded removes the ID of a call that ended at endedAt, unless another call with this ID has ended since.
func (p *pipeline) forgetEnded(id string, endedAt time.Duration) {
	if p.recentlyEnded[id] == endedAt {
		delete(p.recentlyEnded, id)
	}
}

// hasID reports whether a response with this ID could belong to another call on the connection. All attempts of a
// request have the same ID, and the agent may still respond to an attempt that was canceled or has already been
// answered.
func (p *pipeline) hasID(id string, now time.Duration) bool {
	if _, inFlight := p.inFlight[id]; inFlight {
		return true
	}
	endedAt, ended := p.recentlyEnded[id]
	return ended && now-endedAt < lateResponseWindow
}

// unresponsive reports whether a call has been in flight longer than unresponsiveTimeout with nothing received since it
// was written.
func (p *pipeline) unresponsive(lastReadAt, now time.Duration) bool {
	for _, waiting := range p.inFlight {
		if waiting.writtenAt > lastReadAt && now-waiting.writtenAt > unresponsiveTimeout {
			return true
		}
	}
	return false
}

// removeAll removes all calls in flight. It passes each call to removed after removing it.
func (p *pipeline) removeAll(removed func(*call)) {
	for id, lost := range p.inFlight {
		delete(p.inFlight, id)
		removed(lost)
	}
}
