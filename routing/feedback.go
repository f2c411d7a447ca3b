package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"calicohill/routing/latency"
	"calicohill/routing/outlier"
	"calicohill/routing/pressure"
	"calicohill/routing/slowstart"
)

// feedback passes the outcome of an attempt to the components that learn from it, in a fixed order. It owns
// no state.
type feedback struct {
	out        *outbox
	placements *placementTable
	pressure   *pressure.Estimator
	latency    *latency.Estimator
	outliers   *outlier.Detector
	slowStart  *slowstart.Budget
	hedges     *hedgeCredit
}

func newFeedback(r *Router) *feedback {
	return &feedback{
		out:        r.out,
		placements: r.placements,
		pressure:   r.pressure,
		latency:    r.latency,
		outliers:   r.outliers,
		slowStart:  r.slowStart,
		hedges:     r.hedges,
	}
}

// attemptEnded records the outcome of an attempt. It completes the request or queues it for a retry.
func (r *Router) attemptEnded(end AttemptEnded) {
	ended := r.requests.attemptInFlight(end.ID, end.Attempt)
	if ended == nil {
		return
	}
	r.requests.recordEnd(ended, end.Outcome)
	r.feedback.observeLoad(r.now, ended, end)
	r.feedback.recordOutcome(r.now, r.rng, ended, end)
	r.leaseManager.attemptEnded(r.now, ended, end.Outcome)
	req := ended.request
	switch {
	case end.RequestAnswered || req.answered:
		r.complete(req)
	case req.streaming && req.inFlight == 0:
		r.rejectOrFail(req, StreamBroken)
	case req.inFlight == 0:
		r.queue.enqueue(req) // drainQueue ends it if no further attempt is possible
	}
}

// applyPeerReports applies the verdicts of peers. A worker confirmed faulty by a quorum of peers is ejected
// like one found unresponsive here, unless it answered here recently or the other workers could not carry its
// load.
func (r *Router) applyPeerReports(reports PeerReports) {
	for _, w := range r.endpoints.list {
		confirmed := w.health.SetVerdict(outlier.Verdict(reports.Verdicts[w.ID]), r.now)
		if confirmed && r.fleet.capacity.HasCapacityWithout(&w.limit) {
			w.health.Eject(r.now, r.rng)
			r.refreshCapacity()
		}
		if slices.Contains(reports.Cleared, w.ID) {
			w.health.AllowProbe(r.now)
		}
	}
}

// observeLoad updates the pressure estimate of a worker from the end of an attempt.
func (f *feedback) observeLoad(now time.Duration, ended *attempt, end AttemptEnded) {
	sample := pressure.Sample{
		Result:   pressureResult(ended, end.Outcome),
		Latency:  cmp.Or(end.Latency, now-ended.sentAt),
		Reported: end.Report != nil,
	}
	if end.Report != nil {
		sample.Utilization = end.Report.Utilization
		if end.Report.InFlight >= 0 {
			ended.worker.pressure.ObserveInFlight(end.Report.InFlight, len(ended.worker.inFlight))
		}
	}
	f.pressure.Observe(&ended.worker.pressure, now, sample)
}

// pressureResult classifies the outcome of an attempt for the pressure estimate of its worker.
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

// recordOutcome updates the state of the worker and the function from the outcome of an attempt.
func (f *feedback) recordOutcome(now time.Duration, rng *rand.Rand, ended *attempt, end AttemptEnded) {
	switch end.Outcome {
	case Served:
		f.recordServed(now, ended, end)
	case Shed:
		f.recordShed(now, ended)
	case NotLoaded, Errored:
		f.recordFailure(now, ended, end)
	case TimedOut:
		f.recordLostAnswer(now, ended, hedgeCreditPerTimeout)
		if ended.worker.health.SilentSince(ended.sentAt) {
			f.reportFault(ended.worker, outlier.Unresponsive, ended.sentAt)
		}
	case Canceled:
		if ended.superseded { // the other attempt was answered first
			f.recordLostAnswer(now, ended, hedgeCreditPerHedge)
		}
	case ConnectionReset:
		f.recordReset(now, rng, ended.worker)
	case ConnectFailed:
		f.recordConnectFailure(now, rng, ended)
	case NotSent: // no information about the worker
	}
}

// recordServed records that an attempt was served.
func (f *feedback) recordServed(now time.Duration, ended *attempt, end AttemptEnded) {
	target, requested := ended.worker, ended.request.function
	f.recordAnswer(now, target)
	ended.placement.recordServed(now)
	f.placements.recordServed(requested)
	target.limit.RecordServed()
	f.outliers.RecordServed(&target.health, now)
	f.slowStart.RecordServed(now, target.Started)
	seconds := cmp.Or(end.Latency, now-ended.sentAt).Seconds()
	f.latency.Observe(&requested.latency, now, seconds)
	if !servedWarm(ended, end.StartType) {
		return
	}
	if end.InFlightForFunction >= 0 {
		ended.placement.recordInFlight(end.InFlightForFunction, requested.concurrency)
	}
	f.latency.ObserveWarm(&requested.latency, &target.latency, now, seconds)
	objective := ended.request.class.LatencyObjective.Seconds()
	target.limit.RecordWarmLatency(seconds, objective, len(target.inFlight))
}

// servedWarm reports whether a served attempt found an instance loaded, so that its latency includes no load
// time.
func servedWarm(ended *attempt, start StartType) bool {
	return start == WarmStart || start == StartUnknown && !ended.mayNeedLoad
}

// recordShed backs off from a worker that shed a request.
func (f *feedback) recordShed(now time.Duration, ended *attempt) {
	f.recordAnswer(now, ended.worker)
	serviceTime := f.latency.ServiceTime(&ended.request.function.latency, now)
	ended.worker.limit.RecordShed(now, serviceTime, ended.mayNeedLoad)
}

// recordFailure records an error, or an answer that the function is not loaded. An error counts against the
// worker only if the function was served before: a function that never was may fail at every worker.
func (f *feedback) recordFailure(now time.Duration, ended *attempt, end AttemptEnded) {
	f.recordAnswer(now, ended.worker)
	if end.Outcome == Errored && ended.request.function.served {
		f.outliers.RecordError(&ended.worker.health, now)
	}
	if end.Outcome == NotLoaded || end.StartType == LoadFailed {
		ended.placement.recordNotLoaded()
	}
}

// recordLostAnswer records an attempt without an answer at a worker that has answered others since. It counts
// as an error of the worker and earns hedge credit.
func (f *feedback) recordLostAnswer(now time.Duration, ended *attempt, credit int) {
	health := &ended.worker.health
	if !health.Ejected() && health.AnsweredAfter(ended.sentAt) {
		f.hedges.earn(credit)
		f.outliers.RecordError(health, now)
	}
}

// recordReset records a connection reset and ejects a worker that had too many.
func (f *feedback) recordReset(now time.Duration, rng *rand.Rand, w *worker) {
	if w.health.RecordReset(now) {
		w.health.Eject(now, rng)
		f.reportFault(w, outlier.Unreachable, now)
	}
}

// recordConnectFailure ejects a worker that has crashed or is unreachable and discards its instances, unless
// the worker has answered another attempt since this one was sent.
func (f *feedback) recordConnectFailure(now time.Duration, rng *rand.Rand, ended *attempt) {
	if ended.worker.health.AnsweredAfter(ended.sentAt) {
		return
	}
	ended.worker.discardInstances()
	ended.worker.health.Eject(now, rng)
	f.reportFault(ended.worker, outlier.Unreachable, now)
}

// recordAnswer records an answer of any kind from a worker, which ends an ejection.
func (f *feedback) recordAnswer(now time.Duration, source *worker) {
	if source.health.RecordAnswer(now) {
		source.limit.Readmit()
	}
	slow := f.latency.IsSlow(&source.latency, now)
	f.reportFault(source, f.outliers.AnswerFault(&source.health, now, slow), now)
}

// reportFault reports the health of a worker, as observed by this scheduler, to peers if a report is due.
func (f *feedback) reportFault(w *worker, fault outlier.Fault, observedAt time.Duration) {
	if f.outliers.ShouldReport(&w.health, fault, observedAt) {
		f.out.emit(ReportFault{w.ID, Fault(fault), observedAt})
	}
}
