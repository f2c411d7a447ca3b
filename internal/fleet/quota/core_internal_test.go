package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Settings of the members that TestTotalNeverExceeded draws events for.
const (
	drawnLease        = 4 * time.Second
	longestDrawnHold  = 4 // seconds
	silenceUntilReset = 10 * time.Minute
)

// simulatedMember is a member whose units in use last for HoldTime by its own clock, also after it was killed.
type simulatedMember struct {
	*Core
	epoch   int64
	clock   time.Duration
	rate    float64 // of the clock, 1 for true time
	stopped bool
	inUse   []time.Duration // when each unit in use is free again, by its clock
}

// simulatedFleet holds members whose statements are delivered when a test draws it.
type simulatedFleet struct {
	tb       interface{ Fatal(args ...any) }
	total    int64
	drift    float64
	holdTime time.Duration
	members  []*simulatedMember
	sent     []StatementReceived
}

// start gives a member a new Core.
func (f *simulatedFleet) start(member *simulatedMember, index, fleetSize int) {
	core, err := New(Config{
		Self:          fmt.Sprint("n", index),
		Epoch:         member.epoch,
		FleetSize:     fleetSize,
		Budgets:       []Budget{{"b", f.total, f.holdTime}},
		LeaseDuration: drawnLease,
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

// pass lets true time go by, and units in use become free.
func (f *simulatedFleet) pass(duration time.Duration) {
	for _, member := range f.members {
		member.clock += time.Duration(float64(duration) * member.rate)
		if !member.stopped {
			f.step(member)
		}
		// A member that has more units in use than it may does not give them back sooner.
		for len(member.inUse) > 0 && member.inUse[0] <= member.clock {
			member.inUse = member.inUse[1:]
		}
	}
}

// use has the running members take all units that they demand and may use, and returns how many are in use at all members.
func (f *simulatedFleet) use() int64 {
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

// drawFleet draws the settings of a fleet and starts its members.
func drawFleet(rt *rapid.T) *simulatedFleet {
	fleetSize := rapid.IntRange(2, 7).Draw(rt, "members")
	fleet := &simulatedFleet{tb: rt}
	fleet.total = rapid.Int64Range(0, 60).Draw(rt, "total")
	fleet.drift = rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(rt, "drift")
	fleet.holdTime = time.Duration(rapid.IntRange(0, longestDrawnHold).Draw(rt, "hold time")) * time.Second
	for i := range fleetSize {
		member := &simulatedMember{epoch: 1, rate: 1 + fleet.drift*rapid.Float64Range(-1, 1).Draw(rt, "rate")}
		fleet.start(member, i, fleetSize)
		fleet.members = append(fleet.members, member)
		fleet.step(member)
	}
	fleet.pass(time.Minute)
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

// drawnEvents are the events that may be drawn, by name, and the check after each.
func (f *simulatedFleet) drawnEvents() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass": func(rt *rapid.T) {
			f.pass(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
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
			if inUse := f.use(); inUse > f.total {
				rt.Fatalf("%d of %d in use", inUse, f.total)
			}
		},
	}
}

// Whatever happens, no more than the total is in use, and members that receive nothing have their fixed quota back.
func TestTotalNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := drawFleet(rt)
		rt.Repeat(fleet.drawnEvents())
		for _, member := range fleet.members {
			member.stopped = false
			fleet.step(member, DemandChanged{"b", 0})
		}
		fleet.pass(silenceUntilReset)
		for _, member := range fleet.members {
			fixedQuota := fleet.total / int64(len(fleet.members))
			if got := member.accounts[0].usableUnits(&member.stepContext); got != fixedQuota {
				rt.Fatalf("%s may use %d units after %v of silence, want its fixed quota %d",
					member.config.Self, got, silenceUntilReset, fixedQuota)
			}
		}
	})
}

// instantFleet is four members whose statements arrive at once, in order.
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

// step steps a member and delivers its statements, those that answer them, and so on.
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

// borrowerDemand is what the first member of an instantFleet demands: it owns 10 units, and the others can lend 5 each.
const borrowerDemand = 22

// borrow has the first member of a fleet demand units that it has to borrow, lets 10 s go by, and returns the fewest units
// that the member could use at any moment.
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

// A member that lacks units borrows what others can spare, and renews the leases before they expire.
func TestLeasesCoverDemand(t *testing.T) {
	if minUsable := newInstantFleet(t).borrow(); minUsable < borrowerDemand {
		t.Errorf("%d units at some moment, %d are demanded and can be had", minUsable, borrowerDemand)
	}
}

// A member that lends more than it owns is reported, and what it lends is not used.
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

// The usable units are computed for each request.
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
			b.Fatal("a new start has usable units")
		}
	}
}
