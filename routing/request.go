package routing

import (
	"slices"
	"time"
)

// workRoundingError is how many seconds of work in flight count as none: the sum's rounding error.
const workRoundingError = 1e-9

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

// requestTable holds the requests that are open, and the work of their attempts.
type requestTable struct {
	open         map[string]*request // by id, until every attempt has ended
	inFlightWork float64             // summed service times of attempts at warm instances, in seconds
}

func newRequestTable() *requestTable { return &requestTable{open: map[string]*request{}} }

// newRequest returns the record of a request that has just arrived.
func newRequest(now time.Duration, arrival Request, class *Class, called *function) *request {
	return &request{
		Request:   arrival,
		class:     class,
		function:  called,
		arrivedAt: now,
		expiresAt: now + arrival.TimeLeft,
		dueAt:     now + min(arrival.TimeLeft, class.Deadline),
	}
}

// add enters a request that has just arrived.
func (t *requestTable) add(req *request) { t.open[req.ID] = req }

// remove forgets a request that goes on as another.
func (t *requestTable) remove(req *request) { delete(t.open, req.ID) }

// markStreaming notes that the answer of a request has begun to stream.
func (t *requestTable) markStreaming(id string) {
	if req := t.open[id]; req != nil {
		req.streaming = true
	}
}

// attemptInFlight returns an attempt that has not ended, or nil.
func (t *requestTable) attemptInFlight(id string, number int) *attempt {
	req := t.open[id]
	if req == nil || number < 0 || number >= len(req.attempts) || req.attempts[number].ended {
		return nil
	}
	return req.attempts[number]
}

// recordStart enters a new attempt with its request, placement and worker.
func (t *requestTable) recordStart(started *attempt) {
	started.request.attempts = append(started.request.attempts, started)
	started.request.inFlight++
	started.placement.beginAttempt(started.mayNeedLoad)
	started.worker.beginAttempt(started)
	if !started.mayNeedLoad {
		t.inFlightWork += started.work
	}
}

// recordEnd removes an ended attempt from the counts of its request, placement and worker.
func (t *requestTable) recordEnd(ended *attempt, outcome Outcome) {
	ended.ended = true
	ended.neverRan = provesNotRun(outcome)
	ended.request.inFlight--
	ended.request.reachedWorker = ended.request.reachedWorker || reachesWorker(outcome)
	ended.placement.endAttempt(ended.mayNeedLoad)
	ended.worker.endAttempt(ended)
	if ended.mayNeedLoad {
		return
	}
	t.inFlightWork -= ended.work
	if t.inFlightWork < workRoundingError {
		t.inFlightWork = 0
	}
}

// recordAnswered marks a request as answered; it is forgotten when its last attempt has ended.
func (t *requestTable) recordAnswered(req *request) {
	req.answered = true
	if req.inFlight == 0 {
		delete(t.open, req.ID)
	}
}

// divert has a request go on in the fallback of its pool, where its function is another.
func (q *request) divert(fallback Request, called *function) {
	q.Request = fallback
	q.function = called
}

// firstPossiblyExecuted returns the first attempt that is not known never to have run, or nil.
func (q *request) firstPossiblyExecuted() *attempt {
	i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.neverRan })
	if i < 0 {
		return nil
	}
	return q.attempts[i]
}

// lastFailedAt reports whether the last attempt went to this worker and may have run: the next goes
// elsewhere.
func (q *request) lastFailedAt(w *worker) bool {
	n := len(q.attempts)
	return n > 0 && q.attempts[n-1].worker == w && !q.attempts[n-1].neverRan
}

// provesNotRun reports whether an attempt with this outcome is known never to have run.
func provesNotRun(outcome Outcome) bool {
	return outcome == Shed || outcome == ConnectFailed || outcome == NotSent || outcome == NotLoaded
}

// reachesWorker reports whether an attempt with this outcome came as far as a worker.
func reachesWorker(outcome Outcome) bool { return outcome != ConnectFailed && outcome != NotSent }
