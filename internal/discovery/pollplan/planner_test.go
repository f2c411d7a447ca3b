package pollplan_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"calicohill/internal/discovery/pollplan"
	"calicohill/internal/testbed/report"
	"calicohill/internal/testbed/standin"
	"calicohill/internal/testbed/virtual"

	"pgregory.net/rapid"
)

const (
	// fleetSize is the size of a large fleet.
	fleetSize = 300
	// evenPeak is how many polls there are within 100 ms when each scheduler of it polls once in the 2 s of the protocol.
	evenPeak = fleetSize / 20
)

// Whatever fault 300 schedulers meet together, no tenth of a second sees more than twice the even spread of their polls
// over the time that the protocol allows: 2 s after connections broke; 1 s, for a drain, where the service is healthy.
func TestPollsSpreadAfterFaults(t *testing.T) {
	for _, tt := range []struct {
		name  string
		bound int
		do    func(*virtual.PollSimulation)
	}{
		{"refused for 8 s", 2 * evenPeak, func(fleet *virtual.PollSimulation) {
			fleet.SetFault(standin.ListRefusing)
			fleet.Run(8 * time.Second)
			fleet.SetFault(standin.ListHealthy)
		}},
		{"busy for 8 s", 2 * evenPeak, func(fleet *virtual.PollSimulation) {
			fleet.SetFault(standin.ListOverloaded)
			fleet.Run(8 * time.Second)
			fleet.SetFault(standin.ListHealthy)
		}},
		// Answered all at once, they have to poll again within the second that a drain allows.
		{"silent for 8 s", 2 * fleetSize / 10, func(fleet *virtual.PollSimulation) {
			fleet.SetFault(standin.ListUnresponsive)
			fleet.Run(8 * time.Second)
			fleet.SetFault(standin.ListHealthy)
		}},
		{"broken", 2 * evenPeak, (*virtual.PollSimulation).BreakConnections},
		{"broken twice", 2 * evenPeak, func(fleet *virtual.PollSimulation) {
			fleet.BreakConnections()
			fleet.Run(time.Second)
			fleet.BreakConnections()
		}},
	} {
		for seed := range uint64(5) {
			fleet := virtual.NewPollSimulation(fleetSize, time.Second, seed, true)
			fleet.Run(10 * time.Second)
			if got := report.PeakPer100ms(fleet.Polls, 0); got > 2*fleetSize/10 {
				t.Errorf("start, seed %d: %d polls within 100 ms", seed, got)
			}
			at := fleet.Now
			tt.do(fleet)
			fleet.Run(30 * time.Second)
			if got := report.PeakPer100ms(fleet.Polls, at); got > tt.bound {
				t.Errorf("%s, seed %d: %d polls within 100 ms, even are %d", tt.name, seed, got, evenPeak)
			}
			if got := report.PeakPer100ms(fleet.Dials, at); got > 2*evenPeak {
				t.Errorf("%s, seed %d: %d connections within 100 ms, even are %d", tt.name, seed, got, evenPeak)
			}
		}
	}
}

// What a healthy service publishes counts as delivered to all, also to schedulers that have just started or are between two
// polls: each knows it in time to send nothing to a draining worker after the drain grace, however long that is.
func TestHealthyServiceUpdatesInTime(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 300 * time.Millisecond, 100 * time.Millisecond} {
		for seed := range uint64(5) {
			fleet := virtual.NewPollSimulation(300, grace, seed, true)
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 20 {
				fleet.Publish()
				fleet.Run(grace * 8 / 10)
				for i, node := range fleet.Schedulers {
					if node.LastEvent != fleet.Queue.LastEvent {
						t.Fatalf("seed %d: scheduler %d does not know event %d after %v", seed, i, fleet.Queue.LastEvent, grace*8/10)
					}
				}
				fleet.Run(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
		}
	}
}

// An event answers all polls at once. The polls after it are spread, and soon no schedulers are synchronized.
func TestNotSynchronizedAfterUpdate(t *testing.T) {
	fleet := virtual.NewPollSimulation(fleetSize, time.Second, 1, true)
	fleet.Run(10 * time.Second)
	fleet.Publish()
	at := fleet.Now
	fleet.Run(10 * time.Second)
	if got := report.PeakPer100ms(fleet.Polls, at); got > 2*fleetSize/10 {
		t.Errorf("%d of %d poll within 100 ms after an event", got, fleetSize)
	}
	if got := report.PeakPer100ms(fleet.Polls, at+time.Second); got > 2*evenPeak {
		t.Errorf("%d poll within 100 ms a second after an event, even are %d", got, evenPeak)
	}
}

// With a service that answers a tenth of what the fleet polls in its 2 s, all schedulers have the list after 1.3 times the
// least possible time, and all together make at most 1.2 times the polls that the protocol's 7 s require.
func TestRateLimitedService(t *testing.T) {
	fleet := virtual.NewPollSimulation(fleetSize, time.Second, 1, true)
	fleet.SetFault(standin.ListRateLimited)
	fleet.Queue.AnswersPerSecond = fleetSize / 20.
	fleet.Queue.LastEvent = 2
	limit := 20 * time.Second
	began := fleet.Now
	fleet.Run(limit * 13 / 10)
	polled, needed := 0, 0
	for i, node := range fleet.Schedulers {
		if node.LastEvent < 2 {
			t.Errorf("scheduler %d has no list after 1.3 times the least time", i)
		}
		for _, at := range node.Polls {
			if at < node.UpdatedAt {
				polled++
			}
		}
		needed += 1 + int((node.UpdatedAt-began)/(7*time.Second))
	}
	if polled*10 > needed*12 {
		t.Errorf("polled %d times until all were listed, the protocol's times need %d", polled, needed)
	}
}

// Alone before a healthy service a scheduler polls as soon as it can: at the start, after each response, after its
// connection broke.
func TestLoneSchedulerPollsAtOnce(t *testing.T) {
	fleet := virtual.NewPollSimulation(1, time.Second, 1, true)
	start := fleet.Now
	fleet.Run(time.Second)
	fleet.Publish()
	fleet.Run(time.Second)
	fleet.BreakConnections()
	fleet.Run(time.Second)
	var got []time.Duration
	for _, at := range fleet.Schedulers[0].Polls {
		got = append(got, (at - start).Round(time.Millisecond))
	}
	for i, want := range []time.Duration{1, 1002, 2013} { // milliseconds: a dial takes 1, an answer too
		if want *= time.Millisecond; len(got) <= i || got[i] < want-2*time.Millisecond || got[i] > want+2*time.Millisecond {
			t.Fatalf("polls at %v, want the %d. at %v", got, i+1, want)
		}
	}
}

// A process that was stopped does not know what was published meanwhile. The list counts as stale until the service has
// answered a poll made after that, unless one waits there still: its response would be there to be read.
func TestStaleAfterProcessStall(t *testing.T) {
	for _, tt := range []struct {
		name string
		stop func(*pollplan.Planner, time.Duration) time.Duration // returns when the process goes on
		want bool                                                 // that the list counts as stale
	}{
		{"while a poll waits", func(_ *pollplan.Planner, now time.Duration) time.Duration { return now + time.Second }, false},
		{"past the end of its wait", func(_ *pollplan.Planner, now time.Duration) time.Duration { return now + 9*time.Second }, true},
		{"between two polls", func(planner *pollplan.Planner, now time.Duration) time.Duration {
			planner.Step(now, pollplan.Answered{Conn: 1, HasUpdates: true})
			return now + 600*time.Millisecond
		}, true},
	} {
		now := time.Hour
		planner := pollplan.New(300, time.Second, 1)
		planner.Step(now, pollplan.Started{})
		planner.Step(now, pollplan.Connected{Conn: 1})
		now = tt.stop(planner, now)
		got := planner.Step(now, pollplan.Stalled{})
		if stale := len(got) > 0 && got[0] == (pollplan.MarkStale{Duration: 250 * time.Millisecond}); stale != tt.want {
			t.Errorf("%s: %v, want stale %v", tt.name, got, tt.want)
		}
		if !tt.want {
			continue
		}
		if polled := len(got) == 2 && got[1] == (pollplan.Poll{Conn: 1}); !polled {
			// The old poll is answered first, and the next is made at once, for an answer at once.
			if got = withoutConfirm(planner.Step(now+1, pollplan.Answered{Conn: 1})); len(got) != 1 || got[0] != (pollplan.Poll{Conn: 1}) {
				t.Errorf("%s: on the answer to the old poll %v", tt.name, got)
			}
		}
		if got = withoutConfirm(planner.Step(now+2, pollplan.Answered{Conn: 1})); len(got) != 2 || got[0] != (pollplan.MarkStale{}) {
			t.Errorf("%s: on the answer %v", tt.name, got)
		}
	}
}

// A scheduler without an endpoint list polls before all others.
func TestStartWithoutEndpointsPollsFirst(t *testing.T) {
	for _, schedulers := range []int{1, fleetSize} {
		planner := pollplan.New(schedulers, time.Second, 1)
		if got := planner.Step(time.Hour, pollplan.Started{}); len(got) != 1 || got[0] != (pollplan.Dial{Conn: 1}) {
			t.Errorf("of %d: at its start it does %v", schedulers, got)
		}
	}
}

// listFaults has faults of the list service by name.
var listFaults = map[string]standin.ListFault{
	"well":   standin.ListHealthy,
	"refuse": standin.ListRefusing,
	"silent": standin.ListUnresponsive,
	"busy":   standin.ListOverloaded,
	"torn":   standin.ListTruncating,
}

// Whatever the order of faults: once the service has been healthy again for 7 s, a new event reaches every scheduler within
// 2 s. After each step, the fleet has at most twice as many pending polls as schedulers, and no scheduler sends more than 60
// polls within a second.
func TestAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedulers := rapid.IntRange(1, 30).Draw(rt, "schedulers")
		fleet := virtual.NewPollSimulation(schedulers, time.Second, rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "listed"))
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch do := rapid.SampledFrom([]string{"well", "refuse", "silent", "busy", "torn", "break", "tell", "run"}).Draw(rt, "do"); do {
			case "break":
				fleet.BreakConnections()
			case "tell":
				fleet.Publish()
			case "run":
			default:
				fleet.SetFault(listFaults[do])
			}
			fleet.Run(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "ms")) * time.Millisecond)
			if fleet.Queue.Len() > 2*schedulers {
				rt.Fatalf("%d polls pending of %d schedulers", fleet.Queue.Len(), schedulers)
			}
		}
		// A poll lasts for 7 s at most, so none that a fault has delayed is left after this.
		fleet.SetFault(standin.ListHealthy)
		fleet.Run(7 * time.Second)
		fleet.Publish()
		fleet.Run(2 * time.Second)
		for i, node := range fleet.Schedulers {
			if node.LastEvent != fleet.Queue.LastEvent {
				rt.Fatalf("scheduler %d knows event %d of %d", i, node.LastEvent, fleet.Queue.LastEvent)
			}
			for k := range max(len(node.Polls)-60, 0) {
				if node.Polls[k+60]-node.Polls[k] < time.Second {
					rt.Fatalf("scheduler %d sends more than 60 polls within a second", i)
				}
			}
		}
	})
}
