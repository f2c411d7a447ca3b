//go:build faults

package quota

// seeded is the fault that is built in; a test sets it.
var seeded = noFault
