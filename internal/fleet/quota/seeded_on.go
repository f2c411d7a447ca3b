//go:build faults

package quota

var seeded = none
