package routing

import (
	"slices"
	"time"
)

// request is an open request of a client, or an answered one that still has attempts in flight.
type request struct {
	Request
	class         *Class
	function      *function
	arrivedAt     time.Duration
	expiresAt     time.Duration // when the client gives up
	dueAt         time.Duration // deadline that orders the queue
	attempts      []*attempt    // all of them, in the order of their Sends
	inFlight      int           // attempts without an end
	answered      bool          // it has its final answer
	streaming     bool          // its answer has begun to stream
	reachedWorker bool          // some attempt came as far as a worker
}

// attempt is an attempt to serve a request at a worker.
type attempt struct {
	request     *request
	number      int // index in request.attempts
	worker      *worker
	placement   *placement
	sentAt      time.Duration
	overdueAt   time.Duration
	work        float64 // expected service time, in seconds
	mayNeedLoad bool    // it may have to wait for a load
	ended       bool
	neverRan    bool // it ended, and is known never to have run
	superseded  bool // another attempt was started in its place, or it was canceled for one
}

// newRequest returns the record of a request that has just arrived.
func (r *Router) newRequest(arrival Request) *request {
	class := &r.settings.Classes[arrival.Class]
	return &request{
		Request:   arrival,
		class:     class,
		function:  r.functionFor(arrival),
		arrivedAt: r.now,
		expiresAt: r.now + arrival.TimeLeft,
		dueAt:     r.now + min(arrival.TimeLeft, class.Deadline),
	}
}

// newAttempt returns the record of an attempt that is about to start.
func (r *Router) newAttempt(req *request, target *worker, warm bool) *attempt {
	return &attempt{
		request:     req,
		number:      len(req.attempts),
		worker:      target,
		placement:   req.function.placementAt(target),
		sentAt:      r.now,
		work:        r.latency.ServiceTime(&req.function.latency, r.now),
		mayNeedLoad: !warm,
	}
}

// recordStart enters a new attempt with its request, placement and worker.
func (r *Router) recordStart(started *attempt) {
	started.request.attempts = append(started.request.attempts, started)
	started.request.inFlight++
	started.placement.inFlight++
	started.worker.inFlight = append(started.worker.inFlight, started)
	r.slowStart.RecordSend(&started.worker.slowStart, r.now, started.worker.Started)
	if !started.mayNeedLoad {
		r.inFlightWork += started.work
		return
	}
	started.worker.loadsWaiting++
	place := started.placement
	if place.incarnation != started.worker.incarnation || !place.loading {
		place.incarnation = started.worker.incarnation
		place.warm = false
		place.instances = 1
		place.loading = true
	}
}

// recordEnd removes an ended attempt from the counts of its request, placement and worker.
func (r *Router) recordEnd(ended *attempt) {
	ended.ended = true
	ended.request.inFlight--
	ended.placement.inFlight--
	ended.worker.inFlight = slices.DeleteFunc(ended.worker.inFlight, func(b *attempt) bool { return b == ended })
	if ended.mayNeedLoad {
		ended.worker.loadsWaiting--
		if ended.placement.inFlight == 0 {
			ended.placement.loading = false
		}
		return
	}
	r.inFlightWork -= ended.work
	if r.inFlightWork < workRoundingError {
		r.inFlightWork = 0
	}
}

// complete marks a request as answered; it is forgotten when its last attempt has ended. What is still in
// flight is canceled: nobody waits for it, and where workers heed that, it makes room for others.
func (r *Router) complete(q *request) {
	for _, a := range q.attempts {
		if !q.answered && !a.ended && r.settings.CancelAllowed {
			r.emit(Cancel{q.ID, a.number})
		}
	}
	q.answered = true
	if q.inFlight == 0 {
		delete(r.requests, q.ID)
	}
}

// firstPossiblyExecuted returns the first attempt that is not known never to have run, or nil.
func (q *request) firstPossiblyExecuted() *attempt {
	i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.neverRan })
	if i < 0 {
		return nil
	}
	return q.attempts[i]
}
