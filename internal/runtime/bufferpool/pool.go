// Package bufferpool provides reusable byte buffers and accounts for the memory of the requests that they belong to.
package bufferpool

import "errors"

const (
	// Size is the largest capacity of a buffer in bytes. It equals the maximum size of a request body.
	Size = 16 << 10
	// MinSize is the smallest capacity of a buffer in bytes. Each size is twice the next smaller one.
	MinSize = 1 << 10
	// sizeCount is the number of sizes from MinSize to Size.
	sizeCount = 5
	// maxExcessFree is the maximum by which the bytes of free buffers may exceed those of buffers in use. It makes the
	// pool release memory after a burst.
	maxExcessFree = 1 << 20
)

// Errors of Append. After an error the buffer is unchanged.
var (
	// ErrTooLong means that the content would exceed Size.
	ErrTooLong = errors.New("content exceeds the size of a buffer")
	// ErrExhausted means that the limit of the pool is reached.
	ErrExhausted = errors.New("memory for requests is exhausted")
)

// Buffer is a byte buffer from a Pool. The capacity of B is one of the sizes of the pool.
type Buffer struct{ B []byte }

// Capacity returns the memory that the buffer takes, in bytes. It is 0 for nil.
func (b *Buffer) Capacity() int {
	if b == nil {
		return 0
	}
	return cap(b.B)
}

// Pool is a pool of buffers with a limit on their capacity and the reserved memory together. It is not safe for
// concurrent use.
type Pool struct {
	limit     int // bytes
	reserved  int // by Reserve, in bytes
	inUse     int // capacity of the buffers in use, in bytes
	count     int // of the buffers in use
	freeBytes int
	free      [sizeCount][]*Buffer // empty buffers by size, used as stacks
	highest   int                  // maximum of reserved and inUse together since the start, in bytes
}

// NewPool returns a Pool with a limit in bytes.
func NewPool(limit int) *Pool { return &Pool{limit: limit} }

// InUse returns the number of buffers in use.
func (p *Pool) InUse() int { return p.count }

// Used returns the memory in use: reserved memory and the capacity of the buffers in use, in bytes.
func (p *Pool) Used() int { return p.reserved + p.inUse }

// Highest returns the maximum of Used since the start.
func (p *Pool) Highest() int { return p.highest }

// Fits reports whether that many bytes can be reserved or used for buffers.
func (p *Pool) Fits(bytes int) bool { return p.Used()+bytes <= p.limit }

// Reserve reserves memory for something other than a buffer. It returns false if the limit would be exceeded.
func (p *Pool) Reserve(bytes int) bool {
	if !p.makeRoom(bytes) {
		return false
	}
	p.reserved += bytes
	p.recordHighest()
	return true
}

// Release releases memory that was reserved.
func (p *Pool) Release(bytes int) { p.reserved -= bytes }

// Get returns an empty buffer of the smallest size, or nil if the limit is reached.
func (p *Pool) Get() *Buffer { return p.get(0) }

// Append appends data to a buffer, whose capacity grows as needed.
func (p *Pool) Append(buffer *Buffer, data []byte) error {
	length := len(buffer.B) + len(data)
	switch {
	case length > Size:
		return ErrTooLong
	case length > cap(buffer.B) && !p.grow(buffer, length):
		return ErrExhausted
	}
	buffer.B = append(buffer.B, data...)
	return nil
}

// GrowthFor returns by how many bytes Append would increase the memory in use at most.
func GrowthFor(buffer *Buffer, data []byte) int {
	length := len(buffer.B) + len(data)
	if length <= cap(buffer.B) || length > Size {
		return 0
	}
	return bytesOf(sizeFor(length))
}

// Put returns a buffer to the pool. It does nothing if buffer is nil.
func (p *Pool) Put(buffer *Buffer) {
	if buffer == nil {
		return
	}
	p.count--
	p.putBytes(buffer.B)
}

// grow gives a buffer the smallest capacity that holds length bytes. It returns false if the limit would be exceeded.
func (p *Pool) grow(buffer *Buffer, length int) bool {
	larger := p.get(sizeFor(length))
	if larger == nil {
		return false
	}
	p.count-- // larger takes the place of buffer
	larger.B = append(larger.B, buffer.B...)
	p.putBytes(buffer.B)
	buffer.B = larger.B
	return true
}

// get returns an empty buffer of a size, or nil if the limit is reached.
func (p *Pool) get(size int) *Buffer {
	bytes := bytesOf(size)
	last := len(p.free[size]) - 1
	var buffer *Buffer
	switch {
	case !p.Fits(bytes):
		return nil
	case last >= 0:
		buffer = p.free[size][last]
		p.free[size] = p.free[size][:last]
		p.freeBytes -= bytes
	default:
		p.makeRoom(bytes)
		buffer = &Buffer{B: make([]byte, 0, bytes)}
	}
	p.inUse += bytes
	p.count++
	p.recordHighest()
	return buffer
}

// putBytes ends the use of the memory of a buffer and keeps it for another one if not too much is free already.
func (p *Pool) putBytes(memory []byte) {
	bytes := cap(memory)
	p.inUse -= bytes
	if p.freeBytes+bytes > p.inUse+maxExcessFree || p.Used()+p.freeBytes+bytes > p.limit {
		return
	}
	p.freeBytes += bytes
	size := sizeFor(bytes)
	p.free[size] = append(p.free[size], &Buffer{B: memory[:0]})
}

// makeRoom drops free buffers, the largest first, until that many bytes can be allocated within the limit. It returns
// false if the limit would be exceeded even so.
func (p *Pool) makeRoom(bytes int) bool {
	if !p.Fits(bytes) {
		return false
	}
	for size := sizeCount - 1; p.Used()+p.freeBytes+bytes > p.limit; {
		last := len(p.free[size]) - 1
		if last < 0 {
			size--
			continue
		}
		p.free[size][last] = nil
		p.free[size] = p.free[size][:last]
		p.freeBytes -= bytesOf(size)
	}
	return true
}

func (p *Pool) recordHighest() { p.highest = max(p.highest, p.Used()) }

// bytesOf returns the capacity of buffers of a size.
func bytesOf(size int) int { return MinSize << size }

// sizeFor returns the smallest size whose buffers hold that many bytes.
func sizeFor(bytes int) int {
	size := 0
	for bytesOf(size) < bytes {
		size++
	}
	return size
}
