package bufferpool

// MaxExcessFree is the maximum by which the bytes of free buffers may exceed those of buffers in use.
const MaxExcessFree = maxExcessFree

// Free returns the buffers kept for reuse.
func (p *Pool) Free() []*Buffer {
	var free []*Buffer
	for _, buffers := range p.free {
		free = append(free, buffers...)
	}
	return free
}
