package slotmap_test

import (
	"maps"
	"slices"
	"testing"

	"calicohill/internal/runtime/slotmap"

	"pgregory.net/rapid"
)

// A stale reference must never find a value, however often its slot has been reused.
func TestStaleRefs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var table slotmap.Table[int]
		stored := map[slotmap.Ref]int{}
		stale := []slotmap.Ref{0}
		for i := range rapid.IntRange(1, 200).Draw(rt, "steps") {
			if len(stored) == 0 || rapid.Bool().Draw(rt, "insert") {
				ref := table.Insert(i)
				if _, taken := stored[ref]; taken {
					rt.Fatalf("Insert returned %v twice", ref)
				}
				stored[ref] = i
				continue
			}
			ref := rapid.SampledFrom(slices.Sorted(maps.Keys(stored))).Draw(rt, "remove")
			table.Remove(ref)
			delete(stored, ref)
			stale = append(stale, ref)
			table.Remove(rapid.SampledFrom(stale).Draw(rt, "stale")) // removes nothing
		}
		for _, ref := range stale {
			if value, ok := table.Get(ref); ok {
				rt.Fatalf("stale %v refers to %d", ref, value)
			}
		}
		for ref, want := range stored {
			if value, ok := table.Get(ref); !ok || value != want {
				rt.Fatalf("%v refers to %d, %v, want %d", ref, value, ok, want)
			}
		}
		if table.Len() != len(stored) {
			rt.Fatalf("Len() = %d, want %d", table.Len(), len(stored))
		}
	})
}
