package rendezvous_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"calicohill/internal/stats/rendezvous"

	"pgregory.net/rapid"
)

func equalWeight(member string) (string, float64) { return member, 1 }

// Guards against a removed member that changes the order of the others, or an order that depends on the order of the
// input.
func TestRemovalKeepsOrderOfOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 8, 8), 1, 20, rapid.ID[string]).Draw(rt, "members")
		key := rapid.String().Draw(rt, "key")
		before := rendezvous.Order(key, members, equalWeight)
		removed := rapid.SampledFrom(members).Draw(rt, "removed")
		isRemoved := func(member string) bool { return member == removed }
		rest := slices.DeleteFunc(slices.Clone(members), isRemoved)
		slices.Reverse(rest)
		want := slices.DeleteFunc(before, isRemoved)
		if got := rendezvous.Order(key, rest, equalWeight); !slices.Equal(got, want) {
			rt.Fatalf("without %q the order is %q, want %q", removed, got, want)
		}
	})
}

// Guards against a member that comes first for more or fewer keys than its share of the total weight.
func TestWeights(t *testing.T) {
	const (
		keys        = 20000
		totalWeight = 8
		tolerance   = 0.02
	)
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	weightOf := func(member string) (string, float64) { return member, weights[member] }
	first := map[string]float64{}
	for i := range keys {
		first[rendezvous.Order(fmt.Sprint(i), []string{"a", "b", "c"}, weightOf)[0]]++
	}
	for member, weight := range weights {
		if got, want := first[member]/keys, weight/totalWeight; math.Abs(got-want) > tolerance {
			t.Errorf("%s comes first for %.3f of the keys, want %.3f", member, got, want)
		}
	}
}
