//go:build !faults

package quota

// seeded is the fault that is built in: none outside the build tag faults.
const seeded = noFault
