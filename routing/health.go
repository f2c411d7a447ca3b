package routing

import (
	"slices"
	"time"
)

// usable reports whether a worker may get work: a suspect one only a single trial at a time.
func (r *Router) usable(w *worker) bool {
	return w.State == Ready && (!w.suspect || len(w.outs) == 0 && r.now >= w.tryAt)
}

// survey counts the usable lanes, and what share of them is taken.
func (r *Router) survey() {
	r.busy, r.lanes, r.well = 0, 0, 0
	for _, w := range r.list {
		if r.usable(w) {
			if !r.ill(w) {
				r.well++
			}
			r.busy += float64(len(w.outs) - w.loads)
			r.lanes += w.limit
		}
	}
	r.busy /= max(r.lanes, 1)
}

// doubt makes a worker suspect: it gets nothing but trials until it answers.
func (r *Router) doubt(w *worker) {
	if !w.suspect {
		w.suspect, w.tries, w.tryAt = true, 0, r.now+r.pause(w)
	}
}

// pause is how long a suspect worker is left alone. Where others find it ill too they take turns at it.
func (r *Router) pause(w *worker) time.Duration {
	if w.word == Confirmed {
		return seconds((0.5 + r.rng.Float64()) * (trialAfter << trialMost).Seconds())
	}
	return trialAfter << min(w.tries, trialMost)
}

// observe says what this scheduler itself finds of a worker, where there are others to tell.
func (r *Router) observe(w *worker, t Fault, at time.Duration) {
	if r.set.FaultReporting && (t != w.seen ||
		at-w.seenAt > wordOwn/4 && (t != Healthy || w.word > NotReported)) {
		w.seen, w.seenAt = t, at
		r.act(ReportFault{w.ID, t, at})
	}
}

// heed takes in what other schedulers hold of the workers. One that enough find ill is left out as if found
// silent here, unless it answered here lately or the rest could not carry what is out.
func (r *Router) heed(e PeerReports) {
	for _, w := range r.list {
		w.word = e.Verdicts[w.ID]
		rest := r.lanes - w.limit
		if w.word == Confirmed && r.now-w.lastAnswer > wordOwn && r.busy*r.lanes < spillMost*rest {
			r.doubt(w)
			r.survey()
		}
		if slices.Contains(e.Cleared, w.ID) {
			w.tryAt = r.now
		}
	}
}

// look is the regular look at what waits and what is overdue.
func (r *Router) look() {
	if r.askAgain > 0 && r.now >= r.askAgain {
		r.askAgain = 0
		r.act(Subscribe{true})
	}
	warm, ripe := 0.0, 0.0
	r.size = 0
	for _, w := range r.list {
		if r.watch(w); w.State != Ready {
			continue
		}
		if ripe += w.Weight * r.ripeness(w); !r.isCold(w) {
			warm += w.Weight
		}
		if !w.suspect {
			r.size += w.Weight
		}
	}
	if r.allCold = warm == 0; r.allCold {
		warm = ripe
	}
	if gap := (r.now - r.servedAt).Seconds(); gap >= 1 {
		if warm > 0 {
			rate, part := r.served/gap/warm, meanWeight
			if r.allCold && rate > float64(r.perWeight) {
				part = 1 // what cold workers answered they can do, whatever they did before
			}
			r.perWeight.Update(rate, part)
		}
		r.served, r.servedAt = 0, r.now
		r.tidy()
	}
}

// watch looks for a worker that takes work and answers nothing: two attempts overdue and no answer since the
// older went out; one alone may be a heavy request. Covers cut links, hangs and lost machines. Harm: a very
// slow worker loses its traffic until a trial is answered. What is out there is tried elsewhere.
func (r *Router) watch(w *worker) {
	overdue, newest := 0, time.Duration(0)
	for _, a := range w.outs {
		if r.now >= a.late && w.lastAnswer < a.sent {
			overdue++
			newest = a.sent
		}
	}
	if overdue > 0 { // where one alone proves little, others may have one too
		r.observe(w, Unresponsive, newest)
	}
	if overdue >= 2 {
		r.doubt(w)
	}
	ill := w.State == Gone || w.suspect
	for _, a := range w.outs {
		switch {
		case a.rescued:
		case ill && (w.State == Gone || r.now >= a.late || overdue >= 2):
			r.rescue(a, false)
		case !ill && r.now >= a.late && w.lastAnswer > a.sent && r.alone > 0 && r.busy <= spillMost:
			// A departure: the answer to one call may be lost where others get theirs. Where that was seen
			// lately, a few are tried elsewhere too, at a copy that stands and while lanes are free. Harm: a
			// heavy call runs twice.
			if r.rescue(a, true); a.rescued {
				r.alone--
			}
		}
	}
}

// missed takes in that the answer to a call never came, though its worker answered others.
func (r *Router) missed(a *attempt, more int) {
	if w := a.w; !w.suspect && w.lastAnswer > a.sent {
		r.alone = min(r.alone+more, aloneMost)
		r.failed(w)
	}
}

// rescue gives an attempt up for another elsewhere, where the class allows one; with beside only for one
// beside it where a copy stands.
func (r *Router) rescue(a *attempt, beside bool) {
	q := a.q
	if q.done || q.streams || q.out > 1 || !r.hopeful(q) || q.class.Idempotency == NonIdempotent {
		return
	}
	if !r.set.HedgingAllowed && r.set.CancelAllowed && !beside {
		a.rescued = true
		r.act(Cancel{q.ID, a.n})
	} else if r.set.HedgingAllowed {
		w, warm := r.pick(q)
		a.rescued = w != nil && w != a.w && (warm || !beside) && r.send(q, w, warm)
	}
}

func (r *Router) limitStart() float64 { return max(2, callsThere/float64(r.set.Schedulers)) }
