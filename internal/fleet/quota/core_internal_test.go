package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Parameters of the members in TestTotalNeverExceeded.
const (
	testLeaseDuration = 4 * time.Second
	maxHoldSeconds    = 4
	silenceDuration   = 10 * time.Minute
)

// simulatedMember is a member that keeps each unit in use for HoldTime on its own clock, even after a restart.
type simulatedMember struct {
	*Core
	epoch   int64
	clock   time.Duration
	rate    float64 // clock rate; 1 is true time
	stopped bool
	inUse   []time.Duration // release time of each unit in use, on the member's clock
}

// simulatedFleet is a fleet in which the test delivers statements at random.
type simulatedFleet struct {
	tb       interface{ Fatal(args ...any) }
	total    int64
	drift    float64
	holdTime time.Duration
	members  []*simulatedMember
	sent     []StatementReceived
}

// start creates a new Core for a member.
func (f *simulatedFleet) start(member *simulatedMember, index, fleetSize int) {
	core, err := New(Config{
		Self:          fmt.Sprint("n", index),
		Epoch:         member.epoch,
		FleetSize:     fleetSize,
		Budgets:       []Budget{{"b", f.total, f.holdTime}},
		LeaseDuration: testLeaseDuration,
		MaxClockDrift: f.drift,
	})
	if err != nil {
		f.tb.Fatal(err)
	}
	member.Core = core
}

func (f *simulatedFleet) step(member *simulatedMember, events ...Event) {
	for _, action := range member.Step(member.clock, events) {
		if broadcast, ok := action.(Broadcast); ok {
			f.sent = append(f.sent, StatementReceived{member.config.Self, member.epoch, broadcast.Statement})
		}
	}
}

// advance advances true time and releases units whose hold time has ended.
func (f *simulatedFleet) advance(duration time.Duration) {
	for _, member := range f.members {
		member.clock += time.Duration(float64(duration) * member.rate)
		if !member.stopped {
			f.step(member)
		}
		// A member over its limit does not release units early.
		for len(member.inUse) > 0 && member.inUse[0] <= member.clock {
			member.inUse = member.inUse[1:]
		}
	}
}

// takeUnits makes running members take units up to their demand and limit. It returns the units in use at all members.
func (f *simulatedFleet) takeUnits() int64 {
	sum := 0
	for _, member := range f.members {
		if !member.stopped {
			f.step(member)
			account := member.accounts[0]
			for int64(len(member.inUse)) < min(account.usableUnits(&member.stepContext), account.demand) {
				member.inUse = append(member.inUse, member.clock+f.holdTime)
			}
		}
		sum += len(member.inUse)
	}
	return int64(sum)
}

// drawFleet returns a running fleet with random settings.
func drawFleet(rt *rapid.T) *simulatedFleet {
	fleetSize := rapid.IntRange(2, 7).Draw(rt, "members")
	fleet := &simulatedFleet{tb: rt}
	fleet.total = rapid.Int64Range(0, 60).Draw(rt, "total")
	fleet.drift = rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(rt, "drift")
	fleet.holdTime = time.Duration(rapid.IntRange(0, maxHoldSeconds).Draw(rt, "hold time")) * time.Second
	for i := range fleetSize {
		member := &simulatedMember{epoch: 1, rate: 1 + fleet.drift*rapid.Float64Range(-1, 1).Draw(rt, "rate")}
		fleet.start(member, i, fleetSize)
		fleet.members = append(fleet.members, member)
		fleet.step(member)
	}
	fleet.advance(time.Minute)
	return fleet
}

func (f *simulatedFleet) drawMember(rt *rapid.T) (int, *simulatedMember) {
	i := rapid.IntRange(0, len(f.members)-1).Draw(rt, "member")
	return i, f.members[i]
}

func (f *simulatedFleet) drawRunning(rt *rapid.T) *simulatedMember {
	_, member := f.drawMember(rt)
	if member.stopped {
		rt.Skip("stopped")
	}
	return member
}

// randomEvents returns the random events by name. The action without a name is the check after each event.
func (f *simulatedFleet) randomEvents() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass": func(rt *rapid.T) {
			f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
		},
		"demand": func(rt *rapid.T) {
			member := f.drawRunning(rt)
			demand := rapid.SampledFrom([]int64{0, f.total}).Draw(rt, "units")
			f.step(member, DemandChanged{"b", max(demand, int64(len(member.inUse)))})
		},
		"deliver": func(rt *rapid.T) {
			member := f.drawRunning(rt)
			if len(f.sent) == 0 {
				rt.Skip("no statement sent")
			}
			for _, statement := range f.sent[max(0, len(f.sent)-10):] {
				if rapid.Bool().Draw(rt, "arrives") {
					f.step(member, statement)
				}
			}
		},
		"stop": func(rt *rapid.T) {
			_, member := f.drawMember(rt)
			member.stopped = !member.stopped
		},
		"restart": func(rt *rapid.T) {
			i, member := f.drawMember(rt)
			member.epoch++
			member.stopped = false
			f.start(member, i, len(f.members))
			f.step(member)
		},
		"": func(rt *rapid.T) {
			if inUse := f.takeUnits(); inUse > f.total {
				rt.Fatalf("%d of %d in use", inUse, f.total)
			}
		},
	}
}

// The units in use must never exceed the total, for any random order of events. A member that has received no statement
// for long enough must be able to use exactly its fixed quota again.
func TestTotalNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := drawFleet(rt)
		rt.Repeat(fleet.randomEvents())
		for _, member := range fleet.members {
			member.stopped = false
			fleet.step(member, DemandChanged{"b", 0})
		}
		fleet.advance(silenceDuration)
		for _, member := range fleet.members {
			fixedQuota := fleet.total / int64(len(fleet.members))
			if got := member.accounts[0].usableUnits(&member.stepContext); got != fixedQuota {
				rt.Fatalf("%s may use %d units after %v of silence, want its fixed quota %d",
					member.config.Self, got, silenceDuration, fixedQuota)
			}
		}
	})
}

// instantFleet is a fleet of four members in which statements arrive immediately and in order.
type instantFleet struct {
	now   time.Duration
	cores []*Core
}

func newInstantFleet(t *testing.T) *instantFleet {
	t.Helper()
	fleet := &instantFleet{now: time.Minute}
	for i := range 4 {
		core, err := New(Config{
			Self:          fmt.Sprint("n", i),
			Epoch:         1,
			FleetSize:     4,
			Budgets:       []Budget{{"b", 40, 0}},
			LeaseDuration: 4 * time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		core.Step(0, nil)
		core.Step(fleet.now, nil)
		fleet.cores = append(fleet.cores, core)
	}
	return fleet
}

// step steps a member and delivers its statements and all statements sent in response.
func (f *instantFleet) step(core *Core, events ...Event) {
	type output struct {
		from    *Core
		actions []Action
	}
	queue := []output{{core, core.Step(f.now, events)}}
	for ; len(queue) > 0; queue = queue[1:] {
		sender := queue[0].from
		for _, action := range queue[0].actions {
			broadcast, ok := action.(Broadcast)
			if !ok {
				continue
			}
			received := StatementReceived{sender.config.Self, 1, broadcast.Statement}
			for _, other := range f.cores {
				if other != sender {
					queue = append(queue, output{other, other.Step(f.now, []Event{received})})
				}
			}
		}
	}
}

// borrowerDemand is the demand of the first member. It owns 10 units and can borrow 5 from each other member.
const borrowerDemand = 22

// borrow sets the demand of the first member above its quota, runs the fleet for 10 s, and returns the smallest number
// of units that the member could use during that time.
func (f *instantFleet) borrow() int64 {
	borrower := f.cores[0]
	f.step(borrower, DemandChanged{"b", borrowerDemand})
	minUsable := int64(40)
	for range 100 {
		f.now += 100 * time.Millisecond
		for _, core := range f.cores {
			f.step(core)
		}
		minUsable = min(minUsable, borrower.accounts[0].usableUnits(&borrower.stepContext))
	}
	return minUsable
}

// A member that lacks units must borrow the spare units of others, and renew the leases before they expire.
func TestLeasesCoverDemand(t *testing.T) {
	if minUsable := newInstantFleet(t).borrow(); minUsable < borrowerDemand {
		t.Errorf("usable units dropped to %d, want at least %d", minUsable, borrowerDemand)
	}
}

// A member that lends more than it owns must be reported, and its leases must not be used.
func TestOverlendingIsDetected(t *testing.T) {
	fleet := newInstantFleet(t)
	borrower := fleet.cores[0]
	fleet.borrow()
	for from, leases := range map[string][]int64{"n3": {30}, "n2": {math.MaxInt64, math.MaxInt64}, "n1": {1, math.MaxInt64}} {
		overlending := StatementReceived{From: from, Epoch: 1, Statement: Statement{FleetSize: 4}}
		for _, units := range leases {
			overlending.Leases = append(overlending.Leases, Lease{"b", "n0", 1, borrower.requests.latest, units})
		}
		before := borrower.accounts[0].usableUnits(&borrower.stepContext)
		actions := borrower.Step(fleet.now, []Event{overlending})
		after := borrower.accounts[0].usableUnits(&borrower.stepContext)
		if len(actions) == 0 || actions[0] != (OverlendingDetected{from}) || after > before {
			t.Errorf("actions %v for leases of %v, %d usable units after and %d before", actions, leases, after, before)
		}
	}
}

// BenchmarkUsable measures usableUnits, which runs on every request.
func BenchmarkUsable(b *testing.B) {
	core, err := New(Config{
		Self:          "n0",
		Epoch:         1,
		FleetSize:     300,
		Budgets:       []Budget{{"b", 3000, time.Second}},
		LeaseDuration: 4 * time.Second,
	})
	if err != nil {
		b.Fatal(err)
	}
	core.Step(time.Minute, nil)
	b.ReportAllocs()
	for b.Loop() {
		if core.accounts[0].usableUnits(&core.stepContext) != 0 {
			b.Fatal("a restarted member has usable units")
		}
	}
}
