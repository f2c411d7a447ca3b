//go:build !race

package quota

const maxDepth = 6 // events of a course that the checker looks at
