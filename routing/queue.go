package routing

import (
	"math"
	"slices"
	"time"

	"calicohill/internal/stats/sorted"
)

// admit refuses a request whose estimated finish passes its deadline, never with nothing ahead.
func (r *Router) admit(e Request) {
	if e.Class < 0 || e.Class >= len(r.set.Classes) || r.requests[e.ID] != nil {
		return
	}
	c := &r.set.Classes[e.Class]
	q := &request{
		Request: e, class: c, fn: r.function(e), end: r.now + e.TimeLeft,
		due: r.now + min(e.TimeLeft, c.Deadline), half: r.now + e.TimeLeft/2 - 2*beat,
	}
	r.requests[e.ID] = q
	r.loads.RecordArrival(r.now, r.set.LoadBudgetWindow)
	// Where a worker has room for this one, only what is out is ahead of it, not what waits for room.
	w, warm := r.pick(q)
	ahead := r.outWork
	if w == nil {
		ahead = r.ahead(q.due)
	}
	wait := ahead / max(r.lanes, 1)
	finish := wait + r.service(q.fn)
	if !warm && (w != nil || !slices.ContainsFunc(q.fn.pairs, r.isWarm)) {
		finish += r.loadTime(q.fn)
	}
	// A departure: the call that would begin a load is let in, or slow loads would be refused for ever.
	begun := slices.ContainsFunc(q.fn.pairs, func(p *pair) bool { return r.isWarm(p) || p.loading })
	hopeless := ahead > 0 && r.now+seconds(finish) > q.due && (begun || w == nil)
	// A departure: the work ahead makes it late by the shortest aim. Against the deadline alone queues grow
	// till every answer is late. One bound, or short aims would starve. Harm: where late worth is high.
	late := c.LateValue < 1 && wait+min(r.service(q.fn), r.leastAim/2) > r.leastAim
	// What others have ahead of it shows in how pressed its worker is.
	share := 0.0
	if w != nil {
		share = (r.pressOf(w) - 1 - refuseFrom) / refuseFrom
		late = late || r.rng.Float64() < min(share, refuseMost)*math.Pow(r.theirs, 4)
	}
	// Traffic past its tenant's share is worth little: it makes way as soon as anything has to wait.
	overQuota := r.shares.Exceeded(r.now, e.Tenant)
	if hopeless || late || overQuota && (len(r.held) > 0 || share > 0) {
		if next, ok := e.spill(); ok {
			delete(r.requests, e.ID)
			r.admit(next)
			return
		}
		r.finish(q)
		return
	}
	r.hold(q)
}

// hold puts a request among those that wait, least deadline first.
func (r *Router) hold(q *request) {
	r.held = sorted.Insert(r.held, q, func(q *request) time.Duration { return q.due })
}

// release sends what can be sent, least deadline first. A request that must wait blocks no other.
func (r *Router) release() {
	r.survey()
	r.held = slices.DeleteFunc(r.held, func(q *request) bool {
		// What found no room in half its time is refused while its client can still do better by coming back:
		// later a refusal is dear where nothing was ever sent, and past the half it is tried to the end.
		stuck := !q.reached && r.now >= q.half && r.now < q.half+2*beat
		if next, ok := q.spill(); stuck && ok {
			q.Request, q.fn, stuck = next, r.function(next), false
		}
		if q.end-r.now <= 2*beat || stuck || !r.hopeful(q) {
			r.finish(q)
		}
		if q.done {
			return true
		}
		w, warm := r.pick(q)
		if w != nil && !warm && !r.set.LoadOnDemand && r.set.LoadAllowed {
			// Only an order brings the function in: calls wait here for its answer.
			r.order(w, q.fn)
			w = nil
		}
		return w != nil && r.send(q, w, warm)
	})
}

// ahead is the summed service times of what is out and of what is held and due no later, in seconds.
func (r *Router) ahead(due time.Duration) float64 {
	sum := r.outWork
	for _, h := range r.held {
		if h.due > due {
			break
		}
		sum += r.service(h.fn)
	}
	return sum
}

// finish is the only place that ends a request unserved: with a refusal if that is known to be harmless,
// and a failure otherwise.
func (r *Router) finish(q *request) {
	if q.done {
		return
	}
	a := q.mayHaveRun()
	if a == nil || q.class.Idempotency == Idempotent ||
		q.class.Idempotency == IdempotentByKey && q.class.DeduplicationScope == ScopeAll {
		r.act(Reject{q.ID, r.comeBack()})
	} else {
		r.act(Fail{q.ID})
	}
	r.close(q)
}

// comeBack is the advice that goes with a refusal: when what is ahead now will be done with, at the most what
// clients follow. With no usable worker that is not known, and it is the most.
func (r *Router) comeBack() time.Duration {
	if r.lanes == 0 {
		return r.set.MaxRetryAfter
	}
	return min(max(seconds(r.ahead(math.MaxInt64)/r.lanes), beat), r.set.MaxRetryAfter)
}

// close marks a request as answered; it is forgotten when its last attempt has ended. What is still out is
// called off: nobody waits for it, and where workers heed that, it makes room for others.
func (r *Router) close(q *request) {
	for _, a := range q.attempts {
		if !q.done && !a.ended && r.set.CancelAllowed {
			r.act(Cancel{q.ID, a.n})
		}
	}
	q.done = true
	if q.out == 0 {
		delete(r.requests, q.ID)
	}
}
