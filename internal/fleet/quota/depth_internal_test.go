//go:build !race

package quota

const maxDepth = 6 // maximum events per history that the checker explores
