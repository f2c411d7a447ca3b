package pools_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/internal/rules/pools"
	"calicohill/routing"

	"pgregory.net/rapid"
)

// text returns an expression at line 1, column 1 of a file.
func text(s string) match.Expression {
	return match.Expression{Position: match.Position{File: "f", Line: 1, Column: 1}, Source: s}
}

func load(tb interface{ Fatal(...any) }) *pools.Core {
	core, errs := pools.Load([]pools.Pool{
		{Name: "fast", Workers: text(`model == "std" && zone in ["a", "b"]`)},
		{Name: "slow", Workers: text(`id.startsWith("s")`)},
		{Name: "rest", Workers: text(`group != 7`)},
	}, []pools.Route{
		{Name: "lane", Pools: []match.Expression{text("fast"), text("slow")}},
		{Name: "any", Pools: []match.Expression{text("rest")}},
	})
	if core == nil {
		tb.Fatal(errs)
	}
	return core
}

// names returns the sorted ids of the workers in a live set, separated by spaces.
func names(set *routing.Pool) string {
	return strings.Join(slices.Sorted(maps.Keys(set.Workers)), " ")
}

// live returns the names of the live set of a route.
func live(core *pools.Core, route string) string { return names(core.Route(route)) }

var allWorkers = []pools.Attributes{
	{"f1", "std", "a", 1, "serving"},
	{"f2", "std", "b", 7, "serving"},
	{"x", "std", "c", 1, "serving"},
	{"s1", "old", "a", 1, "serving"},
	{"s2", "old", "a", 1, "serving"},
}

// TestFallback guards against a live set that keeps to a pool without healthy workers, or that keeps a fallback after
// the preferred pool has recovered.
func TestFallback(t *testing.T) {
	core := load(t)
	now := time.Hour
	step := func(want string, events ...pools.Event) {
		t.Helper()
		now += time.Millisecond
		before := live(core, "lane")
		changed := core.Step(now, events)
		if got := live(core, "lane"); got != want || changed != (got != before) && !changed {
			t.Errorf("live %q, want %q; changed %v", got, want, changed)
		}
	}
	drain := slices.Clone(allWorkers)
	drain[0].State = "draining"
	step("f1 f2", pools.EndpointsChanged{allWorkers})
	step("f1 f2", pools.FaultObserved{"f1", routing.Unresponsive})                                                  // one missing response does not make f1 unhealthy
	step("f1 f2", pools.FaultObserved{"f1", routing.Unresponsive}, pools.FaultObserved{"f2", routing.Unresponsive}) // f2 is still healthy
	step("f1 f2 s1 s2", pools.FaultObserved{"f2", routing.Unreachable})                                             // all are unhealthy: the next pool is added, the first stays for probes
	step("f1 f2", pools.FaultObserved{"f2", routing.Healthy})
	step("f1 f2", pools.EndpointsChanged{drain})
	step("f1 f2 s1 s2", pools.FaultObserved{"f2", routing.Unreachable})
	step("s1 s2", pools.EndpointsChanged{allWorkers[2:]}) // the first pool is empty
	step("f1 f2", pools.EndpointsChanged{allWorkers})
	if got := live(core, "any"); got != "f1 s1 s2 x" {
		t.Errorf("any: %q", got)
	}
	fallback := core.Route("lane").Fallback
	if fallback == nil || names(fallback) != "s1 s2" || fallback.Fallback != nil {
		t.Errorf("fallback: %+v", fallback)
	}
	step("f1 f2", pools.FaultObserved{"s1", routing.Unreachable}, pools.FaultObserved{"s2", routing.Unreachable})
	if core.Route("lane").Fallback != nil {
		t.Error("a pool of unhealthy workers is the fallback")
	}
	if core.Route("none") != nil {
		t.Error("a route without pools has a live set")
	}
}

// TestLoadReportsAllErrors guards against Load reporting only the first error, or an error without its directive.
func TestLoadReportsAllErrors(t *testing.T) {
	_, errs := pools.Load([]pools.Pool{{Name: "a", Workers: text(`modl == "x"`)}, {Name: "b", Workers: text(`param["X"] == "a"`)}},
		[]pools.Route{{Name: "r", Pools: []match.Expression{text("a"), text("c"), text("a")}}})
	var got []string
	for _, ruleError := range errs {
		got = append(got, ruleError.Directive)
	}
	if want := []string{"workers", "workers", "pool", "pool"}; !slices.Equal(got, want) {
		t.Errorf("errors %v", errs)
	}
}

// TestLiveSetContainsHealthyWorker guards against live sets with workers of other pools, and against live sets without
// a healthy worker while a pool of the route has one.
func TestLiveSetContainsHealthyWorker(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		core := load(rt)
		now := time.Hour
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 20000).Draw(rt, "wait")) * time.Millisecond
			core.Step(now, []pools.Event{drawEvent(rt)})
			set := core.Route("lane").Workers
			liveHealthy := false
			for id := range set {
				if id == "x" {
					rt.Fatal("the live set contains a worker that is in no pool of the route")
				}
				liveHealthy = liveHealthy || core.IsHealthy(id)
			}
			anyHealthy := slices.ContainsFunc([]string{"f1", "f2", "s1", "s2"}, core.IsHealthy)
			if anyHealthy && !liveHealthy {
				rt.Fatal(fmt.Sprint("no healthy worker in the live set although the route has one: ", set))
			}
			if core.FaultRecords() > len(allWorkers) {
				rt.Fatal("more fault records than listed workers")
			}
		}
	})
}

// drawEvent draws a list of some of the workers in random states or, twice as often, a fault of one worker.
func drawEvent(rt *rapid.T) pools.Event {
	if rapid.IntRange(0, 2).Draw(rt, "event") > 0 {
		id := allWorkers[rapid.IntRange(0, len(allWorkers)-1).Draw(rt, "worker")].ID
		return pools.FaultObserved{id, routing.Fault(rapid.IntRange(0, 4).Draw(rt, "fault"))}
	}
	var list []pools.Attributes
	for _, worker := range allWorkers {
		if rapid.Bool().Draw(rt, "listed") {
			worker.State = rapid.SampledFrom([]string{"serving", "draining"}).Draw(rt, "state")
			list = append(list, worker)
		}
	}
	return pools.EndpointsChanged{list}
}
