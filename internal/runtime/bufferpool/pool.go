// Package bufferpool lends byte buffers of one size and takes them back for reuse.
package bufferpool

// Size is the capacity of every buffer in bytes: the largest body that a request may have.
const Size = 16 << 10

// maxExcessFree is by how many the free buffers kept may exceed those lent: a burst must not hold its memory for good.
const maxExcessFree = 64

// Buffer is a lent buffer. B never grows beyond Size.
type Buffer struct{ B []byte }

// Append adds bytes and reports whether they fitted. If they don't, nothing is added.
func (b *Buffer) Append(data []byte) bool {
	if len(b.B)+len(data) > Size {
		return false
	}
	b.B = append(b.B, data...)
	return true
}

// Pool lends buffers, up to a limit on how many are lent at a time. It is not safe for concurrent use.
type Pool struct {
	limit int
	lent  int
	free  []*Buffer // empty buffers; the last one is lent next
}

// NewPool returns a Pool that lends at most limit buffers at a time.
func NewPool(limit int) *Pool { return &Pool{limit: limit} }

// Get lends an empty buffer, or returns nil if as many as the limit allows are lent.
func (p *Pool) Get() *Buffer {
	if p.lent >= p.limit {
		return nil
	}
	p.lent++
	if n := len(p.free); n > 0 {
		buffer := p.free[n-1]
		p.free = p.free[:n-1]
		return buffer
	}
	return &Buffer{B: make([]byte, 0, Size)}
}

// Put takes a buffer back. It does nothing with nil.
func (p *Pool) Put(buffer *Buffer) {
	if buffer == nil {
		return
	}
	p.lent--
	if len(p.free) < p.lent+maxExcessFree {
		buffer.B = buffer.B[:0]
		p.free = append(p.free, buffer)
	}
}
