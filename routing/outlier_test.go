package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// A worker that takes calls and answers none is left alone, and tried again with one call at a time.
func TestSilentWorker(t *testing.T) {
	b := newHarness(t, settings(), readyWorkers(2)...)
	s := b.send("a", "f")
	b.step(50*millisecond, attemptEnd(s, 0, Served))
	b.send("b", "f")
	b.send("c", "f")
	b.wait(1500 * millisecond)
	if w := b.router.workers[s.Worker]; !w.ejected {
		t.Fatal("two overdue calls and no answer: not suspect")
	}
	if d := b.send("d", "f"); d.Worker == s.Worker {
		t.Error("a suspect worker got another call at once")
	}
	b.step(millisecond, attemptEnd(Send{ID: "b", Worker: s.Worker}, 0, Served))
	if b.router.workers[s.Worker].ejected {
		t.Error("still suspect after an answer")
	}
}

func TestOneHeavyCallIsNoSilentWorker(t *testing.T) {
	b := newHarness(t, settings(), readyWorkers(2)...)
	s := b.send("a", "f")
	b.step(50*millisecond, attemptEnd(s, 0, Served))
	b.send("heavy", "f")
	b.wait(1500 * millisecond)
	if b.router.workers[s.Worker].ejected {
		t.Error("one overdue call made its worker suspect")
	}
}

// A connection that does not come up says nothing of a worker that answered on another meanwhile.
func TestOneConnectionThatNeverComesUp(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b := newHarness(t, settings(), readyWorker("w0", 0))
		first := b.send("a", "f")
		second := b.send("b", "g")
		if answered {
			b.step(100*millisecond, attemptEnd(first, 0, Served))
		}
		b.step(100*millisecond, attemptEnd(second, 0, ConnectFailed))
		w := b.router.workers["w0"]
		if w.ejected == answered || (w.incarnation == 0) != answered {
			t.Errorf("answered meanwhile %v: suspect %v, life %d", answered, w.ejected, w.incarnation)
		}
	}
}

// After a stall the timer may stand before the answers of the same batch: no worker is suspected for that.
func TestStallRaisesNoSuspicion(t *testing.T) {
	b := newHarness(t, settings(), readyWorkers(1)...)
	one, two := b.send("one", "f"), b.send("two", "f")
	acts := b.step(2*time.Second, TimerFired{tickToken}, attemptEnd(one, 0, Served), attemptEnd(two, 0, Served))
	if w := b.router.workers[one.Worker]; w.ejected {
		t.Error("suspect, though its answers came in the same batch")
	}
	if got := actionsOf[Cancel](acts); len(got) > 0 {
		t.Errorf("called off %v", got)
	}
}

// lit is a fleet of which each worker holds the function and has just answered.
func harnessWithPeers(t *testing.T, n int, change ...func(*Settings)) *testHarness {
	t.Helper()
	b := newHarness(t, settings(append(change, faultReporting)...), readyWorkers(n)...)
	for i := range 4 * n {
		s := b.send(fmt.Sprintf("lit%d", i), fmt.Sprintf("f%d", i))
		b.step(30*millisecond, attemptEnd(s, 0, Served))
	}
	return b
}

func confirmedReports(ids ...string) PeerReports {
	h := PeerReports{Verdicts: map[string]PeerVerdict{}}
	for _, id := range ids {
		h.Verdicts[id] = Confirmed
	}
	return h
}

// On the word of enough others a worker gets nothing but trials, until it answers one; not while its own answers
// are fresh, and not more of them than leaves the rest room.
func TestLeavesOutOnTheWordOfOthers(t *testing.T) {
	b := harnessWithPeers(t, 8)
	b.step(0, confirmedReports("w3"))
	if b.router.workers["w3"].ejected {
		t.Error("left out though it has just answered")
	}
	b.wait(2 * time.Second)
	if acts := actionsOf[ReportFault](b.step(0, confirmedReports("w3"))); len(acts) > 0 {
		t.Errorf("what others say was passed on as seen here: %v", acts)
	}
	for i := range 40 {
		s := b.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w3" && b.router.workers["w3"].probes == 0 {
			t.Fatal("sent to a worker that is left out")
		}
		b.step(millisecond, attemptEnd(s, 0, Served))
	}
	if !b.router.workers["w3"].ejected {
		t.Error("not left out")
	}
	b.step(0, PeerReports{Cleared: []string{"w3"}})
	if w := b.router.workers["w3"]; b.router.now < w.probationAt {
		t.Error("not tried at once though another has had an answer")
	}
	b = harnessWithPeers(t, 8)
	b.wait(2 * time.Second)
	b.step(0, confirmedReports("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"))
	out := 0
	for _, w := range b.router.workerList {
		if w.ejected {
			out++
		}
	}
	if out == len(b.router.workerList) {
		t.Error("all workers are left out on the word of others")
	}
}

// One alone has only calls that must not be repeated go elsewhere, and not if all are accused.
func TestOneAccuserAlone(t *testing.T) {
	b := harnessWithPeers(t, 4, nonIdempotent)
	b.wait(2 * time.Second)
	b.step(0, PeerReports{Verdicts: map[string]PeerVerdict{"w0": Reported}})
	for i := range 20 {
		s := b.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w0" {
			t.Fatal("a call that must not be repeated went to a worker that one accuses")
		}
		b.step(millisecond, attemptEnd(s, 0, Served))
	}
	if b.router.workers["w0"].ejected {
		t.Error("left out on the word of one")
	}
	b.wait(2 * time.Second)
	b.step(0, PeerReports{Verdicts: map[string]PeerVerdict{"w0": Reported, "w1": Reported, "w2": Reported, "w3": Reported}})
	b.send("last", "f0")
}

// What is seen is said: silence with its newest proof, its end, errors; without peers nothing is.
func TestObserves(t *testing.T) {
	for _, on := range []bool{true, false} {
		b := newHarness(t, settings(func(s *Settings) { s.FaultReporting = on }), readyWorkers(1)...)
		s := b.send("a", "f")
		seen := actionsOf[ReportFault](b.step(30*millisecond, attemptEnd(s, 0, Served)))
		var sent time.Duration
		for i := range 2 {
			b.send(fmt.Sprintf("b%d", i), "f")
			sent = b.now
		}
		seen = append(seen, actionsOf[ReportFault](b.wait(time.Second))...)
		back := b.now
		seen = append(seen, actionsOf[ReportFault](b.step(0, attemptEnd(Send{ID: "b0", Worker: "w0"}, 0, Served)))...)
		want := []ReportFault{{"w0", Unresponsive, sent}, {"w0", Healthy, back}} // both are overdue at the same look
		if !on {
			want = nil
		}
		if !reflect.DeepEqual(seen, want) {
			t.Errorf("peers %v: observed %v, want %v", on, seen, want)
		}
	}
}
