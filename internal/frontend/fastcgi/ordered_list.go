package fastcgi

import (
	"container/list"
	"iter"
)

// orderedList holds values in insertion order and supports the removal of any of them. The zero value is an empty list.
type orderedList[T any] struct{ elements list.List }

// add appends a value and returns the element to pass to remove.
func (l *orderedList[T]) add(value T) *list.Element { return l.elements.PushBack(value) }

// remove removes a value that is in the list.
func (l *orderedList[T]) remove(element *list.Element) { l.elements.Remove(element) }

// all iterates over the values in insertion order.
func (l *orderedList[T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		for element := l.elements.Front(); element != nil; element = element.Next() {
			if value, ok := element.Value.(T); !ok || !yield(value) {
				return
			}
		}
	}
}

// first returns the value that was added first. It returns false if the list is empty.
func (l *orderedList[T]) first() (value T, ok bool) {
	for value = range l.all() {
		return value, true
	}
	return value, false
}
