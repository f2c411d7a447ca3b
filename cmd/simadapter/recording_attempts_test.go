package main

import (
	"fmt"
	"strconv"
)

// plannedResult is the planned result of an attempt at a worker.
type plannedResult struct {
	outcome       string
	latencyMicros int64
	startType     int
}

// startAttempt starts an attempt at a worker and schedules its end.
func (s *simulation) startAttempt(id, timeoutText, workerID string) error {
	timeoutMillis, err := strconv.ParseFloat(timeoutText, 64)
	if err != nil {
		return err
	}
	request := s.requests[id]
	if request == nil { // request invented by unexpectedEvent
		request = &simulatedRequest{id: id, function: s.functions[0]}
		s.requests[id] = request
	}
	worker := s.worker(workerID)
	attempt := &simulatedAttempt{worker: worker}
	number := len(request.attempts)
	timeout := int64(timeoutMillis * 1000)
	request.attempts = append(request.attempts, attempt)
	if worker == nil || worker.state == wireGone {
		after := 1000 + s.rng.Int64N(5000)
		outcome := []string{wireConnectFailed, wireNotSent}[s.rng.IntN(2)]
		s.scheduleEnd(request, attempt, number, after, outcome, wireAbsent, timeout)
		return nil
	}
	result := s.planResult(worker, request.function)
	s.applyCondition(&result, worker, timeout)
	s.applyPressure(&result, worker)
	if result.latencyMicros >= timeout {
		result.outcome, result.latencyMicros = wireTimedOut, timeout
	}
	if result.outcome == wireServed && request.function.class == streamingClass && s.chance(900) {
		s.scheduleStreamStart(request, attempt, number, result.latencyMicros/3)
	}
	info := wireAbsent
	if s.chance(850) {
		if s.chance(200) {
			result.startType = wireStartUnknown
		}
		info = strconv.Itoa(result.startType + wireStartInfoRadix*worker.inFlight)
	}
	worker.inFlight++
	s.scheduleEnd(request, attempt, number, result.latencyMicros, result.outcome, info, timeout)
	return nil
}

// planResult returns a random result of an attempt at a healthy worker.
func (s *simulation) planResult(worker *simulatedWorker, function *simulatedFunction) plannedResult {
	result := plannedResult{
		outcome:       wireServed,
		latencyMicros: function.serviceMicros/2 + s.rng.Int64N(function.serviceMicros),
		startType:     wireWarmStart,
	}
	result.latencyMicros += result.latencyMicros * int64(worker.inFlight) / 8
	if !worker.loaded[function.name] {
		result.startType = []int{wireColdStart, wireJoinedColdStart}[s.rng.IntN(2)]
		if s.profile.whenNotLoaded == "miss" {
			result.outcome, result.latencyMicros = wireNotLoaded, 3000
		} else {
			result.latencyMicros += function.loadMicros
		}
	}
	warmingUp := worker.startedMicros > 0 && s.now-worker.startedMicros < int64(s.profile.slowStartMs)*1000
	if warmingUp {
		result.latencyMicros *= 2
	}
	return result
}

// applyCondition modifies the result of an attempt according to the condition of the worker.
func (s *simulation) applyCondition(result *plannedResult, worker *simulatedWorker, timeout int64) {
	switch worker.condition {
	case conditionUnresponsive:
		result.outcome, result.latencyMicros = wireTimedOut, timeout
	case conditionErrors:
		if s.chance(700) {
			result.outcome, result.latencyMicros = wireErrored, result.latencyMicros/4
		}
	case conditionRefusesConnections:
		result.outcome, result.latencyMicros = wireConnectFailed, 2000
	case conditionResetsConnections:
		result.outcome, result.latencyMicros = wireConnectionReset, result.latencyMicros/2
	case conditionSlow:
		result.latencyMicros *= 7
	case conditionSheds:
		if s.chance(700) {
			result.outcome, result.latencyMicros = wireShed, 2000
		}
	case conditionLosesResponses:
		if s.chance(350) {
			result.outcome, result.latencyMicros = wireTimedOut, timeout
		}
	case conditionLoadsFail:
		if result.startType > wireWarmStart {
			result.startType, result.outcome = wireLoadFailed, []string{wireErrored, wireNotLoaded}[s.rng.IntN(2)]
			result.latencyMicros /= 2
		}
	}
}

// applyPressure makes draining and overloaded workers shed some attempts, and gives a few attempts a random outcome.
func (s *simulation) applyPressure(result *plannedResult, worker *simulatedWorker) {
	switch {
	case worker.state == wireDraining && s.chance(300):
		result.outcome, result.latencyMicros = wireShed, 1500
	case worker.inFlight > 12 && s.chance(500):
		result.outcome, result.latencyMicros = wireShed, 2500
	case s.chance(12):
		result.outcome = wireOutcomes[s.rng.IntN(len(wireOutcomes))]
		result.latencyMicros = 1000 + s.rng.Int64N(50000)
	}
}

// scheduleStreamStart schedules the start of a streamed response. It has no effect if the attempt ends before.
func (s *simulation) scheduleStreamStart(request *simulatedRequest, attempt *simulatedAttempt, number int,
	after int64,
) {
	s.schedule(after, func() string {
		if attempt.ended {
			return ""
		}
		return fmt.Sprintf("first\t%s\t%d\t%s\t%s\n", request.id, number, attempt.worker.id, millisText(after))
	})
}

// scheduleEnd schedules the end of an attempt. It has no effect if the attempt was canceled before.
func (s *simulation) scheduleEnd(request *simulatedRequest, attempt *simulatedAttempt, number int, latency int64,
	outcome, info string, timeout int64,
) {
	s.schedule(min(latency, timeout), func() string {
		if attempt.ended {
			return ""
		}
		return s.attemptEnded(request, attempt, number, millisText(latency), outcome, info)
	})
}

// attemptEnded ends an attempt and returns its message, occasionally as a duplicate pair.
func (s *simulation) attemptEnded(request *simulatedRequest, attempt *simulatedAttempt, number int,
	latency, outcome, info string,
) string {
	attempt.ended = true
	id, report := "worker-lost", wireAbsent
	if attempt.worker != nil {
		id = attempt.worker.id
		attempt.worker.inFlight = max(0, attempt.worker.inFlight-1)
		if outcome == wireServed || outcome == wireShed || outcome == wireErrored {
			report = s.loadReport(attempt.worker)
		}
		if outcome == wireServed {
			attempt.worker.loaded[request.function.name] = true
			if s.chance(15) { // evicted
				delete(attempt.worker.loaded, request.function.name)
			}
		}
	}
	if outcome == wireServed || outcome == wireErrored && s.chance(200) {
		request.finished = true
	}
	answered := 0
	if request.finished {
		answered = 1
	}
	if s.chance(50) {
		latency = wireAbsent
	}
	line := fmt.Sprintf("outcome\t%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\n", request.id, answered, info, latency, id, number,
		outcome, report)
	if s.chance(4) {
		line += line
	}
	return line
}

// loadReport returns a load report of a worker, or an invented one if worker is nil, or wireAbsent for no report.
func (s *simulation) loadReport(worker *simulatedWorker) string {
	if !s.profile.frequentReports && s.chance(500) {
		return wireAbsent
	}
	inFlight := 1
	if worker != nil {
		inFlight = worker.inFlight
	}
	switch s.rng.IntN(5) {
	case 0:
		return wireAbsent
	case 1:
		return fmt.Sprintf("inflight:%d", inFlight+s.rng.IntN(4))
	case 2:
		return fmt.Sprintf("util:0.%02d,x0:0.%d,x1:%d,other:3", min(99, 10*inFlight+s.rng.IntN(20)), s.rng.IntN(10),
			s.rng.IntN(3))
	case 3:
		return fmt.Sprintf("inflight:%d,queue:%d,util:0.%02d", inFlight, s.rng.IntN(3), s.rng.IntN(100))
	}
	return fmt.Sprintf("util:%d,queue:-", 1+s.rng.IntN(2))
}
