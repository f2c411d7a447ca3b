//go:build !faults

package quota

// seeded is the enabled seeded fault: none without the build tag faults.
const seeded = noFault
