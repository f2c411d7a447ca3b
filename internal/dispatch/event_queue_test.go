package dispatch_test

import (
	"fmt"
	"testing"

	"calicohill/internal/dispatch"
	"calicohill/internal/runtime/slotmap"
)

// Guards against memory that grows with the requests that clients begin and cancel within one pass of the event loop,
// to which no limit on open requests applies.
func TestCanceledInOnePass(t *testing.T) {
	const rounds, openAtOnce = 1000, 8
	harness := newHarness(t, testSettings(), 0, "w")
	before := len(dispatch.PendingEvents(harness.Dispatcher))
	for round := range rounds {
		var refs []slotmap.Ref
		for i := range openAtOnce {
			id := fmt.Sprintf("%d-%d", round, i)
			ref, _ := harness.submit(dispatch.Call{ID: id, Class: idempotent, Function: "f", TimeLeft: timeLeft})
			refs = append(refs, ref)
		}
		for _, ref := range refs {
			harness.Cancel(ref)
		}
	}
	if events := len(dispatch.PendingEvents(harness.Dispatcher)) - before; events > 0 {
		t.Errorf("%d events are pending for canceled requests, want 0", events)
	}
	if requests, ids, _ := dispatch.TableSizes(harness.Dispatcher); requests > 0 || ids > 0 {
		t.Errorf("%d requests and %d IDs are held for canceled requests, want 0", requests, ids)
	}
}

// Guards against the body buffers of requests that clients begin and cancel within one pass: other clients would find
// none free until the end of the pass.
func TestBuffersOfCanceledInOnePass(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w")
	for i := range 10 * poolLimit {
		ref, _ := harness.submit(harness.call(fmt.Sprint(i), idempotent))
		harness.Cancel(ref)
	}
	harness.wantBuffersInUse(0)
}

// Guards against a canceled request that takes the event of another one out of the step, so that the Router never
// answers it.
func TestOthersSurviveCancelInOnePass(t *testing.T) {
	harness := newHarness(t, testSettings(), 0, "w")
	first, _ := harness.submit(harness.call("a", idempotent))
	harness.submit(harness.call("b", idempotent))
	third, _ := harness.submit(harness.call("c", idempotent))
	harness.Cancel(third)
	harness.Cancel(first)
	harness.loop.runPosted()
	if sent := harness.workers.sent; len(sent) != 1 || sent[0].ID != "b" {
		t.Errorf("attempts sent: %v, want one for b", sent)
	}
}
