//go:build faults

package quota

var seeded = noFault
