package dispatch

import (
	"time"

	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/slotmap"
)

// responseReserve is subtracted from each client's time: the request has been on its way, and the answer will be.
const responseReserve = 3 * time.Millisecond

// request is a client's request from Submit until it is answered or canceled and none of its attempts is in flight.
type request struct {
	Call
	ref              slotmap.Ref
	responder        Responder
	tag              slotmap.Ref   // the responder's name for the request
	deadline         time.Duration // when the client gives up, less responseReserve
	answered         bool          // no answer is owed any more
	attempts         []slotmap.Ref // by attempt number
	attemptsInFlight int
}

// isAnswered reports whether no answer is owed any more: the request was answered, or its client has left.
func (r *request) isAnswered() bool { return r.answered }

// beginAttempt records an attempt that is in flight from now on, and returns its number, counted from 0.
func (r *request) beginAttempt(ref slotmap.Ref) (number int) {
	number = len(r.attempts)
	r.attempts = append(r.attempts, ref)
	r.attemptsInFlight++
	return number
}

// endAttempt records that one of the attempts is in flight no more.
func (r *request) endAttempt() { r.attemptsInFlight-- }

// attemptRef returns the attempt of a number, in flight or not; the zero Ref if there was none.
func (r *request) attemptRef(number int) slotmap.Ref {
	if number >= len(r.attempts) {
		return 0
	}
	return r.attempts[number]
}

// requestTable holds the requests, by Ref and by ID, and gives each its one final answer. It belongs to a Dispatcher and
// is used on the event loop only.
//
// At most maxOpen requests wait for their final answer at a time; 0 means no limit. A request that was answered is kept
// while an attempt of it is in flight.
type requestTable struct {
	requests slotmap.Table[*request]
	refs     map[string]slotmap.Ref // by ID
	open     int                    // requests without a final answer
	maxOpen  int
	buffers  *bufferpool.Pool // bodies are returned to it
}

func newRequestTable(maxOpen int, buffers *bufferpool.Pool) *requestTable {
	return &requestTable{refs: map[string]slotmap.Ref{}, maxOpen: maxOpen, buffers: buffers}
}

// openCount is the number of requests that are owed a final answer.
func (t *requestTable) openCount() int { return t.open }

// add stores a request that was submitted now. The error is ErrDuplicateID or ErrTooManyRequests.
func (t *requestTable) add(now time.Duration, call *Call, responder Responder, tag slotmap.Ref) (*request, error) {
	// The Router ignores a request whose ID it still knows, and would never answer it.
	if _, ok := t.refs[call.ID]; ok {
		return nil, ErrDuplicateID
	}
	if t.maxOpen > 0 && t.open >= t.maxOpen {
		return nil, ErrTooManyRequests
	}
	req := &request{Call: *call, responder: responder, tag: tag, deadline: now + call.TimeLeft - responseReserve}
	req.ref = t.requests.Insert(req)
	t.refs[call.ID] = req.ref
	t.open++
	return req, nil
}

// find returns the request with an ID. An unknown ID has the zero Ref, which refers to nothing.
func (t *requestTable) find(id string) (*request, bool) { return t.requests.Get(t.refs[id]) }

// withdraw marks a request whose client has left as answered. It returns false if no answer was owed any more.
func (t *requestTable) withdraw(ref slotmap.Ref) (*request, bool) {
	req, ok := t.requests.Get(ref)
	if !ok || req.answered {
		return nil, false
	}
	t.markAnswered(req)
	return req, true
}

// answer gives the final answer, unless the request was answered or withdrawn before.
func (t *requestTable) answer(req *request, answer Answer) {
	if req.answered {
		return
	}
	t.markAnswered(req)
	req.responder.Respond(req.tag, answer)
}

// answerByID gives the final answer that the Router decided on, and releases the request if it is done.
func (t *requestTable) answerByID(id string, answer Answer) {
	if req, ok := t.find(id); ok {
		t.answer(req, answer)
		t.releaseIfDone(req)
	}
}

func (t *requestTable) markAnswered(req *request) {
	req.answered = true
	t.open--
}

// releaseByID releases the request with an ID if it is done.
func (t *requestTable) releaseByID(id string) {
	if req, ok := t.find(id); ok {
		t.releaseIfDone(req)
	}
}

// releaseIfDone frees a request that is answered and has no attempt in flight. It is the only place that returns a body to
// the pool: attempts in flight have the body lent, also those that nobody waits for any more.
func (t *requestTable) releaseIfDone(req *request) {
	if !req.answered || req.attemptsInFlight > 0 {
		return
	}
	if _, ok := t.requests.Get(req.ref); !ok {
		return // released before
	}
	t.requests.Remove(req.ref)
	delete(t.refs, req.ID)
	t.buffers.Put(req.Body)
	req.Body = nil
}
