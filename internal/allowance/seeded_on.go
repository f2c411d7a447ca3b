//go:build faults

package allowance

var seeded = none
