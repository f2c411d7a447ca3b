package nodeagent

import "errors"

// minResponseBuffer is the smallest capacity of a responseBuffer that holds anything, in bytes. The capacity doubles as
// it grows.
const minResponseBuffer = 4 << 10

// errResponseMemory is the reason for dropping a response to limit the memory for incomplete responses.
var errResponseMemory = errors.New("too much memory for incomplete responses")

// responseMemory limits the memory for incomplete responses on all connections together. It belongs to a Pool and is
// used only on the event loop.
type responseMemory struct {
	limit   int // in bytes; 0 means no limit
	used    int
	highest int // maximum of used since the start
	holders map[*conn]struct{}
}

// change changes the memory that a connection uses.
func (m *responseMemory) change(holder *conn, from, to int) {
	m.used += to - from
	m.highest = max(m.highest, m.used)
	if to > 0 {
		m.holders[holder] = struct{}{}
	} else {
		delete(m.holders, holder)
	}
}

// fits reports whether that many more bytes may be used.
func (m *responseMemory) fits(bytes int) bool { return m.limit == 0 || m.used+bytes <= m.limit }

// largestHolder returns the connection that uses the most memory, or nil if none uses any.
func (m *responseMemory) largestHolder() *conn {
	var largest *conn
	for holder := range m.holders {
		if largest == nil || cap(holder.partial) > cap(largest.partial) {
			largest = holder
		}
	}
	return largest
}

// keepPartial keeps received bytes until the rest of their response is received. The socket's receive buffer would copy
// all of them each time more is received, and has no limit. It returns false, and keeps nothing, if there is no room.
func (c *conn) keepPartial(received []byte) bool {
	if length := len(c.partial) + len(received); length > cap(c.partial) && !c.growPartial(length) {
		return false
	}
	c.partial = append(c.partial, received...)
	return true
}

// growPartial makes room for length bytes in partial. At the limit, the responses on connections that use more memory
// than this one would are dropped. It returns false if there is none.
func (c *conn) growPartial(length int) bool {
	capacity := max(cap(c.partial), minResponseBuffer)
	for capacity < length {
		capacity *= 2
	}
	memory := &c.pool.responses
	for !memory.fits(capacity) { // the old buffer is in use until its content is copied
		largest := memory.largestHolder()
		if largest == nil || largest == c || cap(largest.partial) <= capacity {
			return false
		}
		largest.giveWay()
	}
	grown := append(make([]byte, 0, capacity), c.partial...)
	memory.change(c, cap(c.partial), capacity)
	c.partial = grown
	return true
}

// giveWay drops the incomplete response to release its memory. If that is not possible, it closes the connection.
func (c *conn) giveWay() {
	if err := c.dropResponse(c.partial); err != nil {
		c.logInvalid(err)
		c.close()
		return
	}
	c.closeIfDrained()
}

// dropResponse drops an incomplete response, of which the given bytes were received, because there is no room for it.
// Its call fails, and the other calls on the connection go on. An error means that it is not known where the response
// ends, because its first line is not complete.
func (c *conn) dropResponse(start []byte) error {
	resp, lineSize, err := parseResponse(start, 0) // any body is over this limit, and follows the line
	if err != nil {
		return err
	}
	if resp.skippedBytes == 0 {
		return errResponseMemory
	}
	c.startSkip(&resp, errResponseMemory)
	c.skip(len(start) - lineSize)
	c.releasePartial()
	c.handleResponse(resp)
	return nil
}

// removePartial removes the first bytes of partial, and releases its memory if none are left.
func (c *conn) removePartial(size int) {
	if size == 0 {
		return
	}
	rest := copy(c.partial, c.partial[size:])
	c.partial = c.partial[:rest]
	if rest == 0 {
		c.releasePartial()
	}
}

// releasePartial releases the memory of partial.
func (c *conn) releasePartial() {
	c.pool.responses.change(c, cap(c.partial), 0)
	c.partial = nil
}
