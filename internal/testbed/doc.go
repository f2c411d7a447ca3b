// Package testbed contains no code. Its subpackages run whole fleets of schedulers, either as real processes on loopback or
// as their cores in virtual time, inject faults and measure the effect. None of this code runs in production.
//
//	experiment  ColdStart, Gossip, Match and Soak: a fleet under faults and load, with checks of the outcome
//	scenario    fault scripts and the execution of their steps
//	process     fleets of real processes, with their fronts and logs
//	virtual     fleets in virtual time: Routers, poll planners and gossip membership
//	gossipsim   a network of gossip cores in virtual time
//	standin     stand-ins for the list service and the workers, with both protocols
//	fault       faulty links and hubs, byzantine members and floods
//	report      results of experiments, as JSON and plots
//	workload    client load and its outcome
//	platform    the platform's configuration of a scheduler
//	wait        sleeping with a context
//	golden      golden files for tests
//
// A package imports only packages further down this list. The tests of cmd/calicohill use platform, process and the formats
// of standin, but have their own list service and agents: those respond to each request by a script, whereas the ones of
// standin respond by a fault and a profile.
package testbed
