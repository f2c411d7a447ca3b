package fastcgi

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// firstRequestGrace is how long after connecting a client that means to send a request has done so.
	firstRequestGrace = 250 * time.Millisecond
	// clientKeepAlive is how long after its last request a client closes a connection by itself.
	clientKeepAlive = 4 * time.Second
)

// connTable knows how many connections are open, at most maxConns, and which of them would be missed least. It belongs to
// a Server and is used on the event loop only.
type connTable struct {
	maxConns       int
	open           map[*conn]struct{}
	withoutRequest orderedList[*conn] // no request was complete on it yet; in the order they were accepted
	idle           orderedList[*conn] // the others without an open request; in the order they became idle
}

// listing is a connection's place in a connTable, which alone changes it.
type listing struct {
	list    *orderedList[*conn] // nil if no list holds the connection
	element *list.Element
	since   time.Duration // when the connection was added to that list
}

// isFull reports whether as many connections are open as may be.
func (t *connTable) isFull() bool { return len(t.open) >= t.maxConns }

// list returns all open connections.
func (t *connTable) list() []*conn { return slices.Collect(maps.Keys(t.open)) }

// add adds a connection that was accepted now.
func (t *connTable) add(accepted *conn, now time.Duration) {
	t.open[accepted] = struct{}{}
	t.update(accepted, now)
}

// remove removes a connection that is closed.
func (t *connTable) remove(closed *conn) {
	delete(t.open, closed)
	t.unlist(closed)
}

// update moves a connection to the list that matches its state.
func (t *connTable) update(moved *conn, now time.Duration) {
	target := t.matchingList(moved)
	if target == moved.listing.list {
		return
	}
	t.unlist(moved)
	if target != nil {
		moved.listing = listing{list: target, element: target.add(moved), since: now}
	}
}

func (t *connTable) unlist(listed *conn) {
	if listed.listing.list != nil {
		listed.listing.list.remove(listed.listing.element)
	}
	listed.listing = listing{}
}

// matchingList is the list of connections without a request or of idle ones; nil for a connection that is closed or has
// requests open.
func (t *connTable) matchingList(c *conn) *orderedList[*conn] {
	switch {
	case c.socket == nil:
		return nil
	case !c.established:
		return &t.withoutRequest
	case len(c.requests) == 0:
		return &t.idle
	default:
		return nil
	}
}

// evictionCandidate returns the connection that will be missed least, or nil: a connection idle for longer than clients keep
// any; else one whose first request is overdue; else the one idle for longest; else the one accepted first.
//
// It guards against clients that occupy connections for good so that others find no capacity. Where each request comes
// on a connection of its own, the connection accepted last must not be the next to go: its request is on its way.
func (t *connTable) evictionCandidate(now time.Duration) *conn {
	victim, idleFor := oldestFlushed(&t.idle, now)
	silent, silentFor := oldestFlushed(&t.withoutRequest, now)
	if silent != nil && idleFor <= clientKeepAlive && (victim == nil || silentFor > firstRequestGrace) {
		return silent
	}
	return victim
}

// oldestFlushed returns the first connection of a list that has nothing unsent, and for how long it has been in the
// list; nil and 0 if there is none. A connection whose answer is not sent completely is idle in name only.
func oldestFlushed(conns *orderedList[*conn], now time.Duration) (*conn, time.Duration) {
	for candidate := range conns.all() {
		if candidate.socket.OutboundBuffered() == 0 {
			return candidate, now - candidate.listing.since
		}
	}
	return nil, 0
}
