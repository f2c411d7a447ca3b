// Package slotmap implements a generational slot map. It stores values in numbered slots that are reused. A reference
// contains the generation of its slot, so that a stale reference finds nothing rather than the next value in the slot.
package slotmap

// slotShift is the bit position of the slot index in a Ref. The bits below contain the generation.
const slotShift = 32

// Ref refers to a value of a Table. The zero Ref refers to nothing.
type Ref uint64

// Table maps Refs to values. The zero Table is empty and ready to use. It is not safe for concurrent use.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32 // indexes of empty slots, used as a stack
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
	if s.generation == 0 { // overflow; generation 0 is skipped because the zero Ref is invalid
		s.generation = 1
	}
	s.value = value
	s.occupied = true
	t.size++
	return Ref(index)<<slotShift | Ref(s.generation)
}

// takeSlot returns the index of an empty slot, and adds a slot if none is empty.
func (t *Table[T]) takeSlot() uint32 {
	if n := len(t.free); n > 0 {
		index := t.free[n-1]
		t.free = t.free[:n-1]
		return index
	}
	t.slots = append(t.slots, slot[T]{})
	return uint32(len(t.slots) - 1)
}

// Get returns the value of a Ref and whether it is still stored.
func (t *Table[T]) Get(ref Ref) (T, bool) {
	if s := t.find(ref); s != nil {
		return s.value, true
	}
	var zero T
	return zero, false
}

// Remove removes the value of a Ref. It does nothing if the Ref is stale.
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

// find returns the slot of a Ref, or nil if the Ref is stale or zero.
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
