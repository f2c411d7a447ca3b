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

// The parts of the memory and of the descriptors that the platform grants, as divisors.
const (
	connsDivisor         = 3 // descriptors: a third each for clients and for workers
	reserveDivisor       = 4 // memory that the Go runtime does not count
	requestBufferDivisor = 3
	unsentBytesDivisor   = 8
	// answerBytesDivisor: even if an endless answer came in on every connection, a quarter of the memory would be enough.
	answerBytesDivisor = 4

	bytesPerMB = 1 << 20
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
	memory := platform.MemoryMB * bytesPerMB
	conns := platform.MaxSockets / connsDivisor
	return resourceLimits{
		processMemory:     int64(memory - memory/reserveDivisor),
		requestBuffers:    memory / requestBufferDivisor / bufferpool.Size,
		unsentBytes:       memory / unsentBytesDivisor,
		clientConns:       conns,
		workerConns:       conns,
		workerDescriptors: max(platform.MaxSockets-conns-reservedDescriptors, conns+minDialDescriptors),
		answerBytes:       min(max(memory/answerBytesDivisor/conns, minAnswerBytes), maxAnswerBytes),
	}
}
