//go:build race

package quota

const maxDepth = 4 // the race detector slows the checker down tenfold, and the checked code is not concurrent
