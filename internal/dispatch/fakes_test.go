package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/bufferpool"
	"calicohill/internal/runtime/deadline"
	"calicohill/internal/runtime/slotmap"
	"calicohill/routing"

	"pgregory.net/rapid"
)

// fakeLoop is an event loop whose clock and passes are controlled by the test. A pass lasts until the test calls
// runPosted.
type fakeLoop struct {
	now       time.Duration
	deadlines deadline.Queue
	posted    []func()
}

func (l *fakeLoop) Now() time.Duration { return l.now }

func (l *fakeLoop) Post(fn func()) { l.posted = append(l.posted, fn) }

func (l *fakeLoop) SetDeadline(timer *deadline.Timer, at time.Duration) { l.deadlines.Set(timer, at) }

func (l *fakeLoop) ClearDeadline(timer *deadline.Timer) { l.deadlines.Remove(timer) }

// runPosted ends the pass: it calls the posted functions, including those posted by these calls.
func (l *fakeLoop) runPosted() {
	for len(l.posted) > 0 {
		next := l.posted[0]
		l.posted = l.posted[1:]
		next()
	}
}

// skipTo sets the clock and fires all timers that are due by then, in the current pass.
func (l *fakeLoop) skipTo(at time.Duration) {
	l.now = at
	for timer := l.deadlines.PopDue(l.now); timer != nil; timer = l.deadlines.PopDue(l.now) {
		timer.Fire()
	}
}

// advance moves the clock forward. Each timer fires when it is due, in a pass of its own.
func (l *fakeLoop) advance(duration time.Duration) {
	l.runPosted()
	end := l.now + duration
	for at, ok := l.deadlines.Next(); ok && at <= end; at, ok = l.deadlines.Next() {
		l.now = max(l.now, at)
		l.deadlines.PopDue(l.now).Fire()
		l.runPosted()
	}
	l.now = end
}

// fakeWorkers is a transport that records attempts. The test reports their results.
type fakeWorkers struct {
	written  bool // returned by Cancel
	sent     []dispatch.Attempt
	canceled []slotmap.Ref
	onUpdate func() // called by UpdateEndpoints if not nil
}

func (w *fakeWorkers) UpdateEndpoints(dispatch.EndpointList) {
	if w.onUpdate != nil {
		w.onUpdate()
	}
}

func (w *fakeWorkers) Send(attempt dispatch.Attempt) { w.sent = append(w.sent, attempt) }

func (w *fakeWorkers) Cancel(ref slotmap.Ref) bool {
	w.canceled = append(w.canceled, ref)
	return w.written
}

func (*fakeWorkers) Probe(string) {}

// fakeResponder is a front end that records the answers by tag. It copies the bodies, which are valid only during the
// call.
type fakeResponder struct {
	answers map[slotmap.Ref][]dispatch.Answer
	// onRespond is called after each answer if not nil.
	onRespond func(tag slotmap.Ref)
}

func (r *fakeResponder) Respond(tag slotmap.Ref, answer dispatch.Answer) {
	answer.Body = slices.Clone(answer.Body)
	r.answers[tag] = append(r.answers[tag], answer)
	if r.onRespond != nil {
		r.onRespond(tag)
	}
}

// Classes of the harness.
const (
	idempotent = iota
	idempotentByKey
	nonIdempotent
)

const (
	timeLeft            = time.Second            // TimeLeft of the harness's calls
	deduplicationWindow = 600 * time.Millisecond // of class idempotentByKey
	poolLimit           = 20                     // requests with a body for which the harness's pool has memory
)

// testSettings returns settings that allow a retry, hedging and cancellation.
func testSettings() routing.Settings {
	class := routing.Class{
		LatencyObjective:    500 * time.Millisecond,
		Deadline:            timeLeft,
		PriorityWeight:      1,
		DeduplicationWindow: deduplicationWindow,
	}
	settings := routing.Settings{
		Schedulers:     1,
		Tick:           2 * time.Millisecond,
		MaxAttempts:    2,
		CancelAllowed:  true,
		HedgingAllowed: true,
		LoadOnDemand:   true,
	}
	for _, kind := range []routing.Idempotency{routing.Idempotent, routing.IdempotentByKey, routing.NonIdempotent} {
		class.Idempotency = kind
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// testHarness is a Dispatcher with the real Router between a fake front end and fake workers.
type testHarness struct {
	*dispatch.Dispatcher
	t         rapid.TB
	loop      *fakeLoop
	workers   *fakeWorkers
	responder *fakeResponder
	pool      *bufferpool.Pool
	lastTag   slotmap.Ref
}

// newHarness returns a harness with the given workers in its endpoint list, all ready.
func newHarness(t rapid.TB, settings routing.Settings, maxOpenRequests int, workers ...string) *testHarness {
	t.Helper()
	router, err := routing.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &testHarness{
		t:         t,
		loop:      &fakeLoop{now: time.Hour},
		workers:   &fakeWorkers{written: true},
		responder: &fakeResponder{answers: map[slotmap.Ref][]dispatch.Answer{}},
		pool:      bufferpool.NewPool(poolLimit * (bufferpool.Size + dispatch.MemoryFor(&dispatch.Call{}))),
	}
	h.Dispatcher = dispatch.New(h.loop, router, h.pool, maxOpenRequests)
	h.SetWorkers(h.workers)
	h.UpdateEndpoints(dispatch.EndpointList{Full: true, Endpoints: endpoints(routing.Ready, workers...)})
	h.loop.runPosted()
	return h
}

// endpoints returns an endpoint in the given state for each ID.
func endpoints(state routing.WorkerState, ids ...string) []dispatch.Endpoint {
	var list []dispatch.Endpoint
	for _, id := range ids {
		list = append(list, dispatch.Endpoint{Worker: routing.Worker{ID: id, State: state, Weight: 1}, Addr: id})
	}
	return list
}

// call returns a call of a distinct function, with a body from the harness's pool.
func (h *testHarness) call(id string, class int) dispatch.Call {
	h.t.Helper()
	body := h.pool.Get()
	if body == nil {
		h.t.Fatal("body buffer pool is exhausted")
	}
	if err := h.pool.Append(body, []byte("body of "+id)); err != nil {
		h.t.Fatal(err)
	}
	return dispatch.Call{ID: id, Class: class, Function: "function " + id, IdempotencyKey: "key " + id, TimeLeft: timeLeft, Body: body}
}

// submit submits a call with a new tag, and fails the test if Submit returns an error.
func (h *testHarness) submit(call dispatch.Call) (ref, tag slotmap.Ref) {
	h.t.Helper()
	h.lastTag++
	ref, err := h.Submit(call, h.responder, h.lastTag)
	if err != nil {
		h.t.Fatalf("Submit(%s): %v", call.ID, err)
	}
	return ref, h.lastTag
}

// send submits a call of a class, ends the pass and returns the attempt that was sent.
func (h *testHarness) send(id string, class int) (attempt dispatch.Attempt, ref, tag slotmap.Ref) {
	h.t.Helper()
	return h.sendCall(h.call(id, class))
}

// sendCall submits a call, ends the pass and returns the attempt that was sent.
func (h *testHarness) sendCall(call dispatch.Call) (attempt dispatch.Attempt, ref, tag slotmap.Ref) {
	h.t.Helper()
	before := len(h.workers.sent)
	ref, tag = h.submit(call)
	h.loop.runPosted()
	if sent := h.workers.sent[before:]; len(sent) != 1 || sent[0].ID != call.ID {
		h.t.Fatalf("request %s: attempts sent: %v, want one", call.ID, sent)
	}
	return h.workers.sent[before], ref, tag
}

// hedge submits an idempotent call and advances time until a hedge is sent while the first attempt is in flight.
func (h *testHarness) hedge() (first, hedge dispatch.Attempt, tag slotmap.Ref) {
	h.t.Helper()
	first, _, tag = h.send("a", idempotent)
	before := len(h.workers.sent)
	h.setState(first.Worker, routing.Gone) // its attempt stays in flight
	h.loop.advance(timeLeft / 10)
	if sent := h.workers.sent[before:]; len(sent) != 1 {
		h.t.Fatalf("attempts sent: %v, want a hedge", sent)
	}
	return first, h.workers.sent[before], tag
}

// setState applies an endpoint update that changes the state of a worker.
func (h *testHarness) setState(worker string, state routing.WorkerState) {
	h.UpdateEndpoints(dispatch.EndpointList{Endpoints: endpoints(state, worker)})
}

// served returns the result of an attempt that was answered with a body.
func served(body string) dispatch.AttemptResult {
	return dispatch.AttemptResult{Outcome: routing.Served, Body: []byte(body), InFlightForFunction: dispatch.InFlightUnknown}
}

// ended returns the result of an attempt that ended without a body.
func ended(outcome routing.Outcome) dispatch.AttemptResult {
	return dispatch.AttemptResult{Outcome: outcome, InFlightForFunction: dispatch.InFlightUnknown}
}

// wantAnswers checks the statuses of the final answers to a request. At most one is ever expected.
func (h *testHarness) wantAnswers(tag slotmap.Ref, want ...dispatch.Status) {
	h.t.Helper()
	var got []dispatch.Status
	for _, answer := range h.responder.answers[tag] {
		got = append(got, answer.Status)
	}
	if !slices.Equal(got, want) {
		h.t.Errorf("answers %s, want %s", statusNames(got), statusNames(want))
	}
}

func statusNames(statuses []dispatch.Status) string {
	var names []string
	for _, status := range statuses {
		names = append(names, [...]string{dispatch.Served: "served", dispatch.Rejected: "rejected", dispatch.Failed: "failed"}[status])
	}
	return fmt.Sprint(names)
}

// wantBuffersInUse checks how many body buffers are in use. A buffer that was returned to the pool twice lowers the
// count by one. If no buffer is in use, no other memory may be reserved either.
func (h *testHarness) wantBuffersInUse(want int) {
	h.t.Helper()
	if got := h.pool.InUse(); got != want {
		h.t.Errorf("%d body buffers in use, want %d", got, want)
	}
	if got := h.pool.Used(); want == 0 && got != 0 {
		h.t.Errorf("%d bytes are in use, want none", got)
	}
}
