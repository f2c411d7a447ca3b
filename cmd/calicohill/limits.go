package main

import (
	"calicohill/internal/config"
	"calicohill/internal/discovery"
)

const (
	// reservedDescriptors is the number of descriptors that are not available to client and worker connections. They
	// cover the Go runtime, the event loop, the listener, the connections to the endpoint list service with their
	// dials, one open file, and one client that is accepted before another client is disconnected to make room.
	reservedDescriptors = 24
	// descriptorsPerAccept is the number of descriptors that a connection takes while it is accepted.
	descriptorsPerAccept = 2
	// maxPendingAccepts is the maximum number of connections that are accepted at the same time.
	maxPendingAccepts = 64
	// pendingAcceptsDivisor grants connections that are being accepted half of the descriptors that are not reserved for
	// anything else.
	pendingAcceptsDivisor = 2 * descriptorsPerAccept
	// minDialDescriptors is the minimum number of descriptors for dials to workers, in addition to those for
	// established connections.
	minDialDescriptors = 2
	// connsDivisor grants clients and workers a third of the descriptors each.
	connsDivisor = 3
	// minAnswerBytes and maxAnswerBytes bound the length limit for a worker's answer. The platform's longest answers have
	// minAnswerBytes.
	minAnswerBytes = 230_000
	maxAnswerBytes = 1 << 20

	maxListBytes = 4 << 20

	bytesPerMB = 1 << 20
)

// Shares of the memory that the platform grants, as divisors. Together they leave room for the garbage collector and
// for what connections take besides (see resourceLimits.boundedMemory).
const (
	reserveDivisor       = 4 // reserve for memory that the Go runtime does not account for
	requestMemoryDivisor = 4
	// functionMemoryDivisor limits the memory for functions that clients have named and that are not in use.
	functionMemoryDivisor = 8
	// endedCallMemoryDivisor limits the memory for the IDs of calls that ended recently.
	endedCallMemoryDivisor = 32
	// unsentMemoryDivisor and agentUnsentMemoryDivisor limit the memory for what clients and node agents do not read.
	unsentMemoryDivisor      = 8
	agentUnsentMemoryDivisor = 32
	// responseMemoryDivisor limits the memory for answers that workers have sent in part, on all connections.
	responseMemoryDivisor = 10
	// answerBytesDivisor limits the length of an answer: a quarter of the memory, divided by the connections to workers.
	answerBytesDivisor = 4
	// listBytesDivisor limits the length of a response of the endpoint list service, up to maxListBytes.
	listBytesDivisor = 48
)

// connBytes is the memory for the records of a connection.
const connBytes = 4 << 10

// resourceLimits holds the limits of the parts of a scheduler, which share the memory and the descriptors that the
// platform grants.
type resourceLimits struct {
	processMemory     int64 // soft memory limit of the Go runtime, in bytes
	requestMemory     int   // memory for open requests and their buffers, in bytes
	functionMemory    int   // memory for records of functions, in bytes
	endedCallMemory   int   // memory for IDs of calls that ended recently, in bytes
	unsentMemory      int   // memory for answers that clients have not read, in bytes
	agentUnsentMemory int   // memory for calls that node agents have not read, in bytes
	answerBytes       int   // length of a single answer from a worker
	responseMemory    int   // memory for answers that workers have sent in part, in bytes
	listBytes         int   // length of a response of the endpoint list service
	clientConns       int
	workerConns       int
	workerDescriptors int // connections and dials to workers; a dial briefly uses two descriptors
	pendingAccepts    int // connections that are being accepted
}

// resourceLimitsOf computes the limits from the memory and the descriptors in the platform's configuration.
func resourceLimitsOf(platform *config.Config) resourceLimits {
	memory := platform.MemoryMB * bytesPerMB
	conns := platform.MaxSockets / connsDivisor
	workers := conns + minDialDescriptors
	spare := max(platform.MaxSockets-conns-reservedDescriptors-workers, 0)
	pendingAccepts := min(1+spare/pendingAcceptsDivisor, maxPendingAccepts)
	return resourceLimits{
		processMemory:     int64(memory - memory/reserveDivisor),
		requestMemory:     memory / requestMemoryDivisor,
		functionMemory:    memory / functionMemoryDivisor,
		endedCallMemory:   memory / endedCallMemoryDivisor,
		unsentMemory:      memory / unsentMemoryDivisor,
		agentUnsentMemory: memory / agentUnsentMemoryDivisor,
		responseMemory:    memory / responseMemoryDivisor,
		listBytes:         min(memory/listBytesDivisor, maxListBytes),
		clientConns:       conns,
		workerConns:       conns,
		workerDescriptors: workers + spare - (pendingAccepts-1)*descriptorsPerAccept,
		pendingAccepts:    pendingAccepts,
		answerBytes:       min(max(memory/answerBytesDivisor/conns, minAnswerBytes), maxAnswerBytes),
	}
}

// boundedMemory returns the memory that peers can make the scheduler hold if they exhaust all limits at the same time,
// in bytes.
func (l *resourceLimits) boundedMemory() int {
	return l.requestMemory + l.functionMemory + l.endedCallMemory + l.unsentMemory + l.agentUnsentMemory + l.responseMemory +
		discovery.MaxResponseMemory(l.listBytes) + connBytes*(l.clientConns+l.workerConns)
}
