//go:build race

package quota

const depth = 4 // the race detector makes the checker ten times slower, and nothing here is concurrent
