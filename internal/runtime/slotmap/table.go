// Package slotmap is a generational slot map: it stores values in numbered slots that are reused. A reference carries the
// generation of its slot, so that one kept beyond the removal of its value finds nothing rather than the slot's next
// value.
package slotmap

// slotShift is the position of the slot's index in a Ref; the generation is in the bits below.
const slotShift = 32

// Ref refers to a value of a Table. The zero Ref refers to nothing.
type Ref uint64

// Table holds values by Ref. The zero Table is empty and ready for use. It is not safe for concurrent use.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32 // indexes of empty slots; the last one is used next
	size  int
}

type slot[T any] struct {
	value      T
	generation uint32
	occupied   bool
}

// Insert stores a value and returns its Ref.
func (t *Table[T]) Insert(value T) Ref {
	index := t.takeSlot()
	s := &t.slots[index]
	s.generation++
	if s.generation == 0 { // wrapped around: Ref 0 must stay unused
		s.generation = 1
	}
	s.value = value
	s.occupied = true
	t.size++
	return Ref(index)<<slotShift | Ref(s.generation)
}

// takeSlot returns the index of an empty slot, a new one where none is free.
func (t *Table[T]) takeSlot() uint32 {
	if n := len(t.free); n > 0 {
		index := t.free[n-1]
		t.free = t.free[:n-1]
		return index
	}
	t.slots = append(t.slots, slot[T]{})
	return uint32(len(t.slots) - 1)
}

// Get returns the value of a Ref, and whether it is still stored.
func (t *Table[T]) Get(ref Ref) (T, bool) {
	if s := t.find(ref); s != nil {
		return s.value, true
	}
	var zero T
	return zero, false
}

// Remove removes the value of a Ref. A stale Ref removes nothing.
func (t *Table[T]) Remove(ref Ref) {
	s := t.find(ref)
	if s == nil {
		return
	}
	var zero T
	s.value = zero
	s.occupied = false
	t.free = append(t.free, uint32(ref>>slotShift))
	t.size--
}

// Len returns the number of values stored.
func (t *Table[T]) Len() int { return t.size }

// find returns the slot that a Ref refers to, or nil if its value has been removed.
func (t *Table[T]) find(ref Ref) *slot[T] {
	index := uint64(ref >> slotShift)
	if index >= uint64(len(t.slots)) {
		return nil
	}
	s := &t.slots[index]
	if !s.occupied || s.generation != uint32(ref) {
		return nil
	}
	return s
}
