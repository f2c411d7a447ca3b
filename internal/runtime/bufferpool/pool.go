// Package bufferpool lends byte buffers of one size and takes them back for reuse.
package bufferpool

// Size is the capacity of every buffer: the largest body that a request may have.
const Size = 16 << 10

// spare is how many buffers are kept beyond as many as are out: a burst must not hold its memory for good.
const spare = 64

// Buffer is a lent buffer. B never grows past Size.
type Buffer struct{ B []byte }

// Append adds bytes and reports whether they fitted; if not, nothing is added.
func (b *Buffer) Append(p []byte) bool {
	if len(b.B)+len(p) > Size {
		return false
	}
	b.B = append(b.B, p...)
	return true
}

// Pool lends buffers, up to a limit on how many are out. It is not safe for concurrent use.
type Pool struct {
	limit, out int
	free       []*Buffer
}

// NewPool returns a Pool that lends at most limit buffers at a time.
func NewPool(limit int) *Pool { return &Pool{limit: limit} }

// Get lends an empty buffer, or nil if all are out.
func (p *Pool) Get() *Buffer {
	if p.out >= p.limit {
		return nil
	}
	p.out++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return &Buffer{B: make([]byte, 0, Size)}
}

// Put takes a buffer back. Nil is passed over.
func (p *Pool) Put(b *Buffer) {
	if b == nil {
		return
	}
	p.out--
	if len(p.free) < p.out+spare {
		b.B = b.B[:0]
		p.free = append(p.free, b)
	}
}
