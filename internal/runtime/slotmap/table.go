// Package slotmap keeps things in numbered slots that are used again. A number carries its slot's generation, so
// that one kept past the end of what it stood for finds nothing rather than the slot's next owner.
package slotmap

// Ref names what a Table holds. The zero Ref names nothing.
type Ref uint64

// Table holds values by Ref. The zero Table is empty and ready for use.
type Table[T any] struct {
	slots []entry[T]
	free  []uint32
	held  int
}

type entry[T any] struct {
	value      T
	generation uint32
	taken      bool
}

// Insert stores a value and returns its Ref.
func (t *Table[T]) Insert(v T) Ref {
	var i uint32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = uint32(len(t.slots))
		t.slots = append(t.slots, entry[T]{})
	}
	s := &t.slots[i]
	s.generation++
	if s.generation == 0 { // wrapped: Ref 0 must stay unused
		s.generation = 1
	}
	s.value, s.taken = v, true
	t.held++
	return Ref(i)<<32 | Ref(s.generation)
}

// Get returns what a Ref names, and whether it still names anything.
func (t *Table[T]) Get(r Ref) (T, bool) {
	if s := t.find(r); s != nil {
		return s.value, true
	}
	var none T
	return none, false
}

// Remove empties the slot of a Ref. A stale Ref frees nothing.
func (t *Table[T]) Remove(r Ref) {
	if s := t.find(r); s != nil {
		var none T
		s.value, s.taken = none, false
		t.free = append(t.free, uint32(r>>32))
		t.held--
	}
}

// Len is the number of values held.
func (t *Table[T]) Len() int { return t.held }

func (t *Table[T]) find(r Ref) *entry[T] {
	i := uint64(r >> 32)
	if i >= uint64(len(t.slots)) {
		return nil
	}
	if s := &t.slots[i]; s.taken && s.generation == uint32(r) {
		return s
	}
	return nil
}
