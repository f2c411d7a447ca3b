package faultreport

import (
	"fmt"
	"time"

	"calicohill/routing"
)

// fatalReporter is implemented by testing.TB and *rapid.T.
type fatalReporter interface{ Fatal(args ...any) }

// testFleet holds the cores of a fleet's honest members. Statements are delivered immediately.
type testFleet struct {
	tb          fatalReporter
	now         time.Duration
	names       []string
	cores       map[string]*Core // cores of the honest members
	verdicts    map[string]map[string]routing.PeerVerdict
	discredited []string // "OBSERVER MEMBER" for each Discredited action
}

// newFleet returns a fleet in which the first members are byzantine. Byzantine members have no core.
func newFleet(tb fatalReporter, members, byzantine, workers int) *testFleet {
	fleet := &testFleet{
		tb:       tb,
		now:      time.Hour,
		cores:    map[string]*Core{},
		verdicts: map[string]map[string]routing.PeerVerdict{},
	}
	config := Config{MaxByzantine: -1, MaxEjectedFraction: 0.25, ReportTTL: 10 * second}
	for i := range members {
		fleet.names = append(fleet.names, fmt.Sprintf("n%d", i))
	}
	for i, name := range fleet.names {
		if i < byzantine {
			continue
		}
		fleet.cores[name] = New(config)
		var others []string
		for _, other := range fleet.names {
			if other != name {
				others = append(others, other)
			}
		}
		fleet.step(name, EndpointsChanged{workerNames(workers)}, MembersChanged{others})
	}
	return fleet
}

// workerNames returns count names: w0, w1 and so on.
func workerNames(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("w%d", i))
	}
	return names
}

// step applies events to a member's core and carries out its actions.
func (f *testFleet) step(name string, events ...Event) {
	for _, action := range f.cores[name].Step(f.now, events) {
		switch action := action.(type) {
		case Broadcast:
			f.deliver(name, action.Reports)
		case PublishVerdicts:
			f.verdicts[name] = action.Verdicts
		case Discredited:
			f.discredited = append(f.discredited, name+" "+action.From)
		}
	}
}

// deliver delivers a statement to all other honest members, or only to the given one.
func (f *testFleet) deliver(from string, reports []Report, only ...string) {
	body, err := Encode(reports)
	if err != nil {
		f.tb.Fatal(err)
	}
	for _, name := range f.names {
		if f.cores[name] != nil && name != from && (len(only) == 0 || name == only[0]) {
			f.step(name, StatementReceived{from, body})
		}
	}
}

// run advances the time by duration in steps of 100 ms.
func (f *testFleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.now += 100 * time.Millisecond
		for _, name := range f.names {
			if f.cores[name] != nil {
				f.step(name)
			}
		}
	}
}

// verdict returns the latest verdict on a worker that a member published.
func (f *testFleet) verdict(member, worker string) routing.PeerVerdict {
	return f.verdicts[member][worker]
}

// unresponsiveReport returns a statement with one report of a fault that warrants ejection.
func unresponsiveReport(worker string) []Report {
	return []Report{{Worker: worker, Fault: routing.Unresponsive, FirstSeenAgo: 2000, LastSeenAgo: 0, Attempts: 9}}
}

func mustEncode(reports []Report) []byte {
	body, err := Encode(reports)
	if err != nil {
		panic(err)
	}
	return body
}

func workersOf(reports []Report) (names []string) {
	for _, report := range reports {
		names = append(names, report.Worker)
	}
	return names
}
