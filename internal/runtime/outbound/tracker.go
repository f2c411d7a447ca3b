package outbound

// Conn is a connection that may have unsent bytes.
type Conn interface {
	comparable
	// UnsentBytes returns the number of bytes that were written to the connection and not accepted by the system yet.
	UnsentBytes() int
}

// Tracker tracks the connections that may have unsent bytes, to limit their memory. The zero value tracks none. It is
// not safe for concurrent use.
type Tracker[C Conn] struct{ conns map[C]struct{} }

// Add adds a connection that has unsent bytes.
func (t *Tracker[C]) Add(conn C) {
	if t.conns == nil {
		t.conns = map[C]struct{}{}
	}
	t.conns[conn] = struct{}{}
}

// Remove removes a connection that is about to be closed.
func (t *Tracker[C]) Remove(conn C) { delete(t.conns, conn) }

// Bytes returns the total number of unsent bytes. It removes connections that have none left.
func (t *Tracker[C]) Bytes() int {
	total := 0
	for conn := range t.conns {
		unsent := conn.UnsentBytes()
		if unsent == 0 {
			delete(t.conns, conn)
		}
		total += unsent
	}
	return total
}

// Memory returns the memory that the unsent bytes take at most. It removes connections that have none left.
func (t *Tracker[C]) Memory() int {
	bytes := t.Bytes()
	return MemoryFor(len(t.conns), bytes)
}

// MemoryFor returns the memory that unsent bytes of a number of connections take at most, if all were written by Write
// in amounts of at least PieceSize. The last piece of such an amount may take twice its length.
func MemoryFor(conns, bytes int) int { return bytes + bytes/2 + conns*maxOverhead }

// Largest returns the connection with the most unsent bytes. It returns false if there is none.
func (t *Tracker[C]) Largest() (largest C, ok bool) {
	most := 0
	for conn := range t.conns {
		if unsent := conn.UnsentBytes(); unsent > most {
			largest, most, ok = conn, unsent, true
		}
	}
	return largest, ok
}

// All calls visit for each tracked connection. It may remove the connection.
func (t *Tracker[C]) All(visit func(C)) {
	for conn := range t.conns {
		visit(conn)
	}
}
