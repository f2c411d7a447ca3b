package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// A worker that takes calls and answers none is left alone, and tried again with one call at a time.
func TestEjectsUnresponsiveWorker(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("b", "f")
	harness.send("c", "f")
	harness.wait(1500 * millisecond)
	if w := harness.router.workers[s.Worker]; !w.ejected {
		t.Fatal("two overdue calls and no answer: not suspect")
	}
	if d := harness.send("d", "f"); d.Worker == s.Worker {
		t.Error("a suspect worker got another call at once")
	}
	harness.step(millisecond, attemptEnd(Send{ID: "b", Worker: s.Worker}, 0, Served))
	if harness.router.workers[s.Worker].ejected {
		t.Error("still suspect after an answer")
	}
}

func TestOneOverdueRequestDoesNotEject(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("heavy", "f")
	harness.wait(1500 * millisecond)
	if harness.router.workers[s.Worker].ejected {
		t.Error("one overdue call made its worker suspect")
	}
}

// A connection that does not come up says nothing of a worker that answered on another meanwhile.
func TestConnectFailureAfterAnswerDoesNotEject(t *testing.T) {
	for _, answered := range []bool{true, false} {
		harness := newHarness(t, settings(), readyWorker("w0", 0))
		first := harness.send("a", "f")
		second := harness.send("b", "g")
		if answered {
			harness.step(100*millisecond, attemptEnd(first, 0, Served))
		}
		harness.step(100*millisecond, attemptEnd(second, 0, ConnectFailed))
		w := harness.router.workers["w0"]
		if w.ejected == answered || (w.incarnation == 0) != answered {
			t.Errorf("answered meanwhile %v: suspect %v, life %d", answered, w.ejected, w.incarnation)
		}
	}
}

// After a stall the timer may stand before the answers of the same batch: no worker is suspected for that.
func TestStallDoesNotEject(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(1)...)
	one, two := harness.send("one", "f"), harness.send("two", "f")
	acts := harness.step(2*time.Second, TimerFired{tickToken}, attemptEnd(one, 0, Served), attemptEnd(two, 0, Served))
	if w := harness.router.workers[one.Worker]; w.ejected {
		t.Error("suspect, though its answers came in the same batch")
	}
	if got := actionsOf[Cancel](acts); len(got) > 0 {
		t.Errorf("called off %v", got)
	}
}

// harnessWithPeers has a fleet of which each worker has the function loaded and has just answered.
func harnessWithPeers(t *testing.T, n int, change ...func(*Settings)) *testHarness {
	t.Helper()
	harness := newHarness(t, settings(append(change, faultReporting)...), readyWorkers(n)...)
	for i := range 4 * n {
		s := harness.send(fmt.Sprintf("lit%d", i), fmt.Sprintf("f%d", i))
		harness.step(30*millisecond, attemptEnd(s, 0, Served))
	}
	return harness
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
func TestEjectsOnConfirmedReports(t *testing.T) {
	harness := harnessWithPeers(t, 8)
	harness.step(0, confirmedReports("w3"))
	if harness.router.workers["w3"].ejected {
		t.Error("left out though it has just answered")
	}
	harness.wait(2 * time.Second)
	if acts := actionsOf[ReportFault](harness.step(0, confirmedReports("w3"))); len(acts) > 0 {
		t.Errorf("what others say was passed on as seen here: %v", acts)
	}
	for i := range 40 {
		s := harness.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w3" && harness.router.workers["w3"].probes == 0 {
			t.Fatal("sent to a worker that is left out")
		}
		harness.step(millisecond, attemptEnd(s, 0, Served))
	}
	if !harness.router.workers["w3"].ejected {
		t.Error("not left out")
	}
	harness.step(0, PeerReports{Cleared: []string{"w3"}})
	if w := harness.router.workers["w3"]; harness.router.now < w.probationAt {
		t.Error("not tried at once though another has had an answer")
	}
	harness = harnessWithPeers(t, 8)
	harness.wait(2 * time.Second)
	harness.step(0, confirmedReports("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"))
	out := 0
	for _, w := range harness.router.workerList {
		if w.ejected {
			out++
		}
	}
	if out == len(harness.router.workerList) {
		t.Error("all workers are left out on the word of others")
	}
}

// One alone has only calls that must not be repeated go elsewhere, and not if all are accused.
func TestSingleReportDivertsNonIdempotent(t *testing.T) {
	harness := harnessWithPeers(t, 4, nonIdempotent)
	harness.wait(2 * time.Second)
	harness.step(0, PeerReports{Verdicts: map[string]PeerVerdict{"w0": Reported}})
	for i := range 20 {
		s := harness.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w0" {
			t.Fatal("a call that must not be repeated went to a worker that one accuses")
		}
		harness.step(millisecond, attemptEnd(s, 0, Served))
	}
	if harness.router.workers["w0"].ejected {
		t.Error("left out on the word of one")
	}
	harness.wait(2 * time.Second)
	harness.step(0, PeerReports{Verdicts: map[string]PeerVerdict{"w0": Reported, "w1": Reported, "w2": Reported, "w3": Reported}})
	harness.send("last", "f0")
}

// What is seen is said: silence with its newest proof, its end, errors; without peers nothing is.
func TestReportsFaults(t *testing.T) {
	for _, reporting := range []bool{true, false} {
		harness := newHarness(t, settings(func(s *Settings) { s.FaultReporting = reporting }), readyWorkers(1)...)
		s := harness.send("a", "f")
		seen := actionsOf[ReportFault](harness.step(30*millisecond, attemptEnd(s, 0, Served)))
		var sent time.Duration
		for i := range 2 {
			harness.send(fmt.Sprintf("b%d", i), "f")
			sent = harness.now
		}
		seen = append(seen, actionsOf[ReportFault](harness.wait(time.Second))...)
		back := harness.now
		seen = append(seen, actionsOf[ReportFault](harness.step(0, attemptEnd(Send{ID: "b0", Worker: "w0"}, 0, Served)))...)
		want := []ReportFault{{"w0", Unresponsive, sent}, {"w0", Healthy, back}} // both are overdue at the same look
		if !reporting {
			want = nil
		}
		if !reflect.DeepEqual(seen, want) {
			t.Errorf("peers %v: observed %v, want %v", reporting, seen, want)
		}
	}
}
