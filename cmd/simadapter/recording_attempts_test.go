package main

import (
	"fmt"
	"strconv"
)

// plannedEnd is the planned result of an attempt at a worker.
type plannedEnd struct {
	outcome    string
	tookMicros int64
	startType  int
}

// startAttempt starts an attempt at a worker and schedules its end.
func (w *simulatedWorld) startAttempt(id, timeoutText, workerID string) error {
	timeoutMillis, err := strconv.ParseFloat(timeoutText, 64)
	if err != nil {
		return err
	}
	request := w.requests[id]
	if request == nil { // request invented by unexpectedEvent
		request = &simulatedRequest{id: id, function: w.functions[0]}
		w.requests[id] = request
	}
	worker := w.worker(workerID)
	attempt := &simulatedAttempt{worker: worker}
	number := len(request.attempts)
	timeout := int64(timeoutMillis * 1000)
	request.attempts = append(request.attempts, attempt)
	if worker == nil || worker.state == wireGone {
		after := 1000 + w.rng.Int64N(5000)
		outcome := []string{wireConnectFailed, wireNotSent}[w.rng.IntN(2)]
		w.scheduleEnd(request, attempt, number, after, outcome, wireUnknown, timeout)
		return nil
	}
	end := w.planEnd(worker, request.function)
	w.applyCondition(&end, worker, timeout)
	w.applyPressure(&end, worker)
	if end.tookMicros >= timeout {
		end.outcome, end.tookMicros = wireTimedOut, timeout
	}
	if end.outcome == wireServed && request.function.class == streamingClass && w.chance(900) {
		w.scheduleStreamStart(request, attempt, number, end.tookMicros/3)
	}
	info := wireUnknown
	if w.chance(850) {
		if w.chance(200) {
			end.startType = wireStartUnknown
		}
		info = strconv.Itoa(end.startType + wireStartInfoRadix*worker.inFlight)
	}
	worker.inFlight++
	w.scheduleEnd(request, attempt, number, end.tookMicros, end.outcome, info, timeout)
	return nil
}

// planEnd returns a random result of an attempt at a healthy worker.
func (w *simulatedWorld) planEnd(worker *simulatedWorker, function *simulatedFunction) plannedEnd {
	end := plannedEnd{
		outcome:    wireServed,
		tookMicros: function.serviceMicros/2 + w.rng.Int64N(function.serviceMicros),
		startType:  wireWarmStart,
	}
	end.tookMicros += end.tookMicros * int64(worker.inFlight) / 8
	if !worker.loaded[function.name] {
		end.startType = []int{wireColdStart, wireJoinedColdStart}[w.rng.IntN(2)]
		if w.profile.whenNotLoaded == "miss" {
			end.outcome, end.tookMicros = wireNotLoaded, 3000
		} else {
			end.tookMicros += function.loadMicros
		}
	}
	warmingUp := worker.startedMicros > 0 && w.now-worker.startedMicros < int64(w.profile.slowStartMs)*1000
	if warmingUp {
		end.tookMicros *= 2
	}
	return end
}

// applyCondition modifies the result of an attempt according to the condition of the worker.
func (w *simulatedWorld) applyCondition(end *plannedEnd, worker *simulatedWorker, timeout int64) {
	switch worker.condition {
	case conditionUnresponsive:
		end.outcome, end.tookMicros = wireTimedOut, timeout
	case conditionErrors:
		if w.chance(700) {
			end.outcome, end.tookMicros = wireErrored, end.tookMicros/4
		}
	case conditionRefusesConnections:
		end.outcome, end.tookMicros = wireConnectFailed, 2000
	case conditionResetsConnections:
		end.outcome, end.tookMicros = wireConnectionReset, end.tookMicros/2
	case conditionSlow:
		end.tookMicros *= 7
	case conditionSheds:
		if w.chance(700) {
			end.outcome, end.tookMicros = wireShed, 2000
		}
	case conditionLosesAnswers:
		if w.chance(350) {
			end.outcome, end.tookMicros = wireTimedOut, timeout
		}
	case conditionLoadsFail:
		if end.startType > wireWarmStart {
			end.startType, end.outcome = wireLoadFailed, []string{wireErrored, wireNotLoaded}[w.rng.IntN(2)]
			end.tookMicros /= 2
		}
	}
}

// applyPressure makes draining and overloaded workers shed some attempts, and gives a few attempts a random outcome.
func (w *simulatedWorld) applyPressure(end *plannedEnd, worker *simulatedWorker) {
	switch {
	case worker.state == wireDraining && w.chance(300):
		end.outcome, end.tookMicros = wireShed, 1500
	case worker.inFlight > 12 && w.chance(500):
		end.outcome, end.tookMicros = wireShed, 2500
	case w.chance(12):
		end.outcome = wireOutcomes[w.rng.IntN(len(wireOutcomes))]
		end.tookMicros = 1000 + w.rng.Int64N(50000)
	}
}

// scheduleStreamStart schedules the start of a streamed response. It has no effect if the attempt ends before.
func (w *simulatedWorld) scheduleStreamStart(request *simulatedRequest, attempt *simulatedAttempt, number int,
	after int64,
) {
	w.schedule(after, func() string {
		if attempt.ended {
			return ""
		}
		return fmt.Sprintf("first\t%s\t%d\t%s\t%s\n", request.id, number, attempt.worker.id, millisText(after))
	})
}

// scheduleEnd schedules the end of an attempt. It has no effect if the attempt was canceled before.
func (w *simulatedWorld) scheduleEnd(request *simulatedRequest, attempt *simulatedAttempt, number int, took int64,
	outcome, info string, timeout int64,
) {
	w.schedule(min(took, timeout), func() string {
		if attempt.ended {
			return ""
		}
		return w.attemptEnded(request, attempt, number, millisText(took), outcome, info)
	})
}

// attemptEnded ends an attempt and returns its message, occasionally as a duplicate pair.
func (w *simulatedWorld) attemptEnded(request *simulatedRequest, attempt *simulatedAttempt, number int,
	latency, outcome, info string,
) string {
	attempt.ended = true
	id, report := "worker-lost", wireUnknown
	if attempt.worker != nil {
		id = attempt.worker.id
		attempt.worker.inFlight = max(0, attempt.worker.inFlight-1)
		if outcome == wireServed || outcome == wireShed || outcome == wireErrored {
			report = w.loadReport(attempt.worker)
		}
		if outcome == wireServed {
			attempt.worker.loaded[request.function.name] = true
			if w.chance(15) { // evicted
				delete(attempt.worker.loaded, request.function.name)
			}
		}
	}
	if outcome == wireServed || outcome == wireErrored && w.chance(200) {
		request.over = true
	}
	closed := 0
	if request.over {
		closed = 1
	}
	if w.chance(50) {
		latency = wireUnknown
	}
	line := fmt.Sprintf("outcome\t%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\n", request.id, closed, info, latency, id, number,
		outcome, report)
	if w.chance(4) {
		line += line
	}
	return line
}

// loadReport returns a load report of a worker, or an invented one if worker is nil, or wireUnknown for no report.
func (w *simulatedWorld) loadReport(worker *simulatedWorker) string {
	if !w.profile.reportEverything && w.chance(500) {
		return wireUnknown
	}
	inFlight := 1
	if worker != nil {
		inFlight = worker.inFlight
	}
	switch w.rng.IntN(5) {
	case 0:
		return wireUnknown
	case 1:
		return fmt.Sprintf("inflight:%d", inFlight+w.rng.IntN(4))
	case 2:
		return fmt.Sprintf("util:0.%02d,x0:0.%d,x1:%d,other:3", min(99, 10*inFlight+w.rng.IntN(20)), w.rng.IntN(10),
			w.rng.IntN(3))
	case 3:
		return fmt.Sprintf("inflight:%d,queue:%d,util:0.%02d", inFlight, w.rng.IntN(3), w.rng.IntN(100))
	}
	return fmt.Sprintf("util:%d,queue:-", 1+w.rng.IntN(2))
}
