package rendezvous

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func of(m string) (string, float64) { return m, 1 }

// Taking a member out moves nobody else, whatever the members are and in whichever order they come.
func TestMovesOnlyWhatItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 8, 8), 1, 20, rapid.ID[string]).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		before := Order(key, members, of)
		out := rapid.SampledFrom(members).Draw(t, "out")
		rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == out })
		slices.Reverse(rest)
		want := slices.DeleteFunc(before, func(m string) bool { return m == out })
		if got := Order(key, rest, of); !slices.Equal(got, want) {
			t.Fatalf("without %q the order is %q, want %q", out, got, want)
		}
	})
}

// A member comes first for as many keys as its size warrants.
func TestSizes(t *testing.T) {
	sizes, first := map[string]float64{"a": 1, "b": 2, "c": 5}, map[string]float64{}
	const keys = 20000
	for i := range keys {
		first[Order(fmt.Sprint(i), []string{"a", "b", "c"}, func(m string) (string, float64) { return m, sizes[m] })[0]]++
	}
	for m, size := range sizes {
		if got, want := first[m]/keys, size/8; math.Abs(got-want) > 0.02 {
			t.Errorf("%s comes first for %.3f of the keys, want %.3f", m, got, want)
		}
	}
}
