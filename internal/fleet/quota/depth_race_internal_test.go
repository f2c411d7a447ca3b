//go:build race

package quota

const maxDepth = 4 // the race detector makes the checker ten times slower, and nothing here is concurrent
