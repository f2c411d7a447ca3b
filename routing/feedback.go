package routing

import (
	"cmp"

	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
)

// attemptEnded learns from how an attempt ended, and queues its request again if that may be retried.
func (r *Router) attemptEnded(end AttemptEnded) {
	req := r.requests[end.ID]
	if req == nil || end.Attempt < 0 || end.Attempt >= len(req.attempts) || req.attempts[end.Attempt].ended {
		return
	}
	ended := req.attempts[end.Attempt]
	ended.neverRan = provesNotRun(end.Outcome)
	req.reachedWorker = req.reachedWorker || end.Outcome != ConnectFailed && end.Outcome != NotSent
	r.recordEnd(ended)
	if end.Report != nil && end.Report.InFlight >= 0 {
		ended.worker.pressure.ObserveInFlight(end.Report.InFlight, len(ended.worker.inFlight))
	}
	r.observeLoad(ended, end)
	r.recordOutcome(ended, end)
	switch {
	case end.RequestAnswered || req.answered:
		r.complete(req)
	case req.streaming && req.inFlight == 0:
		r.rejectOrFail(req)
	case req.inFlight == 0:
		r.enqueue(req) // drainQueue ends it if it is too late for another attempt
	}
}

// recordOutcome learns what the outcome of an attempt says of its worker and function.
func (r *Router) recordOutcome(ended *attempt, end AttemptEnded) {
	switch end.Outcome {
	case Served:
		r.recordServed(ended, end)
	case Shed:
		r.recordShed(ended)
	case NotLoaded, Errored:
		r.recordAnswer(ended.worker)
		// An error for a function that no worker knows says nothing of this worker.
		if end.Outcome == Errored && ended.request.function.served {
			r.outliers.RecordError(&ended.worker.health, r.now)
		}
		if end.Outcome == NotLoaded || end.StartType == LoadFailed {
			ended.placement.warm = false
			ended.placement.loading = false
		}
	case TimedOut:
		r.recordLostAnswer(ended, hedgeCreditPerTimeout)
		if ended.worker.health.SilentSince(ended.sentAt) {
			r.reportFault(ended.worker, outlier.Unresponsive, ended.sentAt)
		}
	case Canceled:
		if ended.superseded { // the other attempt was answered first
			r.recordLostAnswer(ended, hedgeCreditPerHedge)
		}
	case ConnectionReset:
		r.recordReset(ended.worker)
	case ConnectFailed:
		r.recordConnectFailure(ended)
	}
}

// recordShed backs off from a worker that rejected a request unseen.
func (r *Router) recordShed(ended *attempt) {
	r.recordAnswer(ended.worker)
	serviceTime := r.latency.ServiceTime(&ended.request.function.latency, r.now)
	ended.worker.limit.RecordShed(r.now, serviceTime, ended.mayNeedLoad)
}

// recordReset learns from a broken connection.
func (r *Router) recordReset(w *worker) {
	if w.health.RecordReset(r.now) {
		w.health.Eject(r.now, r.rng)
		r.reportFault(w, outlier.Unreachable, r.now)
	}
}

// recordConnectFailure ejects a worker that crashed or cannot be reached, and whose instances are gone,
// unless it answered elsewhere meanwhile.
func (r *Router) recordConnectFailure(ended *attempt) {
	if ended.worker.health.AnsweredAfter(ended.sentAt) {
		return
	}
	ended.worker.incarnation++
	ended.worker.health.Eject(r.now, r.rng)
	r.reportFault(ended.worker, outlier.Unreachable, r.now)
}

// observeLoad learns from the end of an attempt under how much pressure its worker is.
func (r *Router) observeLoad(ended *attempt, end AttemptEnded) {
	sample := pressure.Sample{
		Result:   pressureResult(ended, end.Outcome),
		Latency:  cmp.Or(end.Latency, r.now-ended.sentAt),
		Reported: end.Report != nil,
	}
	if end.Report != nil {
		sample.Utilization = end.Report.Utilization
	}
	r.pressure.Observe(&ended.worker.pressure, r.now, sample)
}

// pressureResult tells what the outcome of an attempt says of the pressure of its worker.
func pressureResult(ended *attempt, outcome Outcome) pressure.Result {
	switch {
	case outcome == TimedOut || outcome == Canceled && ended.superseded:
		return pressure.Lost
	case outcome == Shed && !ended.mayNeedLoad:
		return pressure.ShedWarm
	case outcome == Served && !ended.mayNeedLoad:
		return pressure.AnsweredWarm
	default:
		return pressure.Inconclusive
	}
}

// recordAnswer notes that a worker answered, whatever it said: that ends an ejection.
func (r *Router) recordAnswer(source *worker) {
	if source.health.RecordAnswer(r.now) {
		source.limit.Readmit()
	}
	slow := r.latency.IsSlow(&source.latency, r.now)
	r.reportFault(source, r.outliers.AnswerFault(&source.health, r.now, slow), r.now)
}

// recordServed learns from a served answer.
func (r *Router) recordServed(ended *attempt, end AttemptEnded) {
	source, place, called := ended.worker, ended.placement, ended.request.function
	r.recordAnswer(source)
	if place.incarnation != source.incarnation {
		place.instances = 1
	}
	place.setWarm(r.now)
	place.loading = false
	source.limit.RecordServed()
	called.served = true
	r.outliers.RecordServed(&source.health, r.now)
	r.slowStart.RecordServed(r.now, source.Started)
	latency := cmp.Or(end.Latency, r.now-ended.sentAt).Seconds()
	r.latency.Observe(&called.latency, r.now, latency)
	if end.StartType > WarmStart || end.StartType == StartUnknown && ended.mayNeedLoad {
		return
	}
	if end.InFlightForFunction >= 0 {
		place.instances = max(1, (end.InFlightForFunction+called.concurrency)/called.concurrency)
	}
	r.recordWarmLatency(ended, latency)
}

// recordWarmLatency learns from the latency, in seconds, of an answer of a warm instance.
func (r *Router) recordWarmLatency(ended *attempt, latency float64) {
	source := ended.worker
	r.latency.ObserveWarm(&ended.request.function.latency, &source.latency, r.now, latency)
	objective := ended.request.class.LatencyObjective.Seconds()
	source.limit.RecordWarmLatency(latency, objective, len(source.inFlight))
}
