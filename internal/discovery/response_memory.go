package discovery

import "fmt"

// minBodySteps sets the smallest capacity of a body: the longest body, halved that many times.
const minBodySteps = 7

// responseMemory limits the memory for the bodies of responses on all connections together. It belongs to a Watcher.
type responseMemory struct {
	maxBody int // length of the longest body, in bytes
	used    int // capacity of all bodies, in bytes
}

// MaxResponseMemory returns the memory that the bodies of responses take at most, if the longest has maxBody bytes. While
// a body grows, its content is copied.
func MaxResponseMemory(maxBody int) int { return maxBody + maxBody/2 }

// growBody makes room for more bytes in the body. The caller limits its length. The error wraps errMalformedResponse.
func (r *responseReader) growBody(more int) error {
	length := len(r.body) + more
	if length <= cap(r.body) {
		return nil
	}
	capacity := r.memory.maxBody >> minBodySteps
	for capacity < length {
		capacity = min(2*capacity+1, r.memory.maxBody)
	}
	if r.memory.used+capacity > MaxResponseMemory(r.memory.maxBody) {
		return fmt.Errorf("%w: too much memory for responses", errMalformedResponse)
	}
	r.memory.used += capacity - cap(r.body)
	r.body = append(make([]byte, 0, capacity), r.body...)
	return nil
}
