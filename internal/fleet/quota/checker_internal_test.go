package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// Parameters of the fleet that the checker explores.
const (
	checkedMembers  = 3
	totalUnits      = 6
	demandedUnits   = 4 // demand of a member that has any demand
	checkedDrift    = 1.0 / 3
	checkedDuration = 6 * time.Second // lease duration
)

// Clock rates: the time by which a clock advances per tick of true time. slow and fast are the limits of checkedDrift.
const (
	slow  = 2 * time.Second
	exact = 3 * time.Second
	fast  = 4 * time.Second
)

var clockRateSets = [][]time.Duration{{slow, fast, fast}, {fast, slow, slow}, {slow, slow, fast}, {exact, exact, exact}}

// fleetState is the state of the fleet after a history of events.
type fleetState struct {
	members    []*Core
	clocks     []time.Duration
	clockRates []time.Duration
	stopped    []bool
	inTransit  []sentStatement // statements that may still arrive, repeatedly and in any order
	history    []string        // descriptions of the events so far
}

// sentStatement is a statement with the index of its sender.
type sentStatement struct {
	from int
	StatementReceived
}

func checkedConfig(member int, epoch int64) Config {
	return Config{
		Self:          fmt.Sprint("n", member),
		Epoch:         epoch,
		FleetSize:     checkedMembers,
		Budgets:       []Budget{{"b", totalUnits, 0}},
		LeaseDuration: checkedDuration,
		MaxClockDrift: checkedDrift,
	}
}

// newFleetState returns a fleet that has been running for an hour, without statements in transit.
func newFleetState(rates ...time.Duration) *fleetState {
	state := &fleetState{
		clockRates: rates,
		clocks:     make([]time.Duration, checkedMembers),
		stopped:    make([]bool, checkedMembers),
	}
	for i := range checkedMembers {
		core, err := New(checkedConfig(i, 1))
		if err != nil {
			panic(err)
		}
		state.members = append(state.members, core)
		state.step(i)
		state.clocks[i] += time.Hour
		state.step(i)
	}
	state.inTransit = nil
	return state
}

// step steps a member and adds the statement it broadcasts to those in transit.
func (s *fleetState) step(member int, events ...Event) {
	core := s.members[member]
	for _, action := range core.Step(s.clocks[member], events) {
		broadcast, ok := action.(Broadcast)
		if !ok || len(broadcast.Requests)+len(broadcast.Leases) == 0 {
			continue
		}
		statement := broadcast.Statement
		statement.Requests = slices.Clone(statement.Requests)
		statement.Leases = slices.Clone(statement.Leases)
		received := StatementReceived{From: core.config.Self, Epoch: core.config.Epoch, Statement: statement}
		s.inTransit = append(s.inTransit, sentStatement{member, received})
	}
}

func (s *fleetState) clone() *fleetState {
	copied := &fleetState{
		clocks:     slices.Clone(s.clocks),
		clockRates: s.clockRates,
		stopped:    slices.Clone(s.stopped),
		inTransit:  slices.Clone(s.inTransit),
		history:    slices.Clone(s.history),
	}
	for _, core := range s.members {
		copied.members = append(copied.members, cloneCore(core))
	}
	return copied
}

func cloneCore(core *Core) *Core {
	copied := *core
	copied.requests.times = slices.Clone(core.requests.times)
	copied.distrusted = maps.Clone(core.distrusted)
	copied.accounts = nil
	for _, account := range core.accounts {
		copiedAccount := *account
		copiedAccount.granted = slices.Clone(account.granted)
		copiedAccount.borrowed = slices.Clone(account.borrowed)
		copiedAccount.lastRequests = maps.Clone(account.lastRequests)
		copied.accounts = append(copied.accounts, &copiedAccount)
	}
	return &copied
}

// key identifies a state. Times are relative to the member's clock, so that states that differ only in age have equal
// keys.
func (s *fleetState) key() string {
	var key strings.Builder
	for i, core := range s.members {
		account := core.accounts[0]
		now := s.clocks[i]
		age := min(now-core.startedAt, time.Minute)
		fmt.Fprint(&key, s.stopped[i], core.config.Epoch, age, account.demand, account.limit)
		fmt.Fprint(&key, "|", account.requestedUnits, account.requestNumber, account.nextRequestAt-now)
		fmt.Fprint(&key, "|", core.requests.latest, core.requests.first, "|")
		for _, at := range core.requests.times {
			fmt.Fprint(&key, now-at, ",")
		}
		for _, lease := range account.granted {
			fmt.Fprint(&key, lease.Lease, lease.expiresAt-now, ";")
		}
		for _, lease := range account.borrowed {
			fmt.Fprint(&key, lease.lender, lease.lenderEpoch, lease.request, lease.units, lease.expiresAt-now, ";")
		}
		fmt.Fprint(&key, account.lastRequests, "/")
	}
	statements := make([]string, 0, len(s.inTransit))
	for _, sent := range s.inTransit {
		statements = append(statements, fmt.Sprint(sent.from, sent.Epoch, sent.Requests, sent.Leases))
	}
	slices.Sort(statements)
	fmt.Fprint(&key, slices.Compact(statements))
	return key.String()
}

// usableUnits returns the total units that all running members may have in use now. Members must call usableUnits of
// their account before each use.
func (s *fleetState) usableUnits() int64 {
	var units int64
	for i, core := range s.members {
		if !s.stopped[i] {
			units += core.accounts[0].usableUnits(&core.stepContext)
		}
	}
	return units
}

// after returns the state after one more event.
func (s *fleetState) after(event string, apply func(*fleetState)) *fleetState {
	next := s.clone()
	apply(next)
	next.history = append(next.history, event)
	return next
}

// tick advances true time by one tick.
func (s *fleetState) tick() {
	for i := range s.members {
		s.clocks[i] += s.clockRates[i]
		if !s.stopped[i] {
			s.step(i)
		}
	}
}

// restart replaces a member by a new incarnation without any state.
func (s *fleetState) restart(member int) {
	fresh, err := New(checkedConfig(member, s.members[member].config.Epoch+1))
	if err != nil {
		panic(err)
	}
	s.members[member] = fresh
	s.step(member)
}

// successors returns all states that are one event away.
func (s *fleetState) successors() []*fleetState {
	list := []*fleetState{s.after("tick", (*fleetState).tick)}
	for i, core := range s.members {
		name := core.config.Self
		if s.stopped[i] {
			list = append(list, s.after(name+" resumes", func(next *fleetState) {
				next.stopped[i] = false
				next.step(i)
			}))
			continue
		}
		demand := DemandChanged{"b", 0}
		if core.accounts[0].demand == 0 {
			demand.Units = demandedUnits
		}
		list = append(list,
			s.after(fmt.Sprint(name, " demands ", demand.Units), func(next *fleetState) { next.step(i, demand) }),
			s.after(name+" stops", func(next *fleetState) { next.stopped[i] = true }),
			s.after(name+" restarts", func(next *fleetState) { next.restart(i) }),
		)
		list = append(list, s.deliveries(i)...)
	}
	return list
}

// deliveries returns all states in which a member has received one more statement in transit.
func (s *fleetState) deliveries(member int) []*fleetState {
	var list []*fleetState
	for i, sent := range s.inTransit {
		isDuplicate := slices.ContainsFunc(s.inTransit[:i], func(other sentStatement) bool {
			return other.from == sent.from && other.Epoch == sent.Epoch && equalStatements(other.Statement, sent.Statement)
		})
		if sent.from == member || isDuplicate {
			continue
		}
		event := fmt.Sprint(s.members[member].config.Self, " receives ", sent.From, sent.Requests, sent.Leases)
		list = append(list, s.after(event, func(next *fleetState) { next.step(member, sent.StatementReceived) }))
	}
	return list
}

// explore visits all states within depth events, breadth first. It returns the first history that exceeds the budget,
// or nil if there is none, and the number of visited states.
func explore(depth int, rates ...time.Duration) (violation []string, states int) {
	seen := map[string]bool{}
	frontier := []*fleetState{newFleetState(rates...)}
	for range depth {
		var next []*fleetState
		for _, state := range frontier {
			for _, successor := range state.successors() {
				key := successor.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				if successor.usableUnits() > totalUnits {
					return successor.history, len(seen)
				}
				next = append(next, successor)
			}
		}
		frontier = next
	}
	return nil, len(seen)
}

// No history of up to maxDepth events may exceed the budget, even with clock rates at the limits of the configured
// drift.
func TestNoHistoryExceedsTotal(t *testing.T) {
	for _, rates := range clockRateSets {
		t.Run(fmt.Sprint(rates), func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			violation, states := explore(maxDepth, rates...)
			if violation != nil {
				t.Errorf("budget exceeded after:\n%s", strings.Join(violation, "\n"))
			}
			t.Logf("%d states in %v", states, time.Since(start).Round(time.Millisecond))
		})
	}
}
