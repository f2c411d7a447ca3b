package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Guards against further requests to a worker that accepts requests and does not answer them: it is ejected until it
// answers one.
func TestEjectsUnresponsiveWorker(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("b", "f")
	harness.send("c", "f")
	harness.wait(1500 * millisecond)
	if w := harness.router.endpoints.byID[s.Worker]; !w.health.Ejected() {
		t.Fatal("not ejected after two overdue requests without an answer")
	}
	if d := harness.send("d", "f"); d.Worker == s.Worker {
		t.Error("an ejected worker got another request")
	}
	harness.step(millisecond, attemptEnd(Send{ID: "b", Worker: s.Worker}, 0, Served))
	if harness.router.endpoints.byID[s.Worker].health.Ejected() {
		t.Error("still ejected after an answer")
	}
}

// Guards against ejecting a worker for a single overdue attempt, which may be an expensive request.
func TestOneOverdueRequestDoesNotEject(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("heavy", "f")
	harness.wait(1500 * millisecond)
	if harness.router.endpoints.byID[s.Worker].health.Ejected() {
		t.Error("one overdue request ejected its worker")
	}
}

// Guards against ejecting a healthy worker for a failed connection attempt. The failure ejects the worker and discards
// its warm instances only if it has not answered on another connection since the attempt was sent.
func TestConnectFailureEjectsOnlyWithoutLaterAnswer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		harness := newHarness(t, settings(), readyWorker("w0", 0))
		first := harness.send("a", "f")
		second := harness.send("b", "g")
		if answered {
			harness.step(100*millisecond, attemptEnd(first, 0, Served))
		}
		harness.step(100*millisecond, attemptEnd(second, 0, ConnectFailed))
		w := harness.router.endpoints.byID["w0"]
		if w.health.Ejected() == answered || (w.incarnation == 0) != answered {
			t.Errorf("answered since is %v: ejected is %v, incarnation is %d", answered, w.health.Ejected(), w.incarnation)
		}
	}
}

// Guards against ejecting a worker after a stall of the scheduler, when the timer may precede the worker's answers in
// the same batch of events.
func TestStallDoesNotEject(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(1)...)
	one, two := harness.send("one", "f"), harness.send("two", "f")
	acts := harness.step(2*time.Second, TimerFired{tickToken}, attemptEnd(one, 0, Served), attemptEnd(two, 0, Served))
	if w := harness.router.endpoints.byID[one.Worker]; w.health.Ejected() {
		t.Error("ejected although its answers are in the same batch")
	}
	if got := actionsOf[Cancel](acts); len(got) > 0 {
		t.Errorf("canceled %v", got)
	}
}

// harnessAfterAnswers returns a harness with n workers and fault reporting enabled, after answers to 4n requests for
// different functions.
func harnessAfterAnswers(t *testing.T, n int, change ...func(*Settings)) *testHarness {
	t.Helper()
	harness := newHarness(t, settings(append(change, faultReporting)...), readyWorkers(n)...)
	for i := range 4 * n {
		s := harness.send(fmt.Sprintf("warm%d", i), fmt.Sprintf("f%d", i))
		harness.step(30*millisecond, attemptEnd(s, 0, Served))
	}
	return harness
}

// confirmedReports returns peer reports with the verdict Confirmed for each of these workers.
func confirmedReports(ids ...string) PeerReports {
	reports := PeerReports{Verdicts: map[string]PeerVerdict{}}
	for _, id := range ids {
		reports.Verdicts[id] = Confirmed
	}
	return reports
}

// Guards against requests to a worker that enough peers report: it is ejected and gets only probes, unless it has
// answered this scheduler recently. After it has answered a peer it is probed at once. Reports never eject all workers;
// TestKeepsWorkersThatAreNeeded covers the limit by capacity.
func TestEjectsOnConfirmedReports(t *testing.T) {
	harness := harnessAfterAnswers(t, 8)
	harness.step(0, confirmedReports("w3"))
	if harness.router.endpoints.byID["w3"].health.Ejected() {
		t.Error("ejected although it has just answered")
	}
	harness.wait(2 * time.Second)
	if acts := actionsOf[ReportFault](harness.step(0, confirmedReports("w3"))); len(acts) > 0 {
		t.Errorf("peer reports were forwarded as observations of this scheduler: %v", acts)
	}
	for i := range 40 {
		s := harness.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w3" && !harness.router.endpoints.byID["w3"].health.Probed() {
			t.Fatal("sent to an ejected worker")
		}
		harness.step(millisecond, attemptEnd(s, 0, Served))
	}
	if !harness.router.endpoints.byID["w3"].health.Ejected() {
		t.Error("not ejected although enough peers report it")
	}
	harness.step(0, PeerReports{Cleared: []string{"w3"}})
	if w := harness.router.endpoints.byID["w3"]; !w.health.Eligible(harness.router.now, 0) {
		t.Error("no immediate probe although it has answered a peer")
	}
	harness = harnessAfterAnswers(t, 8)
	harness.wait(2 * time.Second)
	harness.step(0, confirmedReports("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"))
	ejected := 0
	for _, w := range harness.router.endpoints.list {
		if w.health.Ejected() {
			ejected++
		}
	}
	if ejected == len(harness.router.endpoints.list) {
		t.Error("all workers are ejected on peer reports")
	}
}

// Guards against sending requests that must not be repeated to a worker that too few peers report to eject it. They are
// still sent if all workers are reported.
func TestSingleReportDivertsNonIdempotent(t *testing.T) {
	harness := harnessAfterAnswers(t, 4, nonIdempotent)
	harness.wait(2 * time.Second)
	harness.step(0, PeerReports{Verdicts: map[string]PeerVerdict{"w0": Reported}})
	for i := range 20 {
		s := harness.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w0" {
			t.Fatal("a request that must not be repeated was sent to a worker that a peer reports")
		}
		harness.step(millisecond, attemptEnd(s, 0, Served))
	}
	if harness.router.endpoints.byID["w0"].health.Ejected() {
		t.Error("ejected although too few peers report it")
	}
	harness.wait(2 * time.Second)
	allReported := map[string]PeerVerdict{"w0": Reported, "w1": Reported, "w2": Reported, "w3": Reported}
	harness.step(0, PeerReports{Verdicts: allReported})
	harness.send("last", "f0")
}

// Guards against missing fault reports: an unresponsive worker is reported with the time of the latest evidence, and
// its recovery is reported later. Without fault reporting there are no reports.
func TestReportsFaults(t *testing.T) {
	for _, reporting := range []bool{true, false} {
		harness := newHarness(t, settings(func(s *Settings) { s.FaultReporting = reporting }), readyWorkers(1)...)
		s := harness.send("a", "f")
		observed := actionsOf[ReportFault](harness.step(30*millisecond, attemptEnd(s, 0, Served)))
		var sentAt time.Duration
		for i := range 2 {
			harness.send(fmt.Sprintf("b%d", i), "f")
			sentAt = harness.now
		}
		observed = append(observed, actionsOf[ReportFault](harness.wait(time.Second))...)
		answeredAt := harness.now
		lateAnswer := attemptEnd(Send{ID: "b0", Worker: "w0"}, 0, Served)
		observed = append(observed, actionsOf[ReportFault](harness.step(0, lateAnswer))...)
		// Both attempts become overdue in the same sweep, so there is one report with the time of the later one.
		want := []ReportFault{{"w0", Unresponsive, sentAt}, {"w0", Healthy, answeredAt}}
		if !reporting {
			want = nil
		}
		if !reflect.DeepEqual(observed, want) {
			t.Errorf("fault reporting is %v: reported %v, want %v", reporting, observed, want)
		}
	}
}
