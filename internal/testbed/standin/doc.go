// Package standin provides stand-ins for the services that a scheduler uses. ListService and Worker (a node agent) run
// on loopback and can simulate faults. PollQueue and WorkerProfile implement their behavior without clock and sockets,
// for simulations in virtual time. The scripted stand-ins in the tests of cmd/calicohill use the same protocol code:
// AgentCommand, AgentAnswer, EndpointEvent, EndpointFeed and PollRequest.
package standin
