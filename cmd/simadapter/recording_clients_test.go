package main

import (
	"fmt"
	"strconv"
)

// newRequest creates a request with the given wire flags and returns its message. If function is nil, a random function
// is called.
func (w *simulatedWorld) newRequest(function *simulatedFunction, flags int) string {
	if function == nil { // the minimum of two draws favors the first functions
		function = w.functions[min(w.rng.IntN(len(w.functions)), w.rng.IntN(len(w.functions)))]
	}
	w.nextRequest++
	request := &simulatedRequest{id: fmt.Sprintf("t/%d", w.nextRequest), function: function}
	w.requests[request.id] = request
	if w.recentIDs = append(w.recentIDs, request.id); len(w.recentIDs) > 40 {
		w.recentIDs = w.recentIDs[1:]
	}
	tenant, work, load := wireUnknown, wireUnknown, wireUnknown
	memory, concurrency := wireUnknown, wireUnknown
	if w.profile.tenants != "" {
		tenant = strconv.Itoa(w.rng.IntN(3))
	}
	if w.chance(300) {
		work = millisText(function.serviceMicros)
	}
	if function.declaresLoadTime {
		load = millisText(function.loadMicros)
	}
	if w.chance(900) {
		memory, concurrency = strconv.Itoa(function.memory), strconv.Itoa(function.concurrency)
	}
	left := 300000 + w.rng.Int64N(2500000)
	if w.chance(30) {
		left = 1000 + w.rng.Int64N(40000)
	}
	clientTimeout := left
	if w.chance(25) {
		clientTimeout = w.rng.Int64N(left)
	}
	w.schedule(clientTimeout, func() string {
		if request.over {
			return ""
		}
		request.over = true
		return "expired\t" + request.id + "\n"
	})
	return fmt.Sprintf("call\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", request.id, function.class, tenant,
		function.name, millisText(left), work, memory, concurrency, load, flags)
}

// unexpectedEvent returns the message of an event that the instance must tolerate, such as one for an unknown request,
// a duplicate or an out-of-range value.
func (w *simulatedWorld) unexpectedEvent() string {
	worker, id := w.workers[w.rng.IntN(len(w.workers))].id, "t/unknown"
	if len(w.recentIDs) > 0 && w.chance(500) {
		id = w.recentIDs[w.rng.IntN(len(w.recentIDs))]
	}
	outcome := wireOutcomes[w.rng.IntN(len(wireOutcomes))]
	switch w.rng.IntN(13) {
	case 0:
		return fmt.Sprintf("outcome\tt/unknown\t0\t-\t5\t%s\t0\t%s\t-\n", worker, outcome)
	case 1:
		return fmt.Sprintf("outcome\t%s\t0\t-\t5\t%s\t%d\t%s\t-\n", id, worker, 7+w.rng.IntN(3), outcome)
	case 2:
		return fmt.Sprintf("outcome\t%s\t0\t-\t5\t%s\t-1\t%s\t-\n", id, worker, outcome)
	case 3:
		return fmt.Sprintf("first\tt/unknown\t0\t%s\t5\n", worker)
	case 4:
		return "expired\tt/unknown\n"
	case 5:
		return fmt.Sprintf("reminder\t%d\n", 2+w.rng.Uint64()>>1)
	case 6:
		return fmt.Sprintf("sampled\t%s\t%s\t-\t%s\n", outcome, worker, w.loadReport(nil))
	case 7:
		return fmt.Sprintf("sampled\t%s\tworker-unknown\t1.5\t-\n", outcome)
	case 8:
		return fmt.Sprintf("brought_up\t%s\t640\t1\tf-unknown\t%s\n", worker, outcome)
	case 9:
		f := w.functions[w.rng.IntN(len(w.functions))]
		return fmt.Sprintf("brought_up\t%s\t-\t%d\t%s\t%s\n", worker, w.rng.IntN(3), f.name, outcome)
	case 10:
		return []string{"datagram\t2\t6869\n", "datagram\t0\t-\n", "datagram\t-1\t00ff\n"}[w.rng.IntN(3)]
	case 11:
		class := []int{-1, 6, 99, 0}[w.rng.IntN(4)] // only 0 is a valid class; the request ID may exist already
		return fmt.Sprintf("call\t%s\t%d\t-\tf-odd\t200\t-\t-\t-\t-\t-\n", id, class)
	default:
		switch w.rng.IntN(4) {
		case 0:
			return w.endpointList(wireListFailed, nil)
		case 1:
			return w.endpointList(wireListCached, w.workers[1:])
		case 2:
			return w.endpointList(wireListFull, w.workers)
		default:
			gone := simulatedWorker{id: "worker-never-seen", weight: 1}
			return w.endpointList(wireListChanges, []*simulatedWorker{&gone})
		}
	}
}
