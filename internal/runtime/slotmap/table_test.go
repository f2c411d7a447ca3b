package slotmap_test

import (
	"maps"
	"slices"
	"testing"

	"calicohill/internal/runtime/slotmap"

	"pgregory.net/rapid"
)

// A number kept past the end of what it stood for finds nothing, however often its slot was used again.
func TestStaleRefs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table slotmap.Table[int]
		held, stale := map[slotmap.Ref]int{}, []slotmap.Ref{0}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(held) == 0 || rapid.Bool().Draw(t, "put") {
				r := table.Insert(i)
				if _, taken := held[r]; taken {
					t.Fatalf("%v is given out twice", r)
				}
				held[r] = i
				continue
			}
			r := rapid.SampledFrom(slices.Sorted(maps.Keys(held))).Draw(t, "free")
			table.Remove(r)
			delete(held, r)
			stale = append(stale, r)
			table.Remove(rapid.SampledFrom(stale).Draw(t, "stale")) // frees nothing
		}
		for _, r := range stale {
			if v, ok := table.Get(r); ok {
				t.Fatalf("%v, which was freed, names %d", r, v)
			}
		}
		for r, want := range held {
			if v, ok := table.Get(r); !ok || v != want {
				t.Fatalf("%v names %d, %v, want %d", r, v, ok, want)
			}
		}
		if table.Len() != len(held) {
			t.Fatalf("%d held, want %d", table.Len(), len(held))
		}
	})
}
