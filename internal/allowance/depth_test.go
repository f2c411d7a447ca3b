//go:build !race

package allowance

const depth = 6 // events of a course that the checker looks at
