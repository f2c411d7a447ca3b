// Package testbed has no code of its own: it holds the packages that run whole fleets of schedulers, as real processes on
// loopback or as their cores in virtual time, disturb them and measure them. Nothing of it runs in service.
//
//	experiment  ColdStart, Gossip and Match: a fleet, a fault, a load, and the checks of what became of it
//	scenario    scripts of what happens to a fleet, and their steps
//	process     fleets of real processes, their fronts and their logs
//	virtual     fleets in virtual time: Routers, poll planners and the membership
//	gossipsim   a network of gossip cores in virtual time
//	standin     the list service and the workers that schedulers speak to, and both protocols
//	fault       links, hubs, byzantine members and floods
//	report      what experiments measured, in JSON and as plots
//	workload    what clients send, and what became of it
//	platform    the configuration that the platform writes for a scheduler
//	wait        pauses that end with a context
//	golden      golden files of tests
//
// A package imports only those further down. The tests of cmd/calicohill use platform, process and the formats of standin.
// Their list service and agents are their own: they answer by a script, request by request, where those of standin answer by
// a fault and a profile.
package testbed
