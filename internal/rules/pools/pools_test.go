package pools

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"calicohill/internal/rules/match"
	"calicohill/routing"

	"pgregory.net/rapid"
)

func text(s string) match.Text {
	return match.Text{Place: match.Place{File: "f", Line: 1, Column: 1}, Source: s}
}

func load(t interface{ Fatal(...any) }) *Core {
	c, faults := Load([]Pool{
		{Name: "fast", Workers: text(`model == "std" && zone in ["a", "b"]`)},
		{Name: "slow", Workers: text(`id.startsWith("s")`)},
		{Name: "rest", Workers: text(`group != 7`)},
	}, []Route{
		{Name: "lane", Pools: []match.Text{text("fast"), text("slow")}},
		{Name: "any", Pools: []match.Text{text("rest")}},
	})
	if c == nil {
		t.Fatal(faults)
	}
	return c
}

func live(c *Core, route string) string {
	return strings.Join(slices.Sorted(maps.Keys(c.Route(route).Workers)), " ")
}

var both = []Attributes{
	{"f1", "std", "a", 1, "serving"},
	{"f2", "std", "b", 7, "serving"},
	{"x", "std", "c", 1, "serving"},
	{"s1", "old", "a", 1, "serving"},
	{"s2", "old", "a", 1, "serving"},
}

func TestFallback(t *testing.T) {
	c, now := load(t), time.Hour
	step := func(want string, events ...Event) {
		t.Helper()
		now += time.Millisecond
		before := live(c, "lane")
		changed := c.Step(now, events)
		if got := live(c, "lane"); got != want || changed != (got != before) && !changed {
			t.Errorf("live %q, want %q; changed %v", got, want, changed)
		}
	}
	drain := slices.Clone(both)
	drain[0].State = "draining"
	step("f1 f2", EndpointsChanged{both})
	step("f1 f2", FaultObserved{"f1", routing.Unresponsive})                                            // one proof is none
	step("f1 f2", FaultObserved{"f1", routing.Unresponsive}, FaultObserved{"f2", routing.Unresponsive}) // the other is left
	step("f1 f2 s1 s2", FaultObserved{"f2", routing.Unreachable})                                       // all ill: the next pool helps out, trials go on
	step("f1 f2", FaultObserved{"f2", routing.Healthy})
	step("f1 f2", EndpointsChanged{drain})
	step("f1 f2 s1 s2", FaultObserved{"f2", routing.Unreachable})
	step("s1 s2", EndpointsChanged{both[2:]}) // the pool has emptied
	step("f1 f2", EndpointsChanged{both})
	if got := live(c, "any"); got != "f1 s1 s2 x" {
		t.Errorf("any: %q", got)
	}
	if next := c.Route("lane").Fallback; next == nil || strings.Join(slices.Sorted(maps.Keys(next.Workers)), " ") != "s1 s2" || next.Fallback != nil {
		t.Errorf("what stands in: %+v", next)
	}
	if step("f1 f2", FaultObserved{"s1", routing.Unreachable}, FaultObserved{"s2", routing.Unreachable}); c.Route("lane").Fallback != nil {
		t.Error("a pool of ill workers stands in")
	}
	if c.Route("none") != nil {
		t.Error("a route without pools has a live set")
	}
}

func TestRefused(t *testing.T) {
	_, faults := Load([]Pool{{Name: "a", Workers: text(`modl == "x"`)}, {Name: "b", Workers: text(`param["X"] == "a"`)}},
		[]Route{{Name: "r", Pools: []match.Text{text("a"), text("c"), text("a")}}})
	var got []string
	for _, f := range faults {
		got = append(got, f.Directive)
	}
	if want := []string{"workers", "workers", "pool", "pool"}; !slices.Equal(got, want) {
		t.Errorf("faults %v", faults)
	}
}

// A live set never leaves the route's pools, and is only empty of usable workers where all of them are.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := load(t), time.Hour
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			now += time.Duration(rapid.IntRange(0, 20000).Draw(t, "wait")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "move") {
			case 0:
				var list []Attributes
				for _, w := range both {
					if rapid.Bool().Draw(t, "there") {
						w.State = rapid.SampledFrom([]string{"serving", "draining"}).Draw(t, "state")
						list = append(list, w)
					}
				}
				c.Step(now, []Event{EndpointsChanged{list}})
			default:
				id := both[rapid.IntRange(0, len(both)-1).Draw(t, "worker")].ID
				c.Step(now, []Event{FaultObserved{id, routing.Fault(rapid.IntRange(0, 4).Draw(t, "trouble"))}})
			}
			set, some, any := c.Route("lane").Workers, false, false
			for id := range set {
				if id == "x" {
					t.Fatal("a worker of no pool of the route is live")
				}
				some = some || c.usable(id)
			}
			for _, id := range []string{"f1", "f2", "s1", "s2"} {
				any = any || c.usable(id)
			}
			if any && !some {
				t.Fatal(fmt.Sprint("somebody is usable, and not in the live set: ", set))
			}
			if len(c.ill) > len(both) {
				t.Fatal("more is held ill than is listed")
			}
		}
	})
}
