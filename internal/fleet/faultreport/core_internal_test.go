package faultreport

import (
	"fmt"
	"testing"
	"time"

	"calicohill/routing"

	"pgregory.net/rapid"
)

const second = time.Second

// Byzantine members up to the tolerated number must not be able to get a worker ejected by colluding. One more can.
func TestByzantineLimit(t *testing.T) {
	for byzantine, want := range map[int]routing.PeerVerdict{1: routing.Reported, 3: routing.Reported, 4: routing.Confirmed} {
		fleet := newFleet(t, 12, byzantine, 20)
		for range 20 {
			for i := range byzantine {
				fleet.deliver(fleet.names[i], unresponsiveReport("w3"))
			}
			fleet.run(500 * time.Millisecond)
		}
		for n := range fleet.cores {
			if got := fleet.verdict(n, "w3"); got != want {
				t.Errorf("%d byzantine members: %s has verdict %v, want %v", byzantine, n, got, want)
			}
		}
	}
}

// A member that reports every worker as faulty is muted for muteDuration and then counts again.
func TestMassReporterIsMuted(t *testing.T) {
	fleet := newFleet(t, 12, 1, 10)
	var all []Report
	for _, w := range workerNames(10) {
		all = append(all, unresponsiveReport(w)[0])
	}
	fleet.deliver("n0", all)
	fleet.run(second)
	fleet.deliver("n0", unresponsiveReport("w1")) // ignored while n0 is muted
	for n := range fleet.cores {
		if len(fleet.verdicts[n]) > 0 {
			t.Errorf("%s has verdicts %v, want none", n, fleet.verdicts[n])
		}
	}
	if len(fleet.discredited) != 11 {
		t.Errorf("%d members announced n0 as discredited, want 11", len(fleet.discredited))
	}
	fleet.run(muteDuration)
	fleet.deliver("n0", unresponsiveReport("w1"))
	if got := fleet.verdict("n5", "w1"); got != routing.Reported {
		t.Errorf("verdict %v after muteDuration, want Reported", got)
	}
}

// A member whose reports are contradicted by responses loses its reputation only where the responses were received, and
// regains it over time.
func TestContradictedReports(t *testing.T) {
	fleet := newFleet(t, 4, 1, 10)
	for i := range 8 {
		w := fmt.Sprintf("w%d", i%2)
		fleet.step("n1", FaultObserved{w, routing.Healthy, fleet.now - second})
		fleet.deliver("n0", unresponsiveReport(w))
		fleet.run(500 * time.Millisecond)
	}
	fleet.deliver("n0", unresponsiveReport("w7"))
	if got := fleet.verdict("n1", "w7"); got != routing.NotReported {
		t.Errorf("verdict %v from a contradicted reporter, want NotReported", got)
	}
	if got := fleet.verdict("n2", "w7"); got != routing.Reported {
		t.Errorf("verdict %v at a member without contradicting responses, want Reported", got)
	}
	fleet.run(40 * second)
	fleet.deliver("n0", unresponsiveReport("w7"))
	if got := fleet.verdict("n1", "w7"); got != routing.Reported {
		t.Errorf("verdict %v after the reputation has recovered, want Reported", got)
	}
}

// A real outage observed by a quorum is Confirmed at all members, and the verdict is withdrawn when the outage ends.
func TestGenuineOutage(t *testing.T) {
	fleet := newFleet(t, 12, 0, 20)
	observe := func(fault routing.Fault, by ...string) {
		for _, name := range by {
			fleet.step(name, FaultObserved{"w4", fault, fleet.now})
		}
	}
	for range 6 {
		observe(routing.Unresponsive, "n1", "n5", "n8", "n9")
		fleet.run(second)
	}
	for name, verdicts := range fleet.verdicts {
		if name != "n1" && verdicts["w4"] != routing.Confirmed && fleet.cores[name].findings.byWorker["w4"] == nil {
			t.Errorf("%s has verdict %v, want Confirmed", name, verdicts["w4"])
		}
	}
	cleared := false
	for _, action := range fleet.cores["n2"].Step(fleet.now, []Event{StatementReceived{"n9", mustEncode(nil)}}) {
		if published, ok := action.(PublishVerdicts); ok {
			cleared = len(published.Cleared) == 1 && published.Cleared[0] == "w4"
		}
	}
	if !cleared {
		t.Error("withdrawing a report does not clear the worker at other members")
	}
	observe(routing.Healthy, "n1", "n5", "n8", "n9")
	fleet.run(second)
	for name, verdicts := range fleet.verdicts {
		if verdicts["w4"] != routing.NotReported {
			t.Errorf("%s still has verdict %v", name, verdicts["w4"])
		}
	}
}

// Reports on a worker that leaves the endpoint list are dropped, and all reports expire after Config.ReportTTL.
func TestReportsExpire(t *testing.T) {
	fleet := newFleet(t, 12, 4, 20)
	for i := range 4 {
		fleet.deliver(fleet.names[i], append(unresponsiveReport("w3"), unresponsiveReport("w4")...))
	}
	if fleet.verdict("n9", "w3") != routing.Confirmed {
		t.Fatal("no quorum")
	}
	fleet.step("n9", EndpointsChanged{workerNames(4)})
	fleet.run(100 * time.Millisecond)
	if fleet.verdict("n9", "w4") != routing.NotReported || fleet.verdict("n9", "w3") != routing.Confirmed {
		t.Errorf("verdicts after w4 left the list: %v", fleet.verdicts["n9"])
	}
	fleet.run(10 * second)
	if len(fleet.verdicts["n9"]) > 0 {
		t.Errorf("verdicts after the reports expired: %v", fleet.verdicts["n9"])
	}
}

// At most Config.MaxEjectedFraction of the listed workers are Confirmed even if a quorum reports more.
func TestMaxEjectedFraction(t *testing.T) {
	fleet := newFleet(t, 12, 6, 20)
	for range 10 {
		for i := range 6 {
			var some []Report
			for w := range 9 {
				some = append(some, unresponsiveReport(fmt.Sprintf("w%d", w))[0])
			}
			fleet.deliver(fleet.names[i], some)
		}
		fleet.run(second)
	}
	confirmed := 0
	for _, verdict := range fleet.verdicts["n8"] {
		if verdict == routing.Confirmed {
			confirmed++
		}
	}
	if confirmed != 5 {
		t.Errorf("%d of 20 workers are Confirmed, want 5", confirmed)
	}
}

// For any reports of up to f byzantine members, including different reports to different members: no healthy worker is
// Confirmed, the tables stay bounded, and an outage observed by f+1 honest members is Confirmed at a member that
// observed nothing itself.
func TestByzantineReportsConfirmNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := rapid.IntRange(4, 13).Draw(rt, "members")
		byzantine := rapid.IntRange(0, (members-1)/3).Draw(rt, "byzantine members")
		workers := rapid.IntRange(4, 30).Draw(rt, "workers")
		fleet := newFleet(rt, members, byzantine, workers)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			worker := fmt.Sprintf("w%d", rapid.IntRange(1, workers-1).Draw(rt, "worker")) // w0 is reserved for the real outage
			switch step := rapid.IntRange(0, 3).Draw(rt, "step"); {
			case step <= 1 && byzantine > 0:
				var falseReports []Report
				for i := range rapid.IntRange(0, MaxReports).Draw(rt, "reports") {
					first := rapid.Uint32().Draw(rt, "first")
					falseReports = append(falseReports, Report{
						Worker: fmt.Sprintf("w%d", 1+i), FirstSeenAgo: first, LastSeenAgo: rapid.Uint32Range(0, first).Draw(rt, "last"),
						Fault: routing.Fault(rapid.IntRange(1, 4).Draw(rt, "fault")),
					})
				}
				honest := fleet.names[rapid.IntRange(byzantine, members-1).Draw(rt, "to")]
				fleet.deliver(fleet.names[rapid.IntRange(0, byzantine-1).Draw(rt, "byzantine")], falseReports, honest)
			case step == 2:
				fleet.step(fleet.names[rapid.IntRange(byzantine, members-1).Draw(rt, "by")], FaultObserved{worker, routing.Healthy, fleet.now})
			default:
				fleet.run(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "wait")) * time.Millisecond)
			}
			for name, verdicts := range fleet.verdicts {
				for reported, verdict := range verdicts {
					if verdict == routing.Confirmed {
						rt.Fatalf("%s has %s Confirmed on the reports of %d byzantine members of %d", name, reported, byzantine, members)
					}
				}
				if core := fleet.cores[name]; len(core.reporters.byName) > members || len(core.findings.byWorker) > workers {
					rt.Fatalf("%s has %d reporters and %d findings", name, len(core.reporters.byName), len(core.findings.byWorker))
				}
			}
		}
		if workers < 8 {
			return // with few workers, those reported above may already use up MaxEjectedFraction
		}
		observers := fleet.cores[fleet.names[members-1]].Quorum()
		if observers > members-byzantine-1 {
			return
		}
		for range 4 {
			for _, name := range fleet.names[byzantine : byzantine+observers] {
				fleet.step(name, FaultObserved{"w0", routing.Unresponsive, fleet.now})
			}
			fleet.run(second)
		}
		if got := fleet.verdicts[fleet.names[members-1]]["w0"]; got != routing.Confirmed {
			rt.Fatalf("outage observed by %d members has verdict %v at another of %d members", observers, got, members)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(unresponsiveReport("w1")))
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := Decode(body)
		if err != nil {
			return
		}
		again, err := Encode(list)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("encoded statement is rejected: %v", err)
		}
		core := New(Config{MaxByzantine: -1, MaxEjectedFraction: 0.25, ReportTTL: second})
		core.Step(time.Hour, []Event{EndpointsChanged{workersOf(list)}, MembersChanged{[]string{"a"}}, StatementReceived{"a", body}})
	})
}

// Members that send different reports to different members must not get a worker Confirmed. They are muted once the
// equivocation is detected.
func TestEquivocation(t *testing.T) {
	fleet := newFleet(t, 12, 3, 20)
	for i := range 3 {
		fleet.deliver(fleet.names[i], unresponsiveReport("w3"), "n5")
		fleet.deliver(fleet.names[i], unresponsiveReport("w4"), "n6")
	}
	fleet.run(second)
	for _, n := range []string{"n5", "n6"} {
		for worker, verdict := range fleet.verdicts[n] {
			if verdict == routing.Confirmed {
				t.Errorf("%s has %s Confirmed", n, worker)
			}
		}
	}
	fleet.step("n5", EquivocationDetected{"n0"}, EquivocationDetected{"n1"}, EquivocationDetected{"n2"})
	if len(fleet.verdicts["n5"]) > 0 || len(fleet.discredited) != 3 {
		t.Errorf("verdicts %v and discredited members %v, want none and 3", fleet.verdicts["n5"], fleet.discredited)
	}
}
