// Package fault injects faults between schedulers, workers and other fleet members. Link and Hub delay, drop or cut
// traffic, ByzantineMember sends false fault reports, and Flood sends forged datagrams.
package fault
