//go:build !faults

package quota

const seeded = noFault
