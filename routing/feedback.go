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

// feedback hands the outcome of an attempt to the components that learn from it, in a fixed order. It owns
// no state.
type feedback struct {
	out       *outbox
	pressure  *pressure.Estimator
	latency   *latency.Estimator
	outliers  *outlier.Detector
	slowStart *slowstart.Budget
	hedges    *hedgeCredit
}

func newFeedback(r *Router) *feedback {
	return &feedback{
		out:       r.out,
		pressure:  r.pressure,
		latency:   r.latency,
		outliers:  r.outliers,
		slowStart: r.slowStart,
		hedges:    r.hedges,
	}
}

// attemptEnded learns from how an attempt ended, and queues its request again if that may be retried.
func (r *Router) attemptEnded(end AttemptEnded) {
	ended := r.requests.attemptInFlight(end.ID, end.Attempt)
	if ended == nil {
		return
	}
	r.requests.recordEnd(ended, end.Outcome)
	r.feedback.observeLoad(r.now, ended, end)
	r.feedback.recordOutcome(r.now, r.rng, ended, end)
	r.leaseKeeper.attemptEnded(r.now, ended, end.Outcome)
	req := ended.request
	switch {
	case end.RequestAnswered || req.answered:
		r.complete(req)
	case req.streaming && req.inFlight == 0:
		r.rejectOrFail(req, StreamBroken)
	case req.inFlight == 0:
		r.queue.enqueue(req) // drainQueue ends it if it is too late for another attempt
	}
}

// applyPeerReports takes in what peers report of the workers. One that enough of them find unhealthy is
// ejected as if found unresponsive here, unless it answered here lately or the rest could not carry the
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

// observeLoad learns from the end of an attempt under how much pressure its worker is.
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

// recordOutcome learns what the outcome of an attempt says of its worker and function.
func (f *feedback) recordOutcome(now time.Duration, rng *rand.Rand, ended *attempt, end AttemptEnded) {
	switch end.Outcome {
	case Served:
		f.recordServed(now, ended, end)
	case Shed:
		f.recordShed(now, ended)
	case NotLoaded, Errored:
		f.recordRefused(now, ended, end)
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
	case NotSent: // it says nothing of the worker
	}
}

// recordServed learns from a served answer.
func (f *feedback) recordServed(now time.Duration, ended *attempt, end AttemptEnded) {
	source, called := ended.worker, ended.request.function
	f.recordAnswer(now, source)
	ended.placement.recordServed(now)
	called.recordServed()
	source.limit.RecordServed()
	f.outliers.RecordServed(&source.health, now)
	f.slowStart.RecordServed(now, source.Started)
	seconds := cmp.Or(end.Latency, now-ended.sentAt).Seconds()
	f.latency.Observe(&called.latency, now, seconds)
	if !servedWarm(ended, end.StartType) {
		return
	}
	if end.InFlightForFunction >= 0 {
		ended.placement.recordInFlight(end.InFlightForFunction, called.concurrency)
	}
	f.latency.ObserveWarm(&called.latency, &source.latency, now, seconds)
	objective := ended.request.class.LatencyObjective.Seconds()
	source.limit.RecordWarmLatency(seconds, objective, len(source.inFlight))
}

// servedWarm reports whether a served attempt found an instance loaded, so that its latency has no load in
// it.
func servedWarm(ended *attempt, start StartType) bool {
	return start == WarmStart || start == StartUnknown && !ended.mayNeedLoad
}

// recordShed backs off from a worker that rejected a request unseen.
func (f *feedback) recordShed(now time.Duration, ended *attempt) {
	f.recordAnswer(now, ended.worker)
	serviceTime := f.latency.ServiceTime(&ended.request.function.latency, now)
	ended.worker.limit.RecordShed(now, serviceTime, ended.mayNeedLoad)
}

// recordRefused learns from an error, or from an answer that the function is not loaded. An error for a
// function that no worker knows says nothing of this worker.
func (f *feedback) recordRefused(now time.Duration, ended *attempt, end AttemptEnded) {
	f.recordAnswer(now, ended.worker)
	if end.Outcome == Errored && ended.request.function.served {
		f.outliers.RecordError(&ended.worker.health, now)
	}
	if end.Outcome == NotLoaded || end.StartType == LoadFailed {
		ended.placement.recordNotLoaded()
	}
}

// recordLostAnswer notes that the answer to an attempt never came though its worker answered others, and
// allows this many more hedges for it.
func (f *feedback) recordLostAnswer(now time.Duration, ended *attempt, credit int) {
	health := &ended.worker.health
	if !health.Ejected() && health.AnsweredAfter(ended.sentAt) {
		f.hedges.earn(credit)
		f.outliers.RecordError(health, now)
	}
}

// recordReset learns from a broken connection.
func (f *feedback) recordReset(now time.Duration, rng *rand.Rand, w *worker) {
	if w.health.RecordReset(now) {
		w.health.Eject(now, rng)
		f.reportFault(w, outlier.Unreachable, now)
	}
}

// recordConnectFailure ejects a worker that crashed or cannot be reached, and whose instances are gone,
// unless it answered elsewhere meanwhile.
func (f *feedback) recordConnectFailure(now time.Duration, rng *rand.Rand, ended *attempt) {
	if ended.worker.health.AnsweredAfter(ended.sentAt) {
		return
	}
	ended.worker.voidInstances()
	ended.worker.health.Eject(now, rng)
	f.reportFault(ended.worker, outlier.Unreachable, now)
}

// recordAnswer notes that a worker answered, whatever it said: that ends an ejection.
func (f *feedback) recordAnswer(now time.Duration, source *worker) {
	if source.health.RecordAnswer(now) {
		source.limit.Readmit()
	}
	slow := f.latency.IsSlow(&source.latency, now)
	f.reportFault(source, f.outliers.AnswerFault(&source.health, now, slow), now)
}

// reportFault reports to peers what this scheduler itself finds of a worker, if that is due.
func (f *feedback) reportFault(w *worker, fault outlier.Fault, observedAt time.Duration) {
	if f.outliers.ShouldReport(&w.health, fault, observedAt) {
		f.out.emit(ReportFault{w.ID, Fault(fault), observedAt})
	}
}
