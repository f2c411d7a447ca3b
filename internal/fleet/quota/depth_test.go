//go:build !race

package quota

const depth = 6 // events of a course that the checker looks at
