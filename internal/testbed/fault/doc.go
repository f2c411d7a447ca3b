// Package fault injects faults between the schedulers of a fleet and what they speak to: links and hubs that delay, lose or
// cut what they carry, byzantine members that lie, and floods of forged datagrams.
package fault
