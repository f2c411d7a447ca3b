// Package bufferpool provides a bounded pool of reusable byte buffers of a fixed size.
package bufferpool

// Size is the capacity of each buffer in bytes. It equals the maximum size of a request body.
const Size = 16 << 10

// maxExcessFree is the maximum by which free buffers may outnumber buffers in use. It makes the pool release memory
// after a burst.
const maxExcessFree = 64

// Buffer is a byte buffer from a Pool. B never grows beyond Size.
type Buffer struct{ B []byte }

// Append appends data and returns true. If data does not fit, it appends nothing and returns false.
func (b *Buffer) Append(data []byte) bool {
	if len(b.B)+len(data) > Size {
		return false
	}
	b.B = append(b.B, data...)
	return true
}

// Pool is a pool of buffers with a limit on the number in use at a time. It is not safe for concurrent use.
type Pool struct {
	limit int
	inUse int
	free  []*Buffer // empty buffers, used as a stack
}

// NewPool returns a Pool with at most limit buffers in use at a time.
func NewPool(limit int) *Pool { return &Pool{limit: limit} }

// Get returns an empty buffer, or nil if the limit is reached.
func (p *Pool) Get() *Buffer {
	if p.inUse >= p.limit {
		return nil
	}
	p.inUse++
	if n := len(p.free); n > 0 {
		buffer := p.free[n-1]
		p.free = p.free[:n-1]
		return buffer
	}
	return &Buffer{B: make([]byte, 0, Size)}
}

// InUse returns the number of buffers in use.
func (p *Pool) InUse() int { return p.inUse }

// Put returns a buffer to the pool. It does nothing if buffer is nil.
func (p *Pool) Put(buffer *Buffer) {
	if buffer == nil {
		return
	}
	p.inUse--
	if len(p.free) < p.inUse+maxExcessFree {
		buffer.B = buffer.B[:0]
		p.free = append(p.free, buffer)
	}
}
