package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// applyAction simulates the effect of the action in one reply line.
func (s *simulation) applyAction(line string) error {
	fields := strings.Split(line, "\t")
	switch fields[0] {
	case wireSend:
		return s.startAttempt(fields[1], fields[2], fields[3])
	case wireCancel:
		s.cancel(fields[1], fields[2])
	case wireReject, wireFail:
		request := s.requests[fields[1]]
		if request == nil {
			return nil // request invented by unexpectedEvent
		}
		request.finished = true
		if fields[0] == wireReject && s.chance(300) {
			s.schedule(50000+s.rng.Int64N(400000), func() string { return s.newRequest(request.function, wireRetryFlag) })
		}
	case wireSetTimer:
		after, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return err
		}
		token, late := fields[2], int64(0)
		if s.chance(10) {
			late = s.rng.Int64N(300000)
		}
		s.schedule(int64(after*1000)+late, func() string { return "reminder\t" + token + "\n" })
	case wireProbe:
		worker := fields[1]
		s.schedule(1500, func() string { return "sampled\t" + wireServed + "\t" + worker + "\t1.5\t-\n" })
	case wireLoad:
		s.load(fields[1], fields[2])
	case wireSubscribe:
		on := fields[1] == "1"
		s.schedule(2000+s.rng.Int64N(30000), func() string {
			if s.chance(300) {
				return s.endpointList(wireListFailed, nil)
			}
			s.subscribed, s.changedWorkers = on, nil
			return s.endpointList(wireListFull, s.workers)
		})
	case wireFetchList:
		s.schedule(2000, func() string { return s.endpointList(wireListCached, s.workers) })
	case wireUnload, wireInstanceFailed:
	default:
		return fmt.Errorf("unknown reply %q", line)
	}
	return nil
}

// cancel schedules the end of an attempt as canceled. Some cancellations are lost, and the attempt continues.
func (s *simulation) cancel(id, attemptNumber string) {
	request := s.requests[id]
	number, err := strconv.Atoi(attemptNumber)
	if request == nil || err != nil || number >= len(request.attempts) || s.chance(50) {
		return
	}
	attempt := request.attempts[number]
	s.schedule(1000+s.rng.Int64N(4000), func() string {
		if attempt.ended {
			return ""
		}
		return s.attemptEnded(request, attempt, number, wireAbsent, wireCanceled, wireAbsent)
	})
}

// load simulates the loading of a function at a worker and schedules the result.
func (s *simulation) load(workerID, function string) {
	worker := s.worker(workerID)
	i := slices.IndexFunc(s.functions, func(f *simulatedFunction) bool { return f.name == function })
	outcome, instances, latency := wireServed, 1+s.rng.IntN(2), int64(200000)
	if i >= 0 {
		latency = s.functions[i].loadMicros
	}
	switch {
	case worker == nil || worker.state == wireGone:
		outcome, instances, latency = wireConnectFailed, 0, 3000
	case worker.condition == conditionUnresponsive:
		outcome, instances, latency = wireTimedOut, 0, 10000000
	case s.chance(60):
		outcome, instances, latency = wireShed, 0, 4000
	case s.chance(40):
		instances = 0
	}
	s.schedule(latency, func() string {
		if outcome == wireServed && instances > 0 {
			worker.loaded[function] = true
		}
		instancesText := cmp.Or(strings.TrimPrefix(strconv.Itoa(instances), "0"), wireAbsent)
		return fmt.Sprintf("brought_up\t%s\t%s\t%s\t%s\t%s\n", workerID, millisText(latency), instancesText, function, outcome)
	})
}
