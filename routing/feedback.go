package routing

import "cmp"

// attemptEnded learns from how an attempt ended, and queues its request again if that may be retried.
func (r *Router) attemptEnded(e AttemptEnded) {
	req := r.requests[e.ID]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || req.attempts[e.Attempt].ended {
		return
	}
	a := req.attempts[e.Attempt]
	a.neverRan = provesNotRun(e.Outcome)
	req.reachedWorker = req.reachedWorker || e.Outcome != ConnectFailed && e.Outcome != NotSent
	r.recordEnd(a)
	if e.Report != nil && e.Report.InFlight >= 0 {
		peers := max(0, e.Report.InFlight-float64(len(a.worker.inFlight)))
		a.worker.peerInFlight += workerMeanWeight * (peers - a.worker.peerInFlight)
	}
	r.observeLoad(a, e)
	r.recordOutcome(a, e)
	switch {
	case e.RequestAnswered || req.answered:
		r.complete(req)
	case req.streaming && req.inFlight == 0:
		r.rejectOrFail(req)
	case req.inFlight == 0:
		r.enqueue(req) // drainQueue ends it if it is too late for another attempt
	}
}

// recordOutcome learns what the outcome of an attempt says of its worker and function.
func (r *Router) recordOutcome(a *attempt, e AttemptEnded) {
	switch e.Outcome {
	case Served:
		r.recordServed(a, e)
	case Shed:
		r.recordShed(a)
	case NotLoaded, Errored:
		r.recordAnswer(a.worker)
		// An error for a function that no worker knows says nothing of this worker.
		if e.Outcome == Errored && a.request.function.served {
			r.recordError(a.worker)
		}
		if e.Outcome == NotLoaded || e.StartType == LoadFailed {
			a.placement.warm = false
			a.placement.loading = false
		}
	case TimedOut:
		r.recordLostAnswer(a, hedgeCreditPerTimeout)
		if a.worker.lastAnswerAt < a.sentAt {
			r.reportFault(a.worker, Unresponsive, a.sentAt)
		}
	case Canceled:
		if a.superseded { // the other attempt was answered first
			r.recordLostAnswer(a, hedgeCreditPerHedge)
		}
	case ConnectionReset:
		r.recordReset(a.worker)
	case ConnectFailed:
		r.recordConnectFailure(a)
	}
}

// recordShed backs off from a worker. A request for a warm instance met a full queue, one that needed a load
// perhaps a lack of memory: the worker, or just new loads there, is left alone for part of a service time,
// doubling, or queued requests use up their attempts.
func (r *Router) recordShed(a *attempt) {
	w := a.worker
	r.recordAnswer(w)
	w.consecutiveSheds = min(w.consecutiveSheds+1, maxShedDoublings)
	until := r.now + durationOf(r.serviceTime(a.request.function)/shedBackoffDivisor)<<w.consecutiveSheds
	w.loadBackoffUntil = max(w.loadBackoffUntil, until)
	if !a.cold {
		w.backoffUntil = max(w.backoffUntil, until)
		w.concurrencyLimit = max(minLimit, w.concurrencyLimit*limitDecreaseFactor)
	}
}

// recordReset counts a broken connection. One says little of its worker: an answer that cannot be read
// breaks it too, and after a crash the next connection is refused. A worker whose connections break time and
// again with no answer between is unhealthy.
func (r *Router) recordReset(w *worker) {
	if w.lastBreakAt < r.now { // what was lost with one connection counts once
		w.connectionBreaks++
	}
	w.lastBreakAt = r.now
	if w.connectionBreaks >= maxConnectionBreaks {
		r.eject(w)
		r.reportFault(w, Unreachable, r.now)
	}
}

// recordConnectFailure ejects a worker that crashed or cannot be reached, and whose instances are gone,
// unless it answered elsewhere meanwhile.
func (r *Router) recordConnectFailure(a *attempt) {
	if a.worker.lastAnswerAt > a.sentAt {
		return
	}
	a.worker.incarnation++
	r.eject(a.worker)
	r.reportFault(a.worker, Unreachable, r.now)
}

// observeLoad learns from the end of an attempt under how much pressure its worker is. An answer that never
// came counts as a late one; a latency that may include a load says nothing of a queue.
func (r *Router) observeLoad(a *attempt, e AttemptEnded) {
	objectives := cmp.Or(e.Latency, r.now-a.sentAt).Seconds() / r.minObjective
	sample := min(objectives, 1)
	if e.Report != nil && e.Report.Utilization >= 0 {
		sample = e.Report.Utilization
	}
	switch {
	case e.Outcome == TimedOut || e.Outcome == Canceled && a.superseded:
		sample = 1 + objectives
	case e.Outcome == Shed && !a.cold:
		sample = shedPressure
	case e.Outcome == Served && !a.cold:
		sample += objectives
	case e.Report == nil:
		return
	default:
		sample += idleLatencyPressure
	}
	usual := min(r.meanPressure, leavePressureStart)
	excess := a.worker.pressureExcess.At(r.now, r.settings.InstanceKeepAlive)
	a.worker.pressureExcess.Set(r.now, excess+workerMeanWeight*(sample-usual-excess))
	r.meanPressure += fleetMeanWeight * (sample - r.meanPressure)
}

// recordAnswer notes that a worker answered, whatever it said: that ends an ejection.
func (r *Router) recordAnswer(w *worker) {
	w.lastAnswerAt = r.now
	w.answeredAt = r.now
	w.connectionBreaks = 0
	if w.ejected {
		w.ejected = false
		w.probes = 0
		w.concurrencyLimit = max(minLimit, min(w.concurrencyLimit, readmissionLimit))
	}
	fault := Healthy
	if r.errorRate(w) > maxErrorRate {
		fault = Failing
	} else if r.latencyRatio(w) > slowLatencyRatio {
		fault = Slow
	}
	r.reportFault(w, fault, r.now)
}

// recordServed learns from a served answer.
func (r *Router) recordServed(a *attempt, e AttemptEnded) {
	w, p, fn := a.worker, a.placement, a.request.function
	r.recordAnswer(w)
	if p.incarnation != w.incarnation {
		p.instances = 1
	}
	p.setWarm(r.now)
	p.loading = false
	w.consecutiveSheds = 0
	fn.served = true
	w.errorShare.Set(r.now, r.errorRate(w)*(1-errorRateWeight))
	if r.allWarmingUp || !r.isWarmingUp(w) {
		r.servedAnswers++
	}
	latency := cmp.Or(e.Latency, r.now-a.sentAt).Seconds()
	fn.slowestLatency.Observe(r.now, 2*r.settings.InstanceKeepAlive, latency)
	if e.StartType > WarmStart || e.StartType == StartUnknown && a.cold {
		return
	}
	if e.InFlightForFunction >= 0 {
		p.instances = max(1, (e.InFlightForFunction+fn.concurrency)/fn.concurrency)
	}
	r.recordWarmLatency(a, latency)
}

// recordWarmLatency learns from the latency, in seconds, of an answer of a warm instance.
func (r *Router) recordWarmLatency(a *attempt, latency float64) {
	w, fn := a.worker, a.request.function
	r.meanLatency = cmp.Or(r.meanLatency, latency)
	ratio := r.latencyRatio(w)
	w.latencyExcess.Set(r.now, ratio+workerMeanWeight*(latency/r.meanLatency-ratio)-1)
	r.meanLatency += fleetMeanWeight * (latency - r.meanLatency)
	mean := r.serviceTime(fn)
	fn.serviceTimeExcess.Set(r.now, mean+functionMeanWeight*(latency-mean)-
		r.settings.Classes[fn.class].LatencyObjective.Seconds())
	objective := a.request.class.LatencyObjective.Seconds()
	limit := w.concurrencyLimit
	switch {
	case latency > limitObjectiveFraction*objective:
		w.concurrencyLimit = max(minLimit, limit*limitDecreaseFactor)
	case latency < limitObjectiveFraction/2*objective && float64(len(w.inFlight)+1) >= limit/2:
		w.concurrencyLimit = min(maxLimit, limit+1/limit)
	}
}

// learnThroughput takes in what workers answered in the last interval, in requests a second per unit of
// weight.
func (r *Router) learnThroughput(rate float64) {
	weight := throughputMeanWeight
	if r.allWarmingUp && rate > float64(r.throughputPerWeight) {
		weight = 1 // what warming workers answered they can do, whatever they did before
	}
	r.throughputPerWeight.Update(rate, weight)
}
