package routing

import (
	"cmp"
	"slices"
)

// ended takes in how an attempt ended, and holds the request again if it may be tried once more.
func (r *Router) attemptEnded(e AttemptEnded) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].ended {
		return
	}
	a := q.attempts[e.Attempt]
	w, p, f := a.worker, a.placement, q.function
	a.ended = true
	q.reachedWorker = q.reachedWorker || e.Outcome != ConnectFailed && e.Outcome != NotSent
	a.neverRan = e.Outcome == Shed || e.Outcome == ConnectFailed || e.Outcome == NotSent ||
		e.Outcome == NotLoaded
	q.inFlight--
	p.inFlight--
	w.inFlight = slices.DeleteFunc(w.inFlight, func(b *attempt) bool { return b == a })
	if a.cold {
		w.loadsWaiting--
	} else if r.inFlightWork -= a.work; r.inFlightWork < 1e-9 {
		r.inFlightWork = 0
	}
	p.loading = p.loading && !(a.cold && p.inFlight == 0)
	if e.Report != nil && e.Report.InFlight >= 0 {
		w.peerInFlight += workerMeanWeight * (max(0, e.Report.InFlight-float64(len(w.inFlight))) -
			w.peerInFlight)
	}
	r.observeLoad(a, e)
	switch e.Outcome {
	case Served:
		r.recordServed(a, e)
	case Shed:
		// A warm call met a full queue, a cold one perhaps a want of memory: the worker, or just new loads
		// there, is left alone for part of a service time, doubling, or held calls use up their attempts.
		r.recordAnswer(w)
		w.consecutiveSheds = min(w.consecutiveSheds+1, 4)
		pause := r.now + durationOf(r.serviceTime(f)/shedBackoffDivisor)<<w.consecutiveSheds
		if w.loadBackoffUntil = max(w.loadBackoffUntil, pause); !a.cold {
			w.backoffUntil = max(w.backoffUntil, pause)
			w.concurrencyLimit = max(minLimit, w.concurrencyLimit*limitDecreaseFactor)
		}
	case NotLoaded, Errored:
		r.recordAnswer(w)
		if e.Outcome == Errored && f.served { // a function that no worker knows tells nothing of this one
			r.recordError(w)
		}
		if e.Outcome == NotLoaded || e.StartType == LoadFailed {
			p.warm, p.loading = false, false
		}
	case TimedOut:
		if r.recordLostAnswer(a, hedgeCreditPerTimeout); w.lastAnswerAt < a.sentAt {
			r.reportFault(w, Unresponsive, a.sentAt)
		}
	case Canceled:
		if a.superseded { // the other was answered first
			r.recordLostAnswer(a, 1)
		}
	case ConnectionReset:
		// A connection that broke says little of its worker: an answer that cannot be read ends it too, and
		// after a death the next is refused. One that breaks time and again with no answer between is ill.
		if w.lastBreakAt < r.now { // what was lost with one connection counts once
			w.connectionBreaks++
		}
		if w.lastBreakAt = r.now; w.connectionBreaks >= maxConnectionBreaks {
			r.eject(w)
			r.reportFault(w, Unreachable, r.now)
		}
	case ConnectFailed:
		// It died or cannot be reached, and what it held is gone, unless it answered elsewhere meanwhile.
		if w.lastAnswerAt <= a.sentAt {
			w.incarnation++
			r.eject(w)
			r.reportFault(w, Unreachable, r.now)
		}
	}
	switch {
	case e.RequestAnswered || q.answered:
		r.complete(q)
	case q.streaming && q.inFlight == 0:
		r.rejectOrFail(q)
	case q.inFlight == 0:
		r.enqueue(q) // release ends it if it is too late for another attempt
	}
}

// feel takes in what the end of an attempt tells of how pressed its worker is. One that never came was a
// late one; that of a call which may have waited for a load tells of no queue.
func (r *Router) observeLoad(a *attempt, e AttemptEnded) {
	took := cmp.Or(e.Latency, r.now-a.sentAt).Seconds() / r.minObjective
	x := min(took, 1)
	if e.Report != nil && e.Report.Utilization >= 0 {
		x = e.Report.Utilization
	}
	switch {
	case e.Outcome == TimedOut || e.Outcome == Canceled && a.superseded:
		x = 1 + took
	case e.Outcome == Shed && !a.cold:
		x = shedPressure
	case e.Outcome == Served && !a.cold:
		x += took
	case e.Report == nil:
		return
	default:
		x += idleLatencyPressure
	}
	usual, old := min(r.meanPressure, leavePressureStart), a.worker.pressureExcess.At(r.now,
		r.settings.InstanceKeepAlive)
	a.worker.pressureExcess.Set(r.now, old+workerMeanWeight*(x-usual-old))
	r.meanPressure += fleetMeanWeight * (x - r.meanPressure)
}

func (r *Router) recordAnswer(w *worker) {
	if w.lastAnswerAt, w.answeredAt, w.connectionBreaks = r.now, r.now, 0; w.ejected {
		w.ejected, w.probes, w.concurrencyLimit = false, 0, max(minLimit, min(w.concurrencyLimit, 2))
	}
	t := Healthy
	if r.errorRate(w) > maxErrorRate {
		t = Failing
	} else if r.latencyRatio(w) > slowLatencyRatio {
		t = Slow
	}
	r.reportFault(w, t, r.now)
}

// learn takes in a served answer.
func (r *Router) recordServed(a *attempt, e AttemptEnded) {
	w, p, f := a.worker, a.placement, a.request.function
	r.recordAnswer(w)
	lat := cmp.Or(e.Latency, r.now-a.sentAt).Seconds()
	if p.incarnation != w.incarnation {
		p.instances = 1
	}
	p.incarnation, p.warm, p.warmAt, p.loading = w.incarnation, true, r.now, false
	w.consecutiveSheds, f.served = 0, true
	w.errorShare.Set(r.now, r.errorRate(w)*(1-errorRateWeight))
	if r.allWarmingUp || !r.isWarmingUp(w) {
		r.servedAnswers++
	}
	f.slowestLatency.Observe(r.now, 2*r.settings.InstanceKeepAlive, lat)
	if e.StartType > WarmStart || e.StartType == StartUnknown && a.cold {
		return
	}
	if e.InFlightForFunction >= 0 {
		p.instances = max(1, (e.InFlightForFunction+f.concurrency)/f.concurrency)
	}
	r.meanLatency = cmp.Or(r.meanLatency, lat)
	w.latencyExcess.Set(r.now, r.latencyRatio(w)+workerMeanWeight*(lat/r.meanLatency-r.latencyRatio(w))-1)
	r.meanLatency += fleetMeanWeight * (lat - r.meanLatency)
	f.serviceTimeExcess.Set(r.now, r.serviceTime(f)+functionMeanWeight*(lat-r.serviceTime(f))-
		r.settings.Classes[f.class].LatencyObjective.Seconds())
	aim := a.request.class.LatencyObjective.Seconds()
	switch {
	case lat > limitObjectiveFraction*aim:
		w.concurrencyLimit = max(minLimit, w.concurrencyLimit*limitDecreaseFactor)
	case lat < limitObjectiveFraction/2*aim && float64(len(w.inFlight)+1) >= w.concurrencyLimit/2:
		w.concurrencyLimit = min(maxLimit, w.concurrencyLimit+1/w.concurrencyLimit)
	}
}

func (r *Router) loadEnded(e LoadEnded) {
	w, f := r.workers[e.Worker], r.functions[e.Function]
	if w == nil || f == nil {
		return
	}
	p := f.placementAt(w)
	if p.loadOrdered = false; e.Outcome == Served && e.Instances > 0 {
		p.warm, p.incarnation, p.warmAt, p.instances = true, w.incarnation, r.now, e.Instances
	}
}
