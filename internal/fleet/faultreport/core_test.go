package faultreport

import (
	"fmt"
	"testing"
	"time"

	"calicohill/routing"

	"pgregory.net/rapid"
)

const second = time.Second

// fataler is a test, or one run of a property.
type fatalReporter interface{ Fatal(args ...any) }

// fleet is the cores of honest schedulers among liars, with statements passed at once.
type testFleet struct {
	tb          fatalReporter
	now         time.Duration
	names       []string
	cores       map[string]*Core // of the honest
	verdicts    map[string]map[string]routing.PeerVerdict
	discredited []string // who was discredited, by whom
}

func newFleet(t fatalReporter, members, liars, workers int, change ...func(*Config)) *testFleet {
	f := &testFleet{tb: t, now: time.Hour, cores: map[string]*Core{}, verdicts: map[string]map[string]routing.PeerVerdict{}}
	cfg := Config{Liars: -1, LeaveOut: 0.25, ForgetAfter: 10 * second}
	for _, c := range change {
		c(&cfg)
	}
	for i := range members {
		f.names = append(f.names, fmt.Sprintf("n%d", i))
	}
	for i, n := range f.names {
		if i < liars {
			continue // the first lie
		}
		c := New(cfg)
		f.cores[n] = c
		var others []string
		for _, o := range f.names {
			if o != n {
				others = append(others, o)
			}
		}
		f.step(n, EndpointsChanged{workerNames(workers)}, Members{others})
	}
	return f
}

func workerNames(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("w%d", i))
	}
	return all
}

func (f *testFleet) step(n string, events ...Event) {
	c := f.cores[n]
	for _, a := range c.Step(f.now, events) {
		switch a := a.(type) {
		case Say:
			f.deliver(n, a.Accusations)
		case Hold:
			f.verdicts[n] = a.Verdicts
		case Discredited:
			f.discredited = append(f.discredited, n+" "+a.From)
		}
	}
}

// say passes a statement on to all others that are honest.
func (f *testFleet) deliver(from string, list []Accusation, only ...string) {
	body, err := Encode(list)
	if err != nil {
		f.tb.Fatal(err)
	}
	for _, n := range f.names {
		if f.cores[n] != nil && n != from && (len(only) == 0 || n == only[0]) {
			f.step(n, Heard{from, body})
		}
	}
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		for _, n := range f.names {
			if f.cores[n] != nil {
				f.step(n)
			}
		}
	}
}

func (f *testFleet) verdict(n, w string) routing.PeerVerdict { return f.verdicts[n][w] }

func unresponsiveReport(w string) []Accusation {
	return []Accusation{{Worker: w, Trouble: routing.Unresponsive, First: 2000, Last: 0, Attempts: 9}}
}

// Colluding liars up to the told number leave nobody out; one more than that does, which is what the number means.
func TestLiarsAndOneMore(t *testing.T) {
	for liars, want := range map[int]routing.PeerVerdict{1: routing.Reported, 3: routing.Reported, 4: routing.Confirmed} {
		f := newFleet(t, 12, liars, 20)
		for range 20 {
			for i := range liars {
				f.deliver(f.names[i], unresponsiveReport("w3"))
			}
			f.run(500 * time.Millisecond)
		}
		for n := range f.cores {
			if got := f.verdict(n, "w3"); got != want {
				t.Errorf("%d liars: %s holds %v, want %v", liars, n, got, want)
			}
		}
	}
}

// One that accuses every worker is not heard for a while.
func TestMassAccuser(t *testing.T) {
	f := newFleet(t, 12, 1, 10)
	var all []Accusation
	for _, w := range workerNames(10) {
		all = append(all, unresponsiveReport(w)[0])
	}
	f.deliver("n0", all)
	f.run(second)
	f.deliver("n0", unresponsiveReport("w1")) // nor anything else that it says meanwhile
	for n := range f.cores {
		if len(f.verdicts[n]) > 0 {
			t.Errorf("%s holds %v", n, f.verdicts[n])
		}
	}
	if len(f.discredited) != 11 {
		t.Errorf("%d instances said that it is not heard, want 11", len(f.discredited))
	}
	f.run(muteDuration)
	f.deliver("n0", unresponsiveReport("w1"))
	if got := f.verdict("n5", "w1"); got != routing.Reported {
		t.Errorf("after a while it is heard again: %v", got)
	}
}

// Answers here belie who says that a worker is silent; its credit comes back slowly.
func TestBelied(t *testing.T) {
	f := newFleet(t, 4, 1, 10)
	for i := range 8 {
		w := fmt.Sprintf("w%d", i%2)
		f.step("n1", FaultObserved{w, routing.Healthy, f.now - second})
		f.deliver("n0", unresponsiveReport(w))
		f.run(500 * time.Millisecond)
	}
	f.deliver("n0", unresponsiveReport("w7"))
	if got := f.verdict("n1", "w7"); got != routing.NotReported {
		t.Errorf("one that was belied is heard: %v", got)
	}
	if got := f.verdict("n2", "w7"); got != routing.Reported {
		t.Errorf("one that nobody belied is not heard: %v", got)
	}
	f.run(40 * second)
	f.deliver("n0", unresponsiveReport("w7"))
	if got := f.verdict("n1", "w7"); got != routing.Reported {
		t.Errorf("its credit does not come back: %v", got)
	}
}

// A true silence, seen by one more than may lie, is believed by all, and gone from all once it is over.
func TestTrueSilence(t *testing.T) {
	f := newFleet(t, 12, 0, 20)
	see := func(w string, tr routing.Fault, by ...string) {
		for _, n := range by {
			f.step(n, FaultObserved{w, tr, f.now})
		}
	}
	for range 6 {
		see("w4", routing.Unresponsive, "n1", "n5", "n8", "n9")
		f.run(second)
	}
	for n, words := range f.verdicts {
		if n != "n1" && words["w4"] != routing.Confirmed && f.cores[n].findings["w4"] == nil {
			t.Errorf("%s holds %v", n, words["w4"])
		}
	}
	vouched := false
	for _, a := range f.cores["n2"].Step(f.now, []Event{Heard{"n9", mustEncode(nil)}}) {
		if h, ok := a.(Hold); ok {
			vouched = len(h.Cleared) == 1 && h.Cleared[0] == "w4"
		}
	}
	if !vouched {
		t.Error("an answer to one of them does not have others try")
	}
	see("w4", routing.Healthy, "n1", "n5", "n8", "n9")
	f.run(second)
	for n, words := range f.verdicts {
		if words["w4"] != routing.NotReported {
			t.Errorf("%s still holds %v", n, words["w4"])
		}
	}
}

func mustEncode(list []Accusation) []byte {
	b, err := Encode(list)
	if err != nil {
		panic(err)
	}
	return b
}

// A worker that drains or is deleted while accused is forgotten, and nothing that was heard outlives its time.
func TestExpires(t *testing.T) {
	f := newFleet(t, 12, 4, 20)
	for i := range 4 {
		f.deliver(f.names[i], append(unresponsiveReport("w3"), unresponsiveReport("w4")...))
	}
	if f.verdict("n9", "w3") != routing.Confirmed {
		t.Fatal("not believed")
	}
	f.step("n9", EndpointsChanged{workerNames(4)})
	f.run(100 * time.Millisecond)
	if f.verdict("n9", "w4") != routing.NotReported || f.verdict("n9", "w3") != routing.Confirmed {
		t.Errorf("after w4 has gone: %v", f.verdicts["n9"])
	}
	f.run(10 * second)
	if len(f.verdicts["n9"]) > 0 {
		t.Errorf("after its time: %v", f.verdicts["n9"])
	}
}

// No share of the list over the told one is left out, whoever says what.
func TestShare(t *testing.T) {
	f := newFleet(t, 12, 6, 20)
	for range 10 {
		for i := range 6 {
			var some []Accusation
			for w := range 9 {
				some = append(some, unresponsiveReport(fmt.Sprintf("w%d", w))[0])
			}
			f.deliver(f.names[i], some)
		}
		f.run(second)
	}
	out := 0
	for _, w := range f.verdicts["n8"] {
		if w == routing.Confirmed {
			out++
		}
	}
	if out != 5 {
		t.Errorf("%d of 20 workers are believed ill, want 5", out)
	}
}

// Whatever up to f liars say, to each what they like: no worker that is well is believed ill, no more is held than
// is bounded, and a silence that f+1 honest members see is believed by those who see no answer themselves.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 13).Draw(t, "members")
		liars := rapid.IntRange(0, (n-1)/3).Draw(t, "liars")
		workers := rapid.IntRange(4, 30).Draw(t, "workers")
		f := newFleet(t, n, liars, workers)
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			w := fmt.Sprintf("w%d", rapid.IntRange(1, workers-1).Draw(t, "worker")) // w0 is left for the true silence
			switch move := rapid.IntRange(0, 3).Draw(t, "move"); {
			case move <= 1 && liars > 0:
				var lies []Accusation
				for i := range rapid.IntRange(0, MaxAccusations).Draw(t, "lies") {
					first := rapid.Uint32().Draw(t, "first")
					lies = append(lies, Accusation{
						Worker: fmt.Sprintf("w%d", 1+i), First: first, Last: rapid.Uint32Range(0, first).Draw(t, "last"),
						Trouble: routing.Fault(rapid.IntRange(1, 4).Draw(t, "trouble")),
					})
				}
				honest := f.names[rapid.IntRange(liars, n-1).Draw(t, "to")]
				f.deliver(f.names[rapid.IntRange(0, liars-1).Draw(t, "liar")], lies, honest)
			case move == 2:
				f.step(f.names[rapid.IntRange(liars, n-1).Draw(t, "by")], FaultObserved{w, routing.Healthy, f.now})
			default:
				f.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "wait")) * time.Millisecond)
			}
			for name, words := range f.verdicts {
				for w, word := range words {
					if word == routing.Confirmed {
						t.Fatalf("%s believes that %s is ill on the word of %d liars of %d", name, w, liars, n)
					}
				}
				if c := f.cores[name]; len(c.reporters) > n || len(c.findings) > workers {
					t.Fatalf("%s holds %d accusers and %d findings", name, len(c.reporters), len(c.findings))
				}
			}
		}
		if workers < 8 {
			return // a quarter of so few may be no worker at all once others take it
		}
		seers := f.cores[f.names[n-1]].Need()
		if seers > n-liars-1 {
			return
		}
		for range 4 {
			for _, name := range f.names[liars : liars+seers] {
				f.step(name, FaultObserved{"w0", routing.Unresponsive, f.now})
			}
			f.run(second)
		}
		if got := f.verdicts[f.names[n-1]]["w0"]; got != routing.Confirmed {
			t.Fatalf("a silence that %d see is held as %v by another of %d", seers, got, n)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(unresponsiveReport("w1")))
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(list)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("what was written can't be read: %v", err)
		}
		c := New(Config{Liars: -1, LeaveOut: 0.25, ForgetAfter: second})
		c.Step(time.Hour, []Event{EndpointsChanged{workersOf(list)}, Members{[]string{"a"}}, Heard{"a", b}})
	})
}

func workersOf(l []Accusation) (names []string) {
	for _, a := range l {
		names = append(names, a.Worker)
	}
	return names
}

// Different words to different peers gain nothing, and whoever is caught at it is not heard for a while.
func TestEquivocation(t *testing.T) {
	f := newFleet(t, 12, 3, 20)
	for i := range 3 {
		f.deliver(f.names[i], unresponsiveReport("w3"), "n5")
		f.deliver(f.names[i], unresponsiveReport("w4"), "n6")
	}
	f.run(second)
	for _, n := range []string{"n5", "n6"} {
		for w, word := range f.verdicts[n] {
			if word == routing.Confirmed {
				t.Errorf("%s believes that %s is ill", n, w)
			}
		}
	}
	f.step("n5", Lied{"n0"}, Lied{"n1"}, Lied{"n2"})
	if len(f.verdicts["n5"]) > 0 || len(f.discredited) != 3 {
		t.Errorf("%v is still held, %v said", f.verdicts["n5"], f.discredited)
	}
}
