//go:build faults

package quota

// seeded is the enabled seeded fault. Tests set it.
var seeded = noFault
