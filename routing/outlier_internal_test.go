package routing

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// A worker that takes requests and answers none is ejected: requests go elsewhere until it answers one.
func TestEjectsUnresponsiveWorker(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(2)...)
	s := harness.send("a", "f")
	harness.step(50*millisecond, attemptEnd(s, 0, Served))
	harness.send("b", "f")
	harness.send("c", "f")
	harness.wait(1500 * millisecond)
	if w := harness.router.endpoints.byID[s.Worker]; !w.health.Ejected() {
		t.Fatal("two overdue requests and no answer: not ejected")
	}
	if d := harness.send("d", "f"); d.Worker == s.Worker {
		t.Error("an ejected worker got another request")
	}
	harness.step(millisecond, attemptEnd(Send{ID: "b", Worker: s.Worker}, 0, Served))
	if harness.router.endpoints.byID[s.Worker].health.Ejected() {
		t.Error("still ejected after an answer")
	}
}

// A single overdue attempt may be an expensive request.
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

// A failed connection attempt ejects a worker and voids its warm instances, unless the worker has answered on another
// connection since the attempt was sent.
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
			t.Errorf("answered meanwhile %v: ejected %v, incarnation %d", answered, w.health.Ejected(), w.incarnation)
		}
	}
}

// After a stall of the scheduler the timer may come before answers in the same batch: their worker is not ejected.
func TestStallDoesNotEject(t *testing.T) {
	harness := newHarness(t, settings(), readyWorkers(1)...)
	one, two := harness.send("one", "f"), harness.send("two", "f")
	acts := harness.step(2*time.Second, TimerFired{tickToken}, attemptEnd(one, 0, Served), attemptEnd(two, 0, Served))
	if w := harness.router.endpoints.byID[one.Worker]; w.health.Ejected() {
		t.Error("ejected though its answers came in the same batch")
	}
	if got := actionsOf[Cancel](acts); len(got) > 0 {
		t.Errorf("canceled %v", got)
	}
}

// harnessAfterAnswers returns a harness with n workers: fault reporting is on, and 4n requests for different functions
// have just been answered.
func harnessAfterAnswers(t *testing.T, n int, change ...func(*Settings)) *testHarness {
	t.Helper()
	harness := newHarness(t, settings(append(change, faultReporting)...), readyWorkers(n)...)
	for i := range 4 * n {
		s := harness.send(fmt.Sprintf("warm%d", i), fmt.Sprintf("f%d", i))
		harness.step(30*millisecond, attemptEnd(s, 0, Served))
	}
	return harness
}

// confirmedReports returns reports by which enough peers find each of these workers unhealthy.
func confirmedReports(ids ...string) PeerReports {
	reports := PeerReports{Verdicts: map[string]PeerVerdict{}}
	for _, id := range ids {
		reports.Verdicts[id] = Confirmed
	}
	return reports
}

// A worker that enough peers report is ejected, and gets nothing but probes, unless its own answers are recent. Its
// answer to a peer has it probed at once. Reports never eject all workers; TestKeepsWorkersThatAreNeeded has the bound
// by capacity.
func TestEjectsOnConfirmedReports(t *testing.T) {
	harness := harnessAfterAnswers(t, 8)
	harness.step(0, confirmedReports("w3"))
	if harness.router.endpoints.byID["w3"].health.Ejected() {
		t.Error("ejected though it has just answered")
	}
	harness.wait(2 * time.Second)
	if acts := actionsOf[ReportFault](harness.step(0, confirmedReports("w3"))); len(acts) > 0 {
		t.Errorf("reports of peers were passed on as observations of this scheduler: %v", acts)
	}
	for i := range 40 {
		s := harness.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w3" && !harness.router.endpoints.byID["w3"].health.Probed() {
			t.Fatal("sent to an ejected worker")
		}
		harness.step(millisecond, attemptEnd(s, 0, Served))
	}
	if !harness.router.endpoints.byID["w3"].health.Ejected() {
		t.Error("not ejected though enough peers report it")
	}
	harness.step(0, PeerReports{Cleared: []string{"w3"}})
	if w := harness.router.endpoints.byID["w3"]; !w.health.Eligible(harness.router.now, 0) {
		t.Error("not to be probed at once, though a peer has had an answer")
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
		t.Error("all workers are ejected on reports of peers")
	}
}

// A worker that some peers report, too few to eject it, gets no requests that must not be repeated, unless all workers
// are reported.
func TestSingleReportDivertsNonIdempotent(t *testing.T) {
	harness := harnessAfterAnswers(t, 4, nonIdempotent)
	harness.wait(2 * time.Second)
	harness.step(0, PeerReports{Verdicts: map[string]PeerVerdict{"w0": Reported}})
	for i := range 20 {
		s := harness.send(fmt.Sprintf("a%d", i), fmt.Sprintf("g%d", i))
		if s.Worker == "w0" {
			t.Fatal("a request that must not be repeated went to a worker that peers report")
		}
		harness.step(millisecond, attemptEnd(s, 0, Served))
	}
	if harness.router.endpoints.byID["w0"].health.Ejected() {
		t.Error("ejected though too few peers report it")
	}
	harness.wait(2 * time.Second)
	allReported := map[string]PeerVerdict{"w0": Reported, "w1": Reported, "w2": Reported, "w3": Reported}
	harness.step(0, PeerReports{Verdicts: allReported})
	harness.send("last", "f0")
}

// An unresponsive worker is reported with the time of the newest evidence, and later its recovery. Where nobody reads
// the reports, there are none.
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
		// Both attempts are overdue in the same sweep, so there is one report with the time of the newer.
		want := []ReportFault{{"w0", Unresponsive, sentAt}, {"w0", Healthy, answeredAt}}
		if !reporting {
			want = nil
		}
		if !reflect.DeepEqual(observed, want) {
			t.Errorf("fault reporting %v: reported %v, want %v", reporting, observed, want)
		}
	}
}
