//go:build !faults

package allowance

const seeded = none
