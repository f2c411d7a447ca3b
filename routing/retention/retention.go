// Package retention bounds the memory of records that peers create by naming something, such as a function.
//
// A Cache is a segmented LRU cache (Karedla, Love and Wherry, 1994) whose size is measured in bytes. Each
// entry is in the segment of its rank. New entries have the lowest rank, since naming something costs a peer
// nothing. Their rank rises as they prove useful. Entries never displace others of a higher rank.
package retention

import "container/list"

// maxPinnedSkips is the number of entries in use that an eviction passes over, so that its cost is bounded
// even if most entries are in use. They are moved behind the others.
const maxPinnedSkips = 16

// Rank is the position of a segment; entries of lower ranks are evicted first.
type Rank int

// Cache orders entries by rank and last use and selects those to evict. It is not safe for concurrent use.
type Cache[T any] struct {
	limit    int        // in bytes; 0 means no limit
	bytes    int        // of all entries
	segments []*segment // by rank
}

// segment holds the entries of a rank.
type segment struct {
	entries *list.List // of *Entry, least recently used first
	bytes   int
}

// Entry is a value in a Cache.
type Entry[T any] struct {
	value   T
	bytes   int
	rank    Rank
	element *list.Element
}

// NewCache returns an empty Cache that holds entries of at most limit bytes, with ranks up to highest. A
// limit of 0 means no limit.
func NewCache[T any](limit int, highest Rank) *Cache[T] {
	cache := &Cache[T]{limit: limit}
	for range highest + 1 {
		cache.segments = append(cache.segments, &segment{entries: list.New()})
	}
	return cache
}

// Rank returns the rank of an entry.
func (e *Entry[T]) Rank() Rank { return e.rank }

// Bytes returns the size of all entries.
func (c *Cache[T]) Bytes() int { return c.bytes }

// Len returns the number of entries with at least the given rank.
func (c *Cache[T]) Len(lowest Rank) int {
	entries := 0
	for _, s := range c.segments[lowest:] {
		entries += s.entries.Len()
	}
	return entries
}

// Add adds an entry of the lowest rank as the most recently used one.
func (c *Cache[T]) Add(value T, bytes int) *Entry[T] {
	added := &Entry[T]{value: value}
	added.element = c.segments[0].entries.PushBack(added)
	c.Resize(added, bytes)
	return added
}

// Resize changes the size of an entry.
func (c *Cache[T]) Resize(entry *Entry[T], bytes int) {
	growth := bytes - entry.bytes
	entry.bytes = bytes
	c.bytes += growth
	c.segments[entry.rank].bytes += growth
}

// Use makes an entry the most recently used one of its rank.
func (c *Cache[T]) Use(entry *Entry[T]) { c.segments[entry.rank].entries.MoveToBack(entry.element) }

// Promote makes an entry the most recently used one of the given rank. It does nothing if the entry has a
// higher rank.
func (c *Cache[T]) Promote(entry *Entry[T], rank Rank) {
	switch {
	case rank == entry.rank:
		c.Use(entry)
	case rank > entry.rank:
		bytes := entry.bytes
		c.Remove(entry)
		entry.rank = rank
		entry.element = c.segments[rank].entries.PushBack(entry)
		c.Resize(entry, bytes)
	}
}

// Remove removes an entry.
func (c *Cache[T]) Remove(entry *Entry[T]) {
	c.Resize(entry, 0)
	c.segments[entry.rank].entries.Remove(entry.element)
}

// Evict removes the least recently used entries until the limit is kept, and passes each to evicted after
// removing it. Entries for which pinned returns true stay. An entry is removed only while those of its rank
// and of higher ranks exceed the limit.
func (c *Cache[T]) Evict(pinned func(T) bool, evicted func(T)) {
	if c.limit == 0 || c.bytes <= c.limit {
		return
	}
	higher := 0
	for rank := len(c.segments) - 1; rank >= 0; rank-- {
		c.evictFrom(c.segments[rank], c.limit-higher, pinned, evicted)
		higher += c.segments[rank].bytes
	}
}

// evictFrom removes entries of one segment until it has at most limit bytes.
func (c *Cache[T]) evictFrom(from *segment, limit int, pinned func(T) bool, evicted func(T)) {
	skips := min(maxPinnedSkips, from.entries.Len())
	for skips > 0 && from.entries.Len() > 0 && from.bytes > limit {
		oldest, ok := from.entries.Front().Value.(*Entry[T])
		if !ok {
			return
		}
		if pinned(oldest.value) {
			from.entries.MoveToBack(oldest.element)
			skips--
			continue
		}
		c.Remove(oldest)
		evicted(oldest.value)
	}
}
