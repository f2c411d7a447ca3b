package main

import (
	"calicohill/internal/config"
	"calicohill/internal/runtime/bufferpool"
)

const (
	// reservedDescriptors is the number of descriptors that neither clients nor workers get: those of the runtime, the
	// loop and the listener, the connections to the endpoint list service and their dials, a file that is read, and a
	// client that is accepted before another one is closed for it.
	reservedDescriptors = 24
	// minDialDescriptors is the number of descriptors for dials to workers beyond their connections.
	minDialDescriptors = 2
	// minAnswerBytes and maxAnswerBytes bound the limit on the length of a worker's answer.
	minAnswerBytes = 64 << 10
	maxAnswerBytes = 1 << 20
)

// resourceLimits divides the memory and the descriptors that the platform grants among the parts of a scheduler.
type resourceLimits struct {
	processMemory     int64 // bytes, soft limit of the Go runtime
	requestBuffers    int   // buffers for requests that are not answered yet
	unsentBytes       int   // answers that clients have not read
	answerBytes       int   // length of one worker's answer
	clientConns       int
	workerConns       int
	workerDescriptors int // for connections to workers and dials: a dial holds two descriptors for a moment
}

// resourceLimitsOf returns the limits of a scheduler with a configuration.
func resourceLimitsOf(platform *config.Config) resourceLimits {
	memory := platform.MemoryMB << 20
	conns := platform.MaxSockets / 3
	return resourceLimits{
		processMemory:     int64(memory) * 3 / 4,
		requestBuffers:    memory / 3 / bufferpool.Size,
		unsentBytes:       memory / 8,
		clientConns:       conns,
		workerConns:       conns,
		workerDescriptors: max(platform.MaxSockets-conns-reservedDescriptors, conns+minDialDescriptors),
		// Even if an endless answer came in on every connection, a quarter of the memory would be enough.
		answerBytes: min(max(memory/4/conns, minAnswerBytes), maxAnswerBytes),
	}
}
