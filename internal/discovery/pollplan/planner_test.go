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
	// fleetSize is the number of schedulers in a large fleet.
	fleetSize = 300
	// evenPer100ms is the number of polls within 100 ms if each scheduler polls once in 2 s and the polls are evenly
	// spread.
	evenPer100ms = fleetSize / 20
)

// TestPollsSpreadAfterFaults guards against a thundering herd of polls or connections after a fault that hits all 300
// schedulers at once. Within any 100 ms, the fleet may send at most twice the polls of an even distribution over the
// time that the protocol allows: 2 s after broken connections, and 1 s, for a drain, while the service is healthy.
func TestPollsSpreadAfterFaults(t *testing.T) {
	for _, tt := range []struct {
		name  string
		bound int
		do    func(*virtual.PollSimulation)
	}{
		{"refused for 8 s", 2 * evenPer100ms, func(fleet *virtual.PollSimulation) {
			fleet.SetFault(standin.ListRefusing)
			fleet.Run(8 * time.Second)
			fleet.SetFault(standin.ListHealthy)
		}},
		{"busy for 8 s", 2 * evenPer100ms, func(fleet *virtual.PollSimulation) {
			fleet.SetFault(standin.ListOverloaded)
			fleet.Run(8 * time.Second)
			fleet.SetFault(standin.ListHealthy)
		}},
		// The service answers all polls at once, so the schedulers must poll again within the drain grace of 1 s.
		{"silent for 8 s", 2 * fleetSize / 10, func(fleet *virtual.PollSimulation) {
			fleet.SetFault(standin.ListUnresponsive)
			fleet.Run(8 * time.Second)
			fleet.SetFault(standin.ListHealthy)
		}},
		{"broken", 2 * evenPer100ms, (*virtual.PollSimulation).BreakConnections},
		{"broken twice", 2 * evenPer100ms, func(fleet *virtual.PollSimulation) {
			fleet.BreakConnections()
			fleet.Run(time.Second)
			fleet.BreakConnections()
		}},
	} {
		for seed := range uint64(5) {
			fleet := virtual.NewPollSimulation(fleetSize, time.Second, seed, true)
			fleet.Run(10 * time.Second)
			if got := report.PeakPer100ms(fleet.Polls, 0); got > 2*fleetSize/10 {
				t.Errorf("startup, seed %d: %d polls within 100 ms", seed, got)
			}
			at := fleet.Now
			tt.do(fleet)
			fleet.Run(30 * time.Second)
			if got := report.PeakPer100ms(fleet.Polls, at); got > tt.bound {
				t.Errorf("%s, seed %d: %d polls within 100 ms, evenly spread %d", tt.name, seed, got, evenPer100ms)
			}
			if got := report.PeakPer100ms(fleet.Dials, at); got > 2*evenPer100ms {
				t.Errorf("%s, seed %d: %d connections within 100 ms, evenly spread %d", tt.name, seed, got, evenPer100ms)
			}
		}
	}
}

// TestHealthyServiceUpdatesInTime guards against schedulers that learn of a drain too late while the service is
// healthy. An update counts as delivered even to schedulers that have just started or are between two polls, so every
// scheduler must receive it within the drain grace.
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
						t.Fatalf("seed %d: scheduler %d has not received event %d after %v", seed, i, fleet.Queue.LastEvent, grace*8/10)
					}
				}
				fleet.Run(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
		}
	}
}

// TestNotSynchronizedAfterUpdate guards against schedulers that poll in lockstep after an event, which answers all
// polls at once.
func TestNotSynchronizedAfterUpdate(t *testing.T) {
	fleet := virtual.NewPollSimulation(fleetSize, time.Second, 1, true)
	fleet.Run(10 * time.Second)
	fleet.Publish()
	at := fleet.Now
	fleet.Run(10 * time.Second)
	if got := report.PeakPer100ms(fleet.Polls, at); got > 2*fleetSize/10 {
		t.Errorf("%d of %d schedulers poll within 100 ms after an event", got, fleetSize)
	}
	if got := report.PeakPer100ms(fleet.Polls, at+time.Second); got > 2*evenPer100ms {
		t.Errorf("%d schedulers poll within 100 ms a second after an event, evenly spread %d", got, evenPer100ms)
	}
}

// TestRateLimitedService guards against retries that delay the fleet's first list or add load to a service with too
// little capacity. The service answers a tenth of the polls that the fleet sends with a period of 2 s. All schedulers
// must have the list within 1.3 times the minimum time, with at most 1.2 times the polls that the protocol's timeout of
// 7 s requires.
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
			t.Errorf("scheduler %d has no list after 1.3 times the minimum time", i)
		}
		for _, at := range node.Polls {
			if at < node.UpdatedAt {
				polled++
			}
		}
		needed += 1 + int((node.UpdatedAt-began)/(7*time.Second))
	}
	if polled*10 > needed*12 {
		t.Errorf("sent %d polls until all schedulers had the list, the protocol requires %d", polled, needed)
	}
}

// TestSingleSchedulerPollsImmediately guards against needless delays of a single scheduler with a healthy service. It
// must poll immediately at startup, after each response and after a broken connection.
func TestSingleSchedulerPollsImmediately(t *testing.T) {
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
	for i, want := range []time.Duration{1, 1002, 2013} { // in milliseconds; a dial and a response take 1 ms each
		if want *= time.Millisecond; len(got) <= i || got[i] < want-2*time.Millisecond || got[i] > want+2*time.Millisecond {
			t.Fatalf("polls at %v, want poll %d at %v", got, i+1, want)
		}
	}
}

// TestStaleAfterProcessStall guards against a scheduler that uses an outdated list after its process was stopped. The
// list counts as stale until the service answers a poll sent after the stall. The exception is a poll whose timeout has
// not passed: an update published during the stall would have answered it.
func TestStaleAfterProcessStall(t *testing.T) {
	for _, tt := range []struct {
		name string
		stop func(*pollplan.Planner, time.Duration) time.Duration // returns when the process resumes
		want bool                                                 // the list counts as stale
	}{
		{"while a poll waits", func(_ *pollplan.Planner, now time.Duration) time.Duration { return now + time.Second }, false},
		{"past the timeout of a poll", func(_ *pollplan.Planner, now time.Duration) time.Duration { return now + 9*time.Second }, true},
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
			// The old poll is answered first. The next poll is sent immediately, with timeout 0.
			if got = withoutConfirm(planner.Step(now+1, pollplan.Answered{Conn: 1})); len(got) != 1 || got[0] != (pollplan.Poll{Conn: 1}) {
				t.Errorf("%s: actions after the response to the old poll: %v", tt.name, got)
			}
		}
		if got = withoutConfirm(planner.Step(now+2, pollplan.Answered{Conn: 1})); len(got) != 2 || got[0] != (pollplan.MarkStale{}) {
			t.Errorf("%s: actions after the response: %v", tt.name, got)
		}
	}
}

// TestStartWithoutEndpointsPollsFirst guards against a startup delay of a scheduler without an endpoint list, which
// cannot serve requests yet.
func TestStartWithoutEndpointsPollsFirst(t *testing.T) {
	for _, schedulers := range []int{1, fleetSize} {
		planner := pollplan.New(schedulers, time.Second, 1)
		if got := planner.Step(time.Hour, pollplan.Started{}); len(got) != 1 || got[0] != (pollplan.Dial{Conn: 1}) {
			t.Errorf("fleet of %d: actions at startup: %v, want one Dial", schedulers, got)
		}
	}
}

// listFaults maps names to faults of the list service.
var listFaults = map[string]standin.ListFault{
	"well":   standin.ListHealthy,
	"refuse": standin.ListRefusing,
	"silent": standin.ListUnresponsive,
	"busy":   standin.ListOverloaded,
	"torn":   standin.ListTruncating,
}

// TestRecoveryAfterRandomFaults guards against schedulers that do not recover, or that flood the service, after an
// arbitrary sequence of faults. Once the service has been healthy for 7 s, a new event must reach every scheduler
// within 2 s. After each step, the fleet may have at most twice as many pending polls as schedulers. No scheduler may
// send more than 60 polls within a second.
func TestRecoveryAfterRandomFaults(t *testing.T) {
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
				rt.Fatalf("%d pending polls of %d schedulers", fleet.Queue.Len(), schedulers)
			}
		}
		// A poll lasts at most 7 s, so after this no poll delayed by a fault is left.
		fleet.SetFault(standin.ListHealthy)
		fleet.Run(7 * time.Second)
		fleet.Publish()
		fleet.Run(2 * time.Second)
		for i, node := range fleet.Schedulers {
			if node.LastEvent != fleet.Queue.LastEvent {
				rt.Fatalf("scheduler %d has received event %d of %d", i, node.LastEvent, fleet.Queue.LastEvent)
			}
			for k := range max(len(node.Polls)-60, 0) {
				if node.Polls[k+60]-node.Polls[k] < time.Second {
					rt.Fatalf("scheduler %d sends more than 60 polls within a second", i)
				}
			}
		}
	})
}
