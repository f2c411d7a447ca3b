package bufferpool

// MaxExcessFree is how many more buffers may be free than are lent.
const MaxExcessFree = maxExcessFree

// Free returns the buffers that are kept for reuse.
func (p *Pool) Free() []*Buffer { return p.free }
