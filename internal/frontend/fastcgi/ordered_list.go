package fastcgi

import (
	"container/list"
	"iter"
)

// orderedList holds values in the order in which they were added, any of which can be removed. The zero orderedList is
// empty.
type orderedList[T any] struct{ elements list.List }

// add appends a value and returns what remove takes.
func (l *orderedList[T]) add(value T) *list.Element { return l.elements.PushBack(value) }

// remove removes a value that is in the list.
func (l *orderedList[T]) remove(element *list.Element) { l.elements.Remove(element) }

// all iterates over the values, the one added first first.
func (l *orderedList[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		for element := l.elements.Front(); element != nil; element = element.Next() {
			if value, ok := element.Value.(T); !ok || !yield(value) {
				return
			}
		}
	}
}

// first returns the value that was added first; false if the list is empty.
func (l *orderedList[T]) first() (value T, ok bool) {
	for value = range l.all() {
		return value, true
	}
	return value, false
}
