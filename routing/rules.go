package routing

import (
	"slices"
	"time"
)

// maySend is the choke point of rules 2 to 4 for attempts: whether this request may go to this worker now.
func (r *Router) maySend(q *request, w *worker) bool {
	if q.done || r.now >= q.end || len(q.attempts) >= r.set.MaxAttempts || w.State != Ready ||
		q.out > 0 && !r.set.HedgingAllowed {
		return false
	}
	a := q.mayHaveRun()
	if a != nil && (q.class.Idempotency == NonIdempotent || q.class.Idempotency == IdempotentByKey &&
		(r.now-a.sent >= q.class.DeduplicationWindow-r.set.Tick ||
			!sameGroup(q.class.DeduplicationScope, a.w, w))) {
		return false
	}
	return r.coldRoom(w)
}

func sameGroup(s DeduplicationScope, a, b *worker) bool {
	return s == ScopeAll || s == ScopeZone && a.Zone == b.Zone || s == ScopeCell && a.Cell == b.Cell
}

// mayHaveRun is the first attempt that is not known never to have run.
func (q *request) mayHaveRun() *attempt {
	if i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.proved }); i >= 0 {
		return q.attempts[i]
	}
	return nil
}

// hopeful reports whether some further attempt could be allowed at all.
func (r *Router) hopeful(q *request) bool {
	a := q.mayHaveRun()
	if len(q.attempts) >= r.set.MaxAttempts || a == nil || q.class.Idempotency == Idempotent {
		return len(q.attempts) < r.set.MaxAttempts
	}
	return q.class.Idempotency == IdempotentByKey && r.now-a.sent < q.class.DeduplicationWindow-r.set.Tick &&
		slices.ContainsFunc(r.list, func(w *worker) bool {
			return w.State == Ready && sameGroup(q.class.DeduplicationScope, a.w, w)
		})
}

// failedAt reports whether the last attempt went to this worker and may have run: the next goes elsewhere.
func (q *request) failedAt(w *worker) bool {
	n := len(q.attempts)
	return n > 0 && q.attempts[n-1].w == w && !q.attempts[n-1].proved
}

// coldRoom keeps a cold worker's budget, where one is told: in each window that could tip it, this scheduler
// sends no more than its share of what the worker can do, guessed from what warm workers answer it.
// Where all are cold it is guessed from what they answer themselves, as ripe as they are: together all
// schedulers never send more than a multiple, below the one that tips, of what was answered. It begins at one
// call at a time, answered within the least aim.
func (r *Router) coldRoom(w *worker) bool {
	if !r.isCold(w) || r.set.OverloadMultiple == 0 || r.set.OverloadDuration == 0 {
		return true
	}
	rate, span := float64(r.perWeight), r.set.OverloadDuration
	if r.allCold {
		rate, span = max(rate, 1/r.leastAim/float64(r.set.Schedulers)), min(span, time.Second)
	}
	if r.now >= w.quotaTill {
		// Shares under one call would add up if rounded: each scheduler draws whether it has one.
		budget := coldMargin * r.set.OverloadMultiple * span.Seconds() * r.ripeness(w) * w.Weight * rate
		// Most such draws are lost on workers that nothing is for just then. While calls come as usual one is
		// let through by chance, so that a worker that is called coldEven times as much as others bears it,
		// and where there are hundreds the home of a function that is called much.
		usual := r.allCalls * r.fade(r.lastCall) /
			(widthTau * r.set.InstanceKeepAlive.Seconds() * max(r.size, 1))
		even := max(coldEven, coldTop*r.size)
		chance := budget / (span.Seconds() * even * max(rate, usual) * w.Weight)
		w.quota = int(max(budget, min(chance, 1)) + r.rng.Float64())
		w.quotaTill = r.now + span
	}
	// Any window counts, wherever it begins, and what waited for a connection comes close to what follows.
	w.sentCold = slices.DeleteFunc(w.sentCold, func(at time.Duration) bool { return r.now-at >= span+span/8 })
	return len(w.sentCold) < w.quota
}

// ripeness is the share of its capacity that a worker can be counted on for.
func (r *Router) ripeness(w *worker) float64 {
	if !r.isCold(w) {
		return 1
	}
	elapsed := max(0, (r.now-w.Started).Seconds()/r.set.SlowStartDuration.Seconds())
	return r.set.SlowStartFraction + (1-r.set.SlowStartFraction)*elapsed
}

// isCold reports whether a worker has started so lately that it can do only part of its work.
func (r *Router) isCold(w *worker) bool {
	return w.Started > 0 && r.now-w.Started < r.set.SlowStartDuration
}

// send is the only place that starts an attempt.
func (r *Router) send(q *request, w *worker, warm bool) bool {
	if r.now < r.blindTill || !r.maySend(q, w) {
		return false
	}
	p, within := q.fn.pair(w), time.Duration(0)
	if first := q.mayHaveRun(); first != nil && q.class.Idempotency == IdempotentByKey {
		within = first.sent + q.class.DeduplicationWindow - r.set.Tick - r.now
	}
	a := &attempt{q: q, n: len(q.attempts), w: w, p: p, sent: r.now, cost: r.service(q.fn), cold: !warm}
	aim := q.class.LatencyObjective.Seconds()
	patience := min(max(overdueAims*aim, overdueMeans*a.cost), aim)
	if a.cold {
		patience += overdueLoads * r.loadTime(q.fn)
		if p.life != w.life || !p.loading {
			p.life, p.warm, p.copies, p.loading = w.life, false, 1, true
		}
	}
	a.late = r.now + seconds(patience)
	q.attempts = append(q.attempts, a)
	q.out++
	p.out++
	w.outs = append(w.outs, a)
	if a.cold {
		w.loads++
	} else {
		r.outWork += a.cost
	}
	if r.isCold(w) {
		w.sentCold = append(w.sentCold, r.now)
	}
	if w.suspect {
		w.tries++
		w.tryAt = r.now + r.pause(w)
	}
	r.act(Send{q.ID, w.ID, max(q.end-r.now-r.set.Tick, time.Millisecond), within})
	return true
}

// order is the only place that orders a load. All orders with a count above 0 are rationed.
func (r *Router) order(w *worker, f *function) {
	if !r.set.LoadAllowed || w.State != Ready || f.pair(w).ordered {
		return
	}
	// A call may have come up to a tick before its batch: those near the window's edge are left out.
	if r.set.LoadBudgetWindow > 0 &&
		!r.loads.Allow(r.now, r.set.LoadBudgetWindow, r.set.Tick+beat,
			r.set.LoadBudgetBase, r.set.LoadBudgetPerRequest) {
		return
	}
	f.pair(w).ordered = true
	r.act(Load{w.ID, f.name, 1})
}
