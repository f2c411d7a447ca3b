package main

import (
	"fmt"
	"strconv"
)

// A plannedEnd is what a worker will make of an attempt.
type plannedEnd struct {
	outcome    string
	tookMicros int64
	warmth     int // as on the wire: 1 the function was loaded, 2 and 3 it was not, 4 its load failed
}

// attempt plays an attempt at a worker.
func (w *simulatedWorld) attempt(id, timeoutText, workerID string) error {
	timeoutMillis, err := strconv.ParseFloat(timeoutText, 64)
	if err != nil {
		return err
	}
	request := w.requests[id]
	if request == nil { // of a call that unexpectedEvent made up
		request = &simulatedRequest{id: id, function: w.functions[0]}
		w.requests[id] = request
	}
	worker := w.worker(workerID)
	attempt, number, timeout := &simulatedAttempt{worker: worker}, len(request.attempts), int64(timeoutMillis*1000)
	request.attempts = append(request.attempts, attempt)
	if worker == nil || worker.state == 0 {
		w.scheduleEnd(request, attempt, number, 1000+w.rng.Int64N(5000), []string{"dial_failed", "unused"}[w.rng.IntN(2)], "-", timeout)
		return nil
	}
	end := w.planEnd(worker, request.function)
	w.applyCondition(&end, worker, timeout)
	w.applyPressure(&end, worker)
	if end.tookMicros >= timeout {
		end.outcome, end.tookMicros = "expired", timeout
	}
	if end.outcome == "delivered" && request.function.class == 5 && w.chance(900) {
		w.scheduleFirst(request, attempt, number, end.tookMicros/3)
	}
	info := "-"
	if w.chance(850) {
		if w.chance(200) {
			end.warmth = 0
		}
		info = strconv.Itoa(end.warmth + 8*worker.inFlight)
	}
	worker.inFlight++
	w.scheduleEnd(request, attempt, number, end.tookMicros, end.outcome, info, timeout)
	return nil
}

// planEnd draws what a worker in no trouble makes of an attempt.
func (w *simulatedWorld) planEnd(worker *simulatedWorker, function *simulatedFunction) plannedEnd {
	end := plannedEnd{
		outcome:    "delivered",
		tookMicros: function.serviceMicros/2 + w.rng.Int64N(function.serviceMicros),
		warmth:     1,
	}
	end.tookMicros += end.tookMicros * int64(worker.inFlight) / 8
	if !worker.loaded[function.name] {
		end.warmth = 2 + w.rng.IntN(2)
		if w.profile.whenAbsent == "miss" {
			end.outcome, end.tookMicros = "empty", 3000
		} else {
			end.tookMicros += function.loadMicros
		}
	}
	warmingUp := worker.startedMicros > 0 && w.now-worker.startedMicros < int64(w.profile.coldMs)*1000
	if warmingUp {
		end.tookMicros *= 2
	}
	return end
}

// applyCondition changes the end of an attempt by the condition that its worker is in.
func (w *simulatedWorld) applyCondition(end *plannedEnd, worker *simulatedWorker, timeout int64) {
	switch worker.condition {
	case conditionSilent:
		end.outcome, end.tookMicros = "expired", timeout
	case conditionErrors:
		if w.chance(700) {
			end.outcome, end.tookMicros = "app_error", end.tookMicros/4
		}
	case conditionRefusesConnections:
		end.outcome, end.tookMicros = "dial_failed", 2000
	case conditionResetsConnections:
		end.outcome, end.tookMicros = "dropped", end.tookMicros/2
	case conditionSlow:
		end.tookMicros *= 7
	case conditionSheds:
		if w.chance(700) {
			end.outcome, end.tookMicros = "shed", 2000
		}
	case conditionLosesAnswers:
		if w.chance(350) {
			end.outcome, end.tookMicros = "expired", timeout
		}
	case conditionLoadsFail:
		if end.warmth > 1 {
			end.warmth, end.outcome = 4, []string{"app_error", "empty"}[w.rng.IntN(2)]
			end.tookMicros /= 2
		}
	}
}

// applyPressure has a worker that drains or is full shed an attempt, and now and then an attempt end in any way.
func (w *simulatedWorld) applyPressure(end *plannedEnd, worker *simulatedWorker) {
	switch {
	case worker.state == 2 && w.chance(300):
		end.outcome, end.tookMicros = "shed", 1500
	case worker.inFlight > 12 && w.chance(500):
		end.outcome, end.tookMicros = "shed", 2500
	case w.chance(12):
		end.outcome = wireOutcomes[w.rng.IntN(len(wireOutcomes))]
		end.tookMicros = 1000 + w.rng.Int64N(50000)
	}
}

// scheduleFirst has an answer begin to arrive, unless its attempt ended before.
func (w *simulatedWorld) scheduleFirst(request *simulatedRequest, attempt *simulatedAttempt, number int, after int64) {
	w.schedule(after, func() string {
		if attempt.ended {
			return ""
		}
		return fmt.Sprintf("first\t%s\t%d\t%s\t%s\n", request.id, number, attempt.worker.id, millisText(after))
	})
}

// scheduleEnd has an attempt end, unless it was called off before.
func (w *simulatedWorld) scheduleEnd(q *simulatedRequest, a *simulatedAttempt, n int, took int64, outcome, info string,
	timeout int64,
) {
	w.schedule(min(took, timeout), func() string {
		if a.ended {
			return ""
		}
		return w.end(q, a, n, millisText(took), outcome, info)
	})
}

// end tells how an attempt ended; it may be told twice.
func (w *simulatedWorld) end(request *simulatedRequest, attempt *simulatedAttempt, number int, latency, outcome, info string) string {
	attempt.ended = true
	id, report := "worker-lost", "-"
	if attempt.worker != nil {
		id = attempt.worker.id
		attempt.worker.inFlight = max(0, attempt.worker.inFlight-1)
		if outcome == "delivered" || outcome == "shed" || outcome == "app_error" {
			report = w.report(attempt.worker)
		}
		if outcome == "delivered" {
			attempt.worker.loaded[request.function.name] = true
			if w.chance(15) { // something else needed its room
				delete(attempt.worker.loaded, request.function.name)
			}
		}
	}
	if outcome == "delivered" || outcome == "app_error" && w.chance(200) {
		request.final = true
	}
	closed := 0
	if request.final {
		closed = 1
	}
	if w.chance(50) {
		latency = "-"
	}
	line := fmt.Sprintf("outcome\t%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\n", request.id, closed, info, latency, id, number, outcome, report)
	if w.chance(4) {
		line += line
	}
	return line
}

// report is a load report of a worker, or of none in particular.
func (w *simulatedWorld) report(worker *simulatedWorker) string {
	if !w.profile.reportEverything && w.chance(500) {
		return "-"
	}
	inFlight := 1
	if worker != nil {
		inFlight = worker.inFlight
	}
	switch w.rng.IntN(5) {
	case 0:
		return "-"
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
