package routing

import "time"

type request struct {
	Request
	class                              *Class
	function                           *function
	expiresAt, dueAt                   time.Duration // when the client gives up; the deadline that orders the queue
	halfwayAt                          time.Duration // half of the client's time, less what a look may be late
	attempts                           []*attempt
	inFlight                           int
	answered, streaming, reachedWorker bool // reached: some attempt came as far as a worker
}

type attempt struct {
	request                           *request
	number                            int
	worker                            *worker
	placement                         *placement
	sentAt, overdueAt                 time.Duration // late: when it is overdue
	work                              float64
	cold, ended, superseded, neverRan bool // proved: it never ran
}

// close marks a request as answered; it is forgotten when its last attempt has ended. What is still out is
// called off: nobody waits for it, and where workers heed that, it makes room for others.
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
