// Package standin has stand-ins of what a scheduler speaks to, on loopback: a list service (ListService) and node agents that
// run functions (Worker), with the faults that they may have. PollQueue and WorkerProfile are what they do without clock and
// sockets, for simulations in virtual time. The formats of both protocols (AgentCommand, AgentAnswer, EndpointEvent,
// EndpointFeed, PollRequest) are used by the scripted stand-ins of cmd/calicohill's tests too.
package standin
