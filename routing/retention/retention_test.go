package retention_test

import (
	"slices"
	"testing"

	"calicohill/routing/retention"

	"pgregory.net/rapid"
)

// record is a value that may be in use.
type record struct {
	entry *retention.Entry[*record]
	bytes int
	inUse bool
}

func isInUse(r *record) bool { return r.inUse }

const highest retention.Rank = 2

// Guards against entries of a low rank, which cost a peer nothing, displacing those of a higher rank.
func TestLowerRanksDoNotDisplaceHigherOnes(t *testing.T) {
	const limit, size, perRank, flood = 1000, 100, 4, 50
	cache := retention.NewCache[*record](limit, highest)
	add := func(count int, rank retention.Rank) {
		for range count {
			cache.Promote(cache.Add(&record{}, size), rank)
			cache.Evict(isInUse, func(*record) {})
		}
	}
	add(perRank, 2)
	add(perRank, 1)
	add(flood, 0)
	if got := cache.Len(1); got != 2*perRank {
		t.Errorf("%d entries of the higher ranks are left after a flood of the lowest, want %d", got, 2*perRank)
	}
	add(flood, 1)
	if got := cache.Len(2); got != perRank {
		t.Errorf("%d entries of the highest rank are left after a flood of the middle one, want %d", got, perRank)
	}
	if cache.Bytes() != limit || cache.Len(0) != limit/size {
		t.Errorf("%d entries of %d bytes, want the limit of %d bytes used", cache.Len(0), cache.Bytes(), limit)
	}
}

// Guards against an eviction out of order: the least recently used entry of a segment goes first.
func TestLeastRecentlyUsedIsEvictedFirst(t *testing.T) {
	cache := retention.NewCache[string](2, highest)
	first := cache.Add("first", 1)
	cache.Add("second", 1)
	cache.Use(first)
	cache.Add("third", 1)
	var evicted []string
	cache.Evict(func(string) bool { return false }, func(name string) { evicted = append(evicted, name) })
	if len(evicted) != 1 || evicted[0] != "second" {
		t.Errorf("evicted %q, want the second", evicted)
	}
}

// Guards against a total that drifts from the sizes of the entries, a lost entry in use, and a limit that is exceeded
// by entries that could be evicted.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 400).Draw(rt, "limit")
		cache := retention.NewCache[*record](limit, highest)
		var held []*record
		remove := func(gone *record) {
			held = slices.DeleteFunc(held, func(r *record) bool { return r == gone })
		}
		for range rapid.IntRange(1, 200).Draw(rt, "operations") {
			var chosen *record
			if len(held) > 0 {
				chosen = rapid.SampledFrom(held).Draw(rt, "record")
			}
			switch operation := rapid.IntRange(0, 5).Draw(rt, "operation"); {
			case operation <= 1 || chosen == nil:
				added := &record{bytes: rapid.IntRange(1, 50).Draw(rt, "bytes"), inUse: rapid.Bool().Draw(rt, "in use")}
				added.entry = cache.Add(added, added.bytes)
				held = append(held, added)
			case operation == 2:
				chosen.bytes = rapid.IntRange(1, 50).Draw(rt, "bytes")
				cache.Resize(chosen.entry, chosen.bytes)
			case operation == 3:
				cache.Promote(chosen.entry, retention.Rank(rapid.IntRange(0, int(highest)).Draw(rt, "rank")))
			case operation == 4:
				chosen.inUse = false
			default:
				cache.Remove(chosen.entry)
				remove(chosen)
			}
			cache.Evict(isInUse, func(evicted *record) {
				if evicted.inUse || !slices.Contains(held, evicted) {
					rt.Fatalf("evicted an entry in use or one that is gone")
				}
				remove(evicted)
			})
			checkTotals(rt, cache, held, limit)
		}
	})
}

func checkTotals(rt *rapid.T, cache *retention.Cache[*record], held []*record, limit int) {
	total, inUse := 0, 0
	for _, r := range held {
		total += r.bytes
		if r.inUse {
			inUse++
		}
	}
	if cache.Len(0) != len(held) || cache.Bytes() != total {
		rt.Fatalf("%d entries of %d bytes, want %d of %d", cache.Len(0), cache.Bytes(), len(held), total)
	}
	// With few entries in use, an eviction passes over all of them.
	if inUse == 0 && total > limit {
		rt.Fatalf("%d bytes with no entry in use, limit %d", total, limit)
	}
}
