package pollplan_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/testbed"

	"pgregory.net/rapid"
)

// even is how many of 100 ms there are when each asks once in the 2 s of the protocol.
func even(n int) int { return n / 20 }

// Whatever 300 schedulers meet together, no tenth of a second sees more than twice the even spread of their asks over
// the time that the protocol allows: 2 s after a break; 1 s, for a drain, where the service is well.
func TestSpread(t *testing.T) {
	const n = 300
	for _, c := range []struct {
		name  string
		bound int
		do    func(*testbed.Asks)
	}{
		{"refused for 8 s", 2 * even(n), func(f *testbed.Asks) { f.Set(testbed.Refuse); f.Run(8 * time.Second); f.Set(testbed.Well) }},
		{"busy for 8 s", 2 * even(n), func(f *testbed.Asks) { f.Set(testbed.Busy); f.Run(8 * time.Second); f.Set(testbed.Well) }},
		// Answered all at once, they have to ask again within the second that a drain allows.
		{"silent for 8 s", 2 * n / 10, func(f *testbed.Asks) { f.Set(testbed.Silent); f.Run(8 * time.Second); f.Set(testbed.Well) }},
		{"broken", 2 * even(n), (*testbed.Asks).Break},
		{"broken twice", 2 * even(n), func(f *testbed.Asks) { f.Break(); f.Run(time.Second); f.Break() }},
	} {
		for seed := range uint64(5) {
			f := testbed.NewAsks(n, time.Second, seed, true)
			f.Run(10 * time.Second)
			if got := testbed.Peak(f.Polls, 0); got > 2*n/10 {
				t.Errorf("start, seed %d: %d asks within 100 ms", seed, got)
			}
			at := f.Now
			c.do(f)
			f.Run(30 * time.Second)
			if got := testbed.Peak(f.Polls, at); got > c.bound {
				t.Errorf("%s, seed %d: %d asks within 100 ms, even are %d", c.name, seed, got, even(n))
			}
			if got := testbed.Peak(f.Dials, at); got > 2*even(n) {
				t.Errorf("%s, seed %d: %d connections within 100 ms, even are %d", c.name, seed, got, even(n))
			}
		}
	}
}

// What a well service tells counts as told to all, also to those that have just started or are between two asks: each
// knows it in time to send nothing to a worker that drains later than the grace after, whatever that is.
func TestWellToldInTime(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 300 * time.Millisecond, 100 * time.Millisecond} {
		for seed := range uint64(5) {
			f := testbed.NewAsks(300, grace, seed, true)
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 20 {
				f.Tell()
				f.Run(grace * 8 / 10)
				for i, node := range f.Nodes {
					if node.Knows != f.Desk.Number {
						t.Fatalf("seed %d: scheduler %d does not know event %d after %v", seed, i, f.Desk.Number, grace*8/10)
					}
				}
				f.Run(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
		}
	}
}

// An event answers all polls at once. Those that come back for more are spread, and soon nobody is in step.
func TestNotInStepAfterNews(t *testing.T) {
	const n = 300
	f := testbed.NewAsks(n, time.Second, 1, true)
	f.Run(10 * time.Second)
	f.Tell()
	at := f.Now
	f.Run(10 * time.Second)
	if got := testbed.Peak(f.Polls, at); got > 2*n/10 {
		t.Errorf("%d of %d ask within 100 ms after an event", got, n)
	}
	if got := testbed.Peak(f.Polls, at+time.Second); got > 2*even(n) {
		t.Errorf("%d ask within 100 ms a second after an event, even are %d", got, even(n))
	}
}

// A service that answers a tenth of what the fleet asks in its 2 s lists all in 1.3 times the time that takes it at
// best, and nobody asks much oftener than the 7 s of the protocol demand.
func TestCrowded(t *testing.T) {
	const n = 300
	f := testbed.NewAsks(n, time.Second, 1, true)
	f.Set(testbed.Crowded)
	f.Desk.Rate = n / 20.
	f.Desk.Number = 2
	limit := 20 * time.Second
	began := f.Now
	f.Run(limit * 13 / 10)
	asked, needed := 0, 0
	for i, node := range f.Nodes {
		if node.Knows < 2 {
			t.Errorf("scheduler %d has no list after 1.3 times the least time", i)
		}
		for _, at := range node.Polls {
			if at < node.Told {
				asked++
			}
		}
		needed += 1 + int((node.Told-began)/(7*time.Second))
	}
	if asked*10 > needed*12 {
		t.Errorf("asked %d times until all were listed, the protocol's times need %d", asked, needed)
	}
}

// Alone before a well service a scheduler asks as soon as it can: at the start, after each answer, after a break.
func TestAlone(t *testing.T) {
	f := testbed.NewAsks(1, time.Second, 1, true)
	start := f.Now
	f.Run(time.Second)
	f.Tell()
	f.Run(time.Second)
	f.Break()
	f.Run(time.Second)
	var got []time.Duration
	for _, at := range f.Nodes[0].Polls {
		got = append(got, (at - start).Round(time.Millisecond))
	}
	for i, want := range []time.Duration{1, 1002, 2013} { // milliseconds: a dial takes 1, an answer too
		if want *= time.Millisecond; len(got) <= i || got[i] < want-2*time.Millisecond || got[i] > want+2*time.Millisecond {
			t.Fatalf("asks at %v, want the %d. at %v", got, i+1, want)
		}
	}
}

// A process that was stopped does not know what was told meanwhile. The list counts as old until the service has
// answered an ask made after that, unless one waits there still: what it told would be there to be read.
func TestStalled(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(*pollplan.Planner, time.Duration) time.Duration // when it goes on
		want bool                                                 // that it is blind
	}{
		{"while an ask waits", func(_ *pollplan.Planner, now time.Duration) time.Duration { return now + time.Second }, false},
		{"past the end of its wait", func(_ *pollplan.Planner, now time.Duration) time.Duration { return now + 9*time.Second }, true},
		{"between two asks", func(c *pollplan.Planner, now time.Duration) time.Duration {
			c.Step(now, pollplan.Answered{Conn: 1, HasUpdates: true})
			return now + 600*time.Millisecond
		}, true},
	} {
		now := time.Hour
		core := pollplan.New(300, time.Second, 1)
		core.Step(now, pollplan.Started{})
		core.Step(now, pollplan.Connected{Conn: 1})
		now = c.stop(core, now)
		got := core.Step(now, pollplan.Stalled{})
		if blind := len(got) > 0 && got[0] == (pollplan.MarkStale{Duration: 250 * time.Millisecond}); blind != c.want {
			t.Errorf("%s: %v, want blind %v", c.name, got, c.want)
		}
		if !c.want {
			continue
		}
		if asked := len(got) == 2 && got[1] == (pollplan.Poll{Conn: 1}); !asked {
			// The old ask is answered first, and the next is made at once, for an answer at once.
			if got = core.Step(now+1, pollplan.Answered{Conn: 1}); len(got) != 1 || got[0] != (pollplan.Poll{Conn: 1}) {
				t.Errorf("%s: on the answer to the old ask %v", c.name, got)
			}
		}
		if got = core.Step(now+2, pollplan.Answered{Conn: 1}); len(got) != 2 || got[0] != (pollplan.MarkStale{}) {
			t.Errorf("%s: on the answer %v", c.name, got)
		}
	}
}

// Who has no list asks before all others.
func TestUnlistedFirst(t *testing.T) {
	for _, n := range []int{1, 300} {
		c := pollplan.New(n, time.Second, 1)
		if got := c.Step(time.Hour, pollplan.Started{}); len(got) != 1 || got[0] != (pollplan.Dial{Conn: 1}) {
			t.Errorf("of %d: at its start it does %v", n, got)
		}
	}
}

// Over any order of troubles: the service's word is known 2 s after its return, at most two connections are held,
// asks are bounded, and events are neither missed nor come doubled.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "schedulers")
		f := testbed.NewAsks(n, time.Second, rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "listed"))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch do := rapid.SampledFrom([]string{"well", "refuse", "silent", "busy", "torn", "break", "tell", "run"}).Draw(t, "do"); do {
			case "break":
				f.Break()
			case "tell":
				f.Tell()
			case "run":
			default:
				f.Set(testbed.Mood(do))
			}
			f.Run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
			if f.Desk.Open() > 2*n {
				t.Fatalf("%d asks open of %d schedulers", f.Desk.Open(), n)
			}
		}
		// What it has to say after trouble is known 7 s later at the latest, and what it says when well at once.
		f.Set(testbed.Well)
		f.Run(7 * time.Second)
		f.Tell()
		f.Run(2 * time.Second)
		for i, node := range f.Nodes {
			if node.Knows != f.Desk.Number {
				t.Fatalf("scheduler %d knows event %d of %d", i, node.Knows, f.Desk.Number)
			}
			for k := range max(len(node.Polls)-60, 0) {
				if node.Polls[k+60]-node.Polls[k] < time.Second {
					t.Fatalf("scheduler %d asks 60 times a second", i)
				}
			}
		}
	})
}
