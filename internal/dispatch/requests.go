package dispatch

import (
	"time"

	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/slotmap"
)

// responseReserve is subtracted from each client's time to allow for the network latency of the request and the answer.
const responseReserve = 3 * time.Millisecond

// requestBytes is the memory that a submitted request takes besides its body: its records here and in the Router, its
// attempts, and their calls in the transport.
const requestBytes = 2 << 10

// MemoryFor returns the memory that Submit reserves for a call in the pool, in bytes.
func MemoryFor(call *Call) int {
	return requestBytes + 2*len(call.Affinity) // the key itself, and the name under which the Router keeps it
}

// request is a client's request. It exists from Submit until it is answered or canceled and has no attempt in flight.
type request struct {
	Call
	ref              slotmap.Ref
	responder        Responder
	tag              slotmap.Ref   // identifies the request to the responder
	deadline         time.Duration // the client's deadline less responseReserve
	arrival          eventPosition // of the event that passes it to the Router
	answered         bool          // answered or canceled: no answer may follow
	attempts         []slotmap.Ref // by attempt number
	attemptsInFlight int
	memory           int // reserved in the pool
}

// isAnswered reports whether the request was answered or canceled, so that no answer may follow.
func (r *request) isAnswered() bool { return r.answered }

// beginAttempt records the start of an attempt and returns its number, counted from 0.
func (r *request) beginAttempt(ref slotmap.Ref) (number int) {
	number = len(r.attempts)
	r.attempts = append(r.attempts, ref)
	r.attemptsInFlight++
	return number
}

// endAttempt records the end of an attempt.
func (r *request) endAttempt() { r.attemptsInFlight-- }

// attemptRef returns the Ref of the attempt with a number, whether it is in flight or not. It is the zero Ref if there
// is no such attempt.
func (r *request) attemptRef(number int) slotmap.Ref {
	if number >= len(r.attempts) {
		return 0
	}
	return r.attempts[number]
}

// requestTable holds the requests by Ref and by ID, and delivers the final answers, one for each request. It belongs to
// a Dispatcher and is used on the event loop only.
//
// At most maxOpen requests wait for their final answer at a time; 0 means no limit. An answered request stays in the
// table while one of its attempts is in flight. The pool limits the memory of the requests, of their bodies too.
type requestTable struct {
	requests slotmap.Table[*request]
	refs     map[string]slotmap.Ref // by ID
	open     int                    // requests without a final answer
	maxOpen  int
	buffers  *bufferpool.Pool
}

func newRequestTable(maxOpen int, buffers *bufferpool.Pool) *requestTable {
	return &requestTable{refs: map[string]slotmap.Ref{}, maxOpen: maxOpen, buffers: buffers}
}

// openCount returns the number of requests without a final answer.
func (t *requestTable) openCount() int { return t.open }

// add stores a request that is submitted at now. The error is ErrDuplicateID or ErrTooManyRequests.
func (t *requestTable) add(now time.Duration, call *Call, responder Responder, tag slotmap.Ref) (*request, error) {
	// The Router ignores a request whose ID is in use, and would never answer it.
	if _, ok := t.refs[call.ID]; ok {
		return nil, ErrDuplicateID
	}
	if t.maxOpen > 0 && t.open >= t.maxOpen {
		return nil, ErrTooManyRequests
	}
	memory := MemoryFor(call)
	if !t.buffers.Reserve(memory) {
		return nil, ErrTooManyRequests
	}
	req := &request{
		Call: *call, responder: responder, tag: tag, deadline: now + call.TimeLeft - responseReserve, memory: memory,
	}
	req.ref = t.requests.Insert(req)
	t.refs[call.ID] = req.ref
	t.open++
	return req, nil
}

// find returns the request with an ID. An unknown ID maps to the zero Ref, which refers to no request.
func (t *requestTable) find(id string) (*request, bool) { return t.requests.Get(t.refs[id]) }

// cancel marks a request as answered because its client has canceled it. It returns false if the request was answered
// or canceled before.
func (t *requestTable) cancel(ref slotmap.Ref) (*request, bool) {
	req, ok := t.requests.Get(ref)
	if !ok || req.answered {
		return nil, false
	}
	t.markAnswered(req)
	return req, true
}

// answer delivers the final answer, unless the request was answered or canceled before.
func (t *requestTable) answer(req *request, answer Answer) {
	if req.answered {
		return
	}
	t.markAnswered(req)
	req.responder.Respond(req.tag, answer)
}

// answerByID delivers a final answer that the Router decided on, and releases the request if it is complete.
func (t *requestTable) answerByID(id string, answer Answer) {
	if req, ok := t.find(id); ok {
		t.answer(req, answer)
		t.releaseIfComplete(req)
	}
}

func (t *requestTable) markAnswered(req *request) {
	req.answered = true
	t.open--
}

// releaseByID releases the request with an ID if it is complete.
func (t *requestTable) releaseByID(id string) {
	if req, ok := t.find(id); ok {
		t.releaseIfComplete(req)
	}
}

// releaseIfComplete removes a request that is answered and has no attempt in flight, and returns its memory to the pool.
// Bodies are returned nowhere else: attempts in flight use the body even after the request has been answered or
// canceled.
func (t *requestTable) releaseIfComplete(req *request) {
	if !req.answered || req.attemptsInFlight > 0 {
		return
	}
	if _, ok := t.requests.Get(req.ref); !ok {
		return // already released
	}
	t.requests.Remove(req.ref)
	delete(t.refs, req.ID)
	t.buffers.Put(req.Body)
	t.buffers.Release(req.memory)
	req.Body = nil
}
