// Package testbed has stand-ins of what a scheduler speaks to, faults by schedule, and whole fleets of schedulers: real
// processes on loopback, or their cores in virtual time. It measures; nothing of it runs in service.
//
// The stand-ins are a list service (ListService), workers (Worker) and the network between them (Link, Hub). Byzantine
// members lie to the fleet (ByzantineMember). A Scenario says when which fault happens, a Load what clients send, and the
// experiments (ColdStartExperiment, GossipExperiment, MatchExperiment, VirtualExperiment) measure what became of it.
//
// The tests of cmd/calicohill use the same configuration (Config, Settings), wire formats (AgentCommand,
// AgentAnswer, PollRequest, EndpointEvent, EndpointFeed) and Log. Their list service and agents are their own: they answer
// by a script, request by request, where those here answer by a fault and a profile.
package testbed
