package main

import (
	"fmt"
	"strconv"
)

// newRequest creates a request with the given wire flags and returns its message. If function is nil, a random function
// is called.
func (s *simulation) newRequest(function *simulatedFunction, flags int) string {
	if function == nil { // the minimum of two draws favors the first functions
		function = s.functions[min(s.rng.IntN(len(s.functions)), s.rng.IntN(len(s.functions)))]
	}
	s.nextRequest++
	request := &simulatedRequest{id: fmt.Sprintf("t/%d", s.nextRequest), function: function}
	s.requests[request.id] = request
	if s.recentIDs = append(s.recentIDs, request.id); len(s.recentIDs) > 40 {
		s.recentIDs = s.recentIDs[1:]
	}
	tenant, work, load := wireAbsent, wireAbsent, wireAbsent
	memory, concurrency := wireAbsent, wireAbsent
	if s.profile.tenants != "" {
		tenant = strconv.Itoa(s.rng.IntN(3))
	}
	if s.chance(300) {
		work = millisText(function.serviceMicros)
	}
	if function.declaresLoadTime {
		load = millisText(function.loadMicros)
	}
	if s.chance(900) {
		memory, concurrency = strconv.Itoa(function.memory), strconv.Itoa(function.concurrency)
	}
	timeLeft := 300000 + s.rng.Int64N(2500000)
	if s.chance(30) {
		timeLeft = 1000 + s.rng.Int64N(40000)
	}
	clientTimeout := timeLeft
	if s.chance(25) {
		clientTimeout = s.rng.Int64N(timeLeft)
	}
	s.schedule(clientTimeout, func() string {
		if request.finished {
			return ""
		}
		request.finished = true
		return "expired\t" + request.id + "\n"
	})
	return fmt.Sprintf("call\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", request.id, function.class, tenant,
		function.name, millisText(timeLeft), work, memory, concurrency, load, flags)
}

// unexpectedEvent returns the message of an event that the instance must tolerate, such as one for an unknown request,
// a duplicate or an out-of-range value.
func (s *simulation) unexpectedEvent() string {
	worker, id := s.workers[s.rng.IntN(len(s.workers))].id, "t/unknown"
	if len(s.recentIDs) > 0 && s.chance(500) {
		id = s.recentIDs[s.rng.IntN(len(s.recentIDs))]
	}
	outcome := wireOutcomes[s.rng.IntN(len(wireOutcomes))]
	switch s.rng.IntN(13) {
	case 0:
		return fmt.Sprintf("outcome\tt/unknown\t0\t-\t5\t%s\t0\t%s\t-\n", worker, outcome)
	case 1:
		return fmt.Sprintf("outcome\t%s\t0\t-\t5\t%s\t%d\t%s\t-\n", id, worker, 7+s.rng.IntN(3), outcome)
	case 2:
		return fmt.Sprintf("outcome\t%s\t0\t-\t5\t%s\t-1\t%s\t-\n", id, worker, outcome)
	case 3:
		return fmt.Sprintf("first\tt/unknown\t0\t%s\t5\n", worker)
	case 4:
		return "expired\tt/unknown\n"
	case 5:
		return fmt.Sprintf("reminder\t%d\n", 2+s.rng.Uint64()>>1)
	case 6:
		return fmt.Sprintf("sampled\t%s\t%s\t-\t%s\n", outcome, worker, s.loadReport(nil))
	case 7:
		return fmt.Sprintf("sampled\t%s\tworker-unknown\t1.5\t-\n", outcome)
	case 8:
		return fmt.Sprintf("brought_up\t%s\t640\t1\tf-unknown\t%s\n", worker, outcome)
	case 9:
		f := s.functions[s.rng.IntN(len(s.functions))]
		return fmt.Sprintf("brought_up\t%s\t-\t%d\t%s\t%s\n", worker, s.rng.IntN(3), f.name, outcome)
	case 10:
		return []string{"datagram\t2\t6869\n", "datagram\t0\t-\n", "datagram\t-1\t00ff\n"}[s.rng.IntN(3)]
	case 11:
		class := []int{-1, 6, 99, 0}[s.rng.IntN(4)] // only 0 is a valid class; the request ID may exist already
		return fmt.Sprintf("call\t%s\t%d\t-\tf-odd\t200\t-\t-\t-\t-\t-\n", id, class)
	default:
		switch s.rng.IntN(4) {
		case 0:
			return s.endpointList(wireListFailed, nil)
		case 1:
			return s.endpointList(wireListCached, s.workers[1:])
		case 2:
			return s.endpointList(wireListFull, s.workers)
		default:
			gone := simulatedWorker{id: "worker-never-seen", weight: 1}
			return s.endpointList(wireListChanges, []*simulatedWorker{&gone})
		}
	}
}
