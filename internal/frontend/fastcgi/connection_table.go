package fastcgi

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// firstRequestGrace is the time in which a well-behaved client sends its first request after connecting.
	firstRequestGrace = 250 * time.Millisecond
	// clientKeepAlive is the time after which clients close an idle connection themselves.
	clientKeepAlive = 4 * time.Second
)

// connTable tracks the open connections, at most maxConns, and selects connections to evict. It belongs to a Server and
// is used only on the event loop.
type connTable struct {
	maxConns       int
	open           map[*conn]struct{}
	withoutRequest orderedList[*conn] // have not completed a request yet; in order of accept
	idle           orderedList[*conn] // have completed a request and have none open; in the order they became idle
}

// listEntry is a connection's position in the lists of a connTable. Only the connTable changes it.
type listEntry struct {
	list    *orderedList[*conn] // nil if the connection is in no list
	element *list.Element
	since   time.Duration // when the connection was added to that list
}

// isFull reports whether the connection limit is reached.
func (t *connTable) isFull() bool { return len(t.open) >= t.maxConns }

// list returns all open connections.
func (t *connTable) list() []*conn { return slices.Collect(maps.Keys(t.open)) }

// add adds a newly accepted connection.
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
	if target == moved.listEntry.list {
		return
	}
	t.unlist(moved)
	if target != nil {
		moved.listEntry = listEntry{list: target, element: target.add(moved), since: now}
	}
}

func (t *connTable) unlist(listed *conn) {
	if listed.listEntry.list != nil {
		listed.listEntry.list.remove(listed.listEntry.element)
	}
	listed.listEntry = listEntry{}
}

// matchingList returns the list that a connection belongs in, or nil if the connection is closed or has open requests.
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

// evictionCandidate returns the connection to close in favor of a new one, or nil. In order of preference, it is:
//  1. the connection that has been idle longest, if longer than clientKeepAlive;
//  2. the oldest connection without a request, if older than firstRequestGrace;
//  3. the connection that has been idle longest;
//  4. the oldest connection without a request.
//
// Eviction keeps clients that hold connections without using them from locking out others. The newest connection is the
// last choice: where clients open a connection for each request, its request is about to arrive.
func (t *connTable) evictionCandidate(now time.Duration) *conn {
	victim, idleFor := oldestFlushed(&t.idle, now)
	silent, silentFor := oldestFlushed(&t.withoutRequest, now)
	if silent != nil && idleFor <= clientKeepAlive && (victim == nil || silentFor > firstRequestGrace) {
		return silent
	}
	return victim
}

// oldestFlushed returns the first connection of a list that has no unsent bytes, and how long it has been in the list.
// It returns nil and 0 if there is none. A connection with unsent bytes is not idle: part of its response is missing.
func oldestFlushed(conns *orderedList[*conn], now time.Duration) (*conn, time.Duration) {
	for candidate := range conns.all() {
		if candidate.UnsentBytes() == 0 {
			return candidate, now - candidate.listEntry.since
		}
	}
	return nil, 0
}
