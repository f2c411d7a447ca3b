package routing

import (
	"cmp"
	"slices"
)

// ended takes in how an attempt ended, and holds the request again if it may be tried once more.
func (r *Router) ended(e AttemptEnded) {
	q := r.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].ended {
		return
	}
	a := q.attempts[e.Attempt]
	w, p, f := a.w, a.p, q.fn
	a.ended = true
	q.reached = q.reached || e.Outcome != ConnectFailed && e.Outcome != NotSent
	a.proved = e.Outcome == Shed || e.Outcome == ConnectFailed || e.Outcome == NotSent ||
		e.Outcome == NotLoaded
	q.out--
	p.out--
	w.outs = slices.DeleteFunc(w.outs, func(b *attempt) bool { return b == a })
	if a.cold {
		w.loads--
	} else if r.outWork -= a.cost; r.outWork < 1e-9 {
		r.outWork = 0
	}
	p.loading = p.loading && !(a.cold && p.out == 0)
	if e.Report != nil && e.Report.InFlight >= 0 {
		w.others += workerWeight * (max(0, e.Report.InFlight-float64(len(w.outs))) - w.others)
	}
	r.feel(a, e)
	switch e.Outcome {
	case Served:
		r.learn(a, e)
	case Shed:
		// A warm call met a full queue, a cold one perhaps a want of memory: the worker, or just new loads
		// there, is left alone for part of a service time, doubling, or held calls use up their attempts.
		r.answered(w)
		w.sheds = min(w.sheds+1, 4)
		pause := r.now + seconds(r.service(f)/shedPauses)<<w.sheds
		if w.noLoads = max(w.noLoads, pause); !a.cold {
			w.full = max(w.full, pause)
			w.limit = max(limitMin, w.limit*limitCut)
		}
	case NotLoaded, Errored:
		r.answered(w)
		if e.Outcome == Errored && f.served { // a function that no worker knows tells nothing of this one
			r.failed(w)
		}
		if e.Outcome == NotLoaded || e.StartType == LoadFailed {
			p.warm, p.loading = false, false
		}
	case TimedOut:
		if r.missed(a, aloneMore); w.lastAnswer < a.sent {
			r.observe(w, Unresponsive, a.sent)
		}
	case Canceled:
		if a.rescued { // the other was answered first
			r.missed(a, 1)
		}
	case ConnectionReset:
		// A connection that broke says little of its worker: an answer that cannot be read ends it too, and
		// after a death the next is refused. One that breaks time and again with no answer between is ill.
		if w.brokeAt < r.now { // what was lost with one connection counts once
			w.breaks++
		}
		if w.brokeAt = r.now; w.breaks >= breaksMost {
			r.doubt(w)
			r.observe(w, Unreachable, r.now)
		}
	case ConnectFailed:
		// It died or cannot be reached, and what it held is gone, unless it answered elsewhere meanwhile.
		if w.lastAnswer <= a.sent {
			w.life++
			r.doubt(w)
			r.observe(w, Unreachable, r.now)
		}
	}
	switch {
	case e.RequestAnswered || q.done:
		r.close(q)
	case q.streams && q.out == 0:
		r.finish(q)
	case q.out == 0:
		r.hold(q) // release ends it if it is too late for another attempt
	}
}

// feel takes in what the end of an attempt tells of how pressed its worker is. One that never came was a
// late one; that of a call which may have waited for a load tells of no queue.
func (r *Router) feel(a *attempt, e AttemptEnded) {
	took := cmp.Or(e.Latency, r.now-a.sent).Seconds() / r.leastAim
	x := min(took, 1)
	if e.Report != nil && e.Report.Utilization >= 0 {
		x = e.Report.Utilization
	}
	switch {
	case e.Outcome == TimedOut || e.Outcome == Canceled && a.rescued:
		x = 1 + took
	case e.Outcome == Shed && !a.cold:
		x = shedPress
	case e.Outcome == Served && !a.cold:
		x += took
	case e.Report == nil:
		return
	default:
		x += idleTook
	}
	usual, old := min(r.press, leaveFrom), a.w.press.At(r.now, r.set.InstanceKeepAlive)
	a.w.press.Set(r.now, old+workerWeight*(x-usual-old))
	r.press += fleetWeight * (x - r.press)
}

func (r *Router) answered(w *worker) {
	if w.lastAnswer, w.met, w.breaks = r.now, r.now, 0; w.suspect {
		w.suspect, w.tries, w.limit = false, 0, max(limitMin, min(w.limit, 2))
	}
	t := Healthy
	if r.errsOf(w) > errsMost {
		t = Failing
	} else if r.paceOf(w) > stalledPace {
		t = Slow
	}
	r.observe(w, t, r.now)
}

// learn takes in a served answer.
func (r *Router) learn(a *attempt, e AttemptEnded) {
	w, p, f := a.w, a.p, a.q.fn
	r.answered(w)
	lat := cmp.Or(e.Latency, r.now-a.sent).Seconds()
	if p.life != w.life {
		p.copies = 1
	}
	p.life, p.warm, p.at, p.loading = w.life, true, r.now, false
	w.sheds, f.served = 0, true
	w.errs.Set(r.now, r.errsOf(w)*(1-errsWeight))
	if r.allCold || !r.isCold(w) {
		r.served++
	}
	f.slowest.Observe(r.now, 2*r.set.InstanceKeepAlive, lat)
	if e.StartType > WarmStart || e.StartType == StartUnknown && a.cold {
		return
	}
	if e.InFlightForFunction >= 0 {
		p.copies = max(1, (e.InFlightForFunction+f.lanes)/f.lanes)
	}
	r.lat = cmp.Or(r.lat, lat)
	w.pace.Set(r.now, r.paceOf(w)+workerWeight*(lat/r.lat-r.paceOf(w))-1)
	r.lat += fleetWeight * (lat - r.lat)
	f.mean.Set(r.now, r.service(f)+meanWeight*(lat-r.service(f))-
		r.set.Classes[f.class].LatencyObjective.Seconds())
	aim := a.q.class.LatencyObjective.Seconds()
	switch {
	case lat > limitAims*aim:
		w.limit = max(limitMin, w.limit*limitCut)
	case lat < limitAims/2*aim && float64(len(w.outs)+1) >= w.limit/2:
		w.limit = min(limitMax, w.limit+1/w.limit)
	}
}

func (r *Router) loaded(e LoadEnded) {
	w, f := r.workers[e.Worker], r.funcs[e.Function]
	if w == nil || f == nil {
		return
	}
	p := f.pair(w)
	if p.ordered = false; e.Outcome == Served && e.Instances > 0 {
		p.warm, p.life, p.at, p.copies = true, w.life, r.now, e.Instances
	}
}

// errsOf is the share of a worker's late answers that are errors. It fades: that they have ceased is told by
// nothing but new calls.
func (r *Router) errsOf(w *worker) float64 {
	return w.errs.At(r.now, r.set.InstanceKeepAlive)
}

func (r *Router) failed(w *worker) { w.errs.Set(r.now, r.errsOf(w)*(1-errsWeight)+errsWeight) }
