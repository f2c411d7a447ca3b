//go:build !faults

package quota

const seeded = none
