package routing

import (
	"slices"
	"time"
)

// workRoundingError is the rounding error of inFlightWork, in seconds. A smaller sum counts as 0.
const workRoundingError = 1e-9

// request is the record of an open request, or of an answered one that still has attempts in flight.
type request struct {
	Request
	class         *Class
	function      *function
	arrivedAt     time.Duration
	expiresAt     time.Duration // when the client times out
	dueAt         time.Duration // deadline by which the queue is sorted
	attempts      []*attempt    // all attempts, in the order of their Sends
	inFlight      int           // attempts that have not ended
	answered      bool          // the final answer was given
	streaming     bool          // the answer has started to stream
	reachedWorker bool          // some attempt was received by a worker
}

// attempt is the record of an attempt to serve a request at a worker.
type attempt struct {
	request     *request
	number      int // index in request.attempts
	worker      *worker
	placement   *placement
	sentAt      time.Duration
	overdueAt   time.Duration
	work        float64 // expected service time, in seconds
	mayNeedLoad bool    // it may have to wait for a load of the function
	ended       bool
	neverRan    bool // it ended and was certainly not executed
	superseded  bool // it was hedged, or canceled in favor of a retry
}

// requestTable holds the open requests and the total work of their attempts.
type requestTable struct {
	placements   *placementTable
	open         map[string]*request // by ID, until the last attempt has ended
	inFlightWork float64             // total service time of attempts at warm instances, in seconds
}

func newRequestTable(placements *placementTable) *requestTable {
	return &requestTable{placements: placements, open: map[string]*request{}}
}

// newRequest returns the record of a new request.
func newRequest(now time.Duration, arrival Request, class *Class, fn *function) *request {
	return &request{
		Request:   arrival,
		class:     class,
		function:  fn,
		arrivedAt: now,
		expiresAt: now + arrival.TimeLeft,
		dueAt:     now + min(arrival.TimeLeft, class.Deadline),
	}
}

// add adds a new request.
func (t *requestTable) add(req *request) {
	t.open[req.ID] = req
	req.function.requestBegun()
}

// remove deletes a request that is complete, or that continues as another one in the fallback pool. It does nothing if
// the request is not in the table.
func (t *requestTable) remove(req *request) {
	if t.open[req.ID] != req {
		return
	}
	delete(t.open, req.ID)
	t.placements.requestEnded(req.function)
}

// markStreaming records that the answer to a request has started to stream.
func (t *requestTable) markStreaming(id string) {
	if req := t.open[id]; req != nil {
		req.streaming = true
	}
}

// attemptInFlight returns an attempt in flight, or nil if there is none with this number.
func (t *requestTable) attemptInFlight(id string, number int) *attempt {
	req := t.open[id]
	if req == nil || number < 0 || number >= len(req.attempts) || req.attempts[number].ended {
		return nil
	}
	return req.attempts[number]
}

// recordStart adds a new attempt to its request, placement and worker.
func (t *requestTable) recordStart(started *attempt) {
	started.request.attempts = append(started.request.attempts, started)
	started.request.inFlight++
	started.placement.beginAttempt(started.mayNeedLoad)
	started.worker.beginAttempt(started)
	if !started.mayNeedLoad {
		t.inFlightWork += started.work
	}
}

// recordEnd marks an attempt as ended and updates its request, placement and worker.
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

// recordAnswered marks a request as answered. Its record is deleted when the last attempt has ended.
func (t *requestTable) recordAnswered(req *request) {
	req.answered = true
	if req.inFlight == 0 {
		t.remove(req)
	}
}

// moveToFallback moves a request to the fallback of its pool, which has a separate function record.
func (t *requestTable) moveToFallback(req *request, fallback Request, fn *function) {
	previous := req.function
	req.Request = fallback
	req.function = fn
	fn.requestBegun()
	t.placements.requestEnded(previous)
}

// firstPossiblyExecuted returns the first attempt that may have been executed, or nil.
func (q *request) firstPossiblyExecuted() *attempt {
	i := slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.neverRan })
	if i < 0 {
		return nil
	}
	return q.attempts[i]
}

// lastFailedAt reports whether the last attempt went to this worker and may have been executed. The next
// attempt then goes to another worker.
func (q *request) lastFailedAt(w *worker) bool {
	n := len(q.attempts)
	return n > 0 && q.attempts[n-1].worker == w && !q.attempts[n-1].neverRan
}

// provesNotRun reports whether an attempt with this outcome was certainly not executed.
func provesNotRun(outcome Outcome) bool {
	return outcome == Shed || outcome == ConnectFailed || outcome == NotSent || outcome == NotLoaded
}

// reachesWorker reports whether an attempt with this outcome was received by a worker.
func reachesWorker(outcome Outcome) bool { return outcome != ConnectFailed && outcome != NotSent }
