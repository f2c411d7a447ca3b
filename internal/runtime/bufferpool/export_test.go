package bufferpool

// MaxExcessFree is the maximum by which free buffers may outnumber buffers in use.
const MaxExcessFree = maxExcessFree

// Free returns the buffers kept for reuse.
func (p *Pool) Free() []*Buffer { return p.free }
