//go:build !race

package quota

const maxDepth = 6 // events of a history that the checker explores
